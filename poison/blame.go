package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// serverRun names one run of a server: it ends once.
type serverRun uint64

// run is a request's run at a server, from when it was sent to the server's end.
type run struct{ began, ended time.Time }

// ends holds the runs of a request at servers that ended.
type ends map[serverRun]run

// crashes counts the ends under a request. Of a call that many callers send, several
// run at a time, and a rack, a herd or a release may take all their servers: so of the
// runs of all callers only those count that began after the end that was counted before.
func (e ends) crashes(of Fingerprint) int {
	if !of.ofAll() {
		return len(e)
	}
	runs := slices.SortedFunc(maps.Values(e), func(a, b run) int { return a.ended.Compare(b.ended) })
	count := 0
	var last time.Time
	for _, one := range runs {
		if count == 0 || one.began.After(last) {
			count++
			last = one.ended
		}
	}
	return count
}

// blame is what the ends of servers say of one request.
type blame struct {
	// crashes counts the ends under it that no other request explains better.
	crashes int
	// tied is set if it cannot be told apart from another one: the same servers ended
	// under both.
	tied bool
}

// mostBlamed bounds the requests that are considered at a time, those under which most
// servers ended: the time that it takes grows with the square. With 256, and twenty ends
// each, it is 5 ms (BenchmarkBlame).
const mostBlamed = 256

// attribute finds the requests that explain the ends of servers, each end by one: the
// request under which most ended is the cause of all of these, then the same for what
// is left. So a request that shared a server with a cause is not blamed for that end.
// ran holds, for each request under which several servers ended, those.
func (c Config) attribute(ran map[Fingerprint]ends) map[Fingerprint]blame {
	found := make(map[Fingerprint]blame)
	left := c.candidates(ran)
	for len(left) > 0 {
		cause := most(left)
		servers := left[cause]
		crashes := servers.crashes(cause)
		if crashes < c.SuspectCrashes {
			delete(left, cause)
			continue
		}
		if ran[cause].crashes(cause) >= c.OftenCrashes {
			crashes = max(crashes, c.BlockCrashes)
		}
		alike := sameServers(left, cause)
		for _, request := range alike {
			found[request] = blame{crashes: crashes, tied: len(alike) > 1}
			delete(left, request)
		}
		if crashes >= c.BlockCrashes {
			explain(left, servers)
		}
	}
	return found
}

// candidates returns the requests that may be to blame.
func (c Config) candidates(ran map[Fingerprint]ends) map[Fingerprint]ends {
	var several []Fingerprint
	for request, servers := range ran {
		if servers.crashes(request) >= c.SuspectCrashes {
			several = append(several, request)
		}
	}
	slices.SortFunc(several, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(ran[b]), len(ran[a])), cmp.Compare(a, b))
	})
	left := make(map[Fingerprint]ends)
	for _, request := range several[:min(len(several), mostBlamed)] {
		left[request] = maps.Clone(ran[request])
	}
	return left
}

// most returns the request under which most servers ended; of a caller's own and the
// same of all callers, which may be equal in that, the former.
func most(left map[Fingerprint]ends) Fingerprint {
	return slices.MaxFunc(slices.Collect(maps.Keys(left)), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(left[a]), len(left[b])), compareCallers(a, b), cmp.Compare(a, b))
	})
}

// compareCallers orders a fingerprint of all callers' requests before one of a single
// caller's.
func compareCallers(a, b Fingerprint) int {
	switch {
	case a.ofAll() == b.ofAll():
		return 0
	case a.ofAll():
		return -1
	default:
		return 1
	}
}

// sameServers returns a request and the others of its kind that ran at all of its
// servers. Since it is the one with most, they ran at no others.
func sameServers(left map[Fingerprint]ends, request Fingerprint) []Fingerprint {
	var alike []Fingerprint
	for other, servers := range left {
		if other.ofAll() == request.ofAll() && sameKeys(servers, left[request]) {
			alike = append(alike, other)
		}
	}
	return alike
}

func sameKeys(a, b ends) bool {
	if len(a) != len(b) {
		return false
	}
	for server := range a {
		if _, both := b[server]; !both {
			return false
		}
	}
	return true
}

// explain takes ends that have a cause off what the others are blamed for.
func explain(left map[Fingerprint]ends, explained ends) {
	for request, servers := range left {
		maps.DeleteFunc(servers, func(server serverRun, _ run) bool {
			_, known := explained[server]
			return known
		})
		if len(servers) == 0 {
			delete(left, request)
		}
	}
}
