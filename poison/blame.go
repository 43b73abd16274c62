package poison

import (
	"cmp"
	"maps"
	"slices"
)

// serverRun names one run of a server: it ends once.
type serverRun uint64

// blame is what the ends of servers say of one request.
type blame struct {
	// crashes counts the ends under it that no other request explains better.
	crashes int
	// tied is set if it cannot be told apart from another one: the same servers ended
	// under both.
	tied bool
}

// attribute finds the requests that explain the ends of servers, each end by one: the
// request under which most ended is the cause of all of these, then the same for what
// is left. So a request that shared a server with a cause is not blamed for that end.
// ran holds, for each request under which at least least servers ended, those servers.
func attribute(ran map[Fingerprint]map[serverRun]bool, least, enough int) map[Fingerprint]blame {
	found := make(map[Fingerprint]blame)
	left := make(map[Fingerprint]map[serverRun]bool, len(ran))
	for request, servers := range ran {
		left[request] = maps.Clone(servers)
	}
	for len(left) > 0 {
		cause := most(left)
		servers := left[cause]
		if len(servers) < least {
			break
		}
		alike := sameServers(left, cause)
		for _, request := range alike {
			found[request] = blame{crashes: len(servers), tied: len(alike) > 1}
			delete(left, request)
		}
		if len(servers) < enough {
			// Too few to explain anything by.
			continue
		}
		explain(left, servers)
	}
	return found
}

// most returns the request under which most servers ended.
func most(left map[Fingerprint]map[serverRun]bool) Fingerprint {
	requests := slices.Collect(maps.Keys(left))
	return slices.MaxFunc(requests, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(left[a]), len(left[b])), cmp.Compare(a, b))
	})
}

// sameServers returns a request and those that ran at all of its servers. Since it is
// the one with most, they ran at no others.
func sameServers(left map[Fingerprint]map[serverRun]bool, request Fingerprint) []Fingerprint {
	var alike []Fingerprint
	for other, servers := range left {
		if len(servers) == len(left[request]) && maps.Equal(servers, left[request]) {
			alike = append(alike, other)
		}
	}
	return alike
}

// explain takes ends that have a cause off what the others are blamed for.
func explain(left map[Fingerprint]map[serverRun]bool, explained map[serverRun]bool) {
	for _, servers := range left {
		maps.DeleteFunc(servers, func(server serverRun, _ bool) bool { return explained[server] })
	}
}
