package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// serverRun identifies one run of a server's process, which crashes at most once.
type serverRun uint64

// execution is one execution of a request on a server, from when the request was sent
// until the server crashed.
type execution struct{ started, crashed time.Time }

// crashSet holds the executions of one request on server runs that crashed, by server
// run.
type crashSet map[serverRun]execution

// count returns the number of crashes that count against the request with fingerprint
// of. A request that many callers send is executed several times at once, and a rack
// failure, an overload wave or a release can take down all of those servers. For the
// fingerprint of all callers, a crash therefore counts only if its execution started
// after the previously counted crash.
func (s crashSet) count(of Fingerprint) int {
	if !of.ofAllCallers() {
		return len(s)
	}
	runs := slices.SortedFunc(maps.Values(s), func(a, b execution) int { return a.crashed.Compare(b.crashed) })
	count := 0
	var last time.Time
	for _, e := range runs {
		if count == 0 || e.started.After(last) {
			count++
			last = e.crashed
		}
	}
	return count
}

// blame is what the crashes of servers indicate about one request.
type blame struct {
	// crashes counts the crashes during the request that no other request explains
	// better.
	crashes int
	// tied is set if the request cannot be told apart from another one, because the
	// same servers crashed during both.
	tied bool
}

// maxCandidates limits how many requests are considered at a time to those with the
// most crashes, because the cost is quadratic: 256 requests with 20 crashes each take 5
// ms (BenchmarkBlame).
const maxCandidates = 256

// attribute finds the requests that explain the crashes, and assigns each crash to one request.
// It is greedy: the request with the most crashes is the cause of all of them, and the same
// step repeats for the remaining crashes. A request that shared a server with the cause is
// therefore not blamed for that crash. byRequest holds the crashes of each request with at
// least Config.SuspectCrashes of them.
func (c Config) attribute(byRequest map[Fingerprint]crashSet) map[Fingerprint]blame {
	found := make(map[Fingerprint]blame)
	left := c.candidates(byRequest)
	for len(left) > 0 {
		cause := mostCrashes(left)
		servers := left[cause]
		crashes := servers.count(cause)
		if crashes < c.SuspectCrashes {
			delete(left, cause)
			continue
		}
		if byRequest[cause].count(cause) >= c.RepeatedCrashes {
			crashes = max(crashes, c.BlockCrashes)
		}
		identical := sameCrashes(left, cause)
		for _, request := range identical {
			found[request] = blame{crashes: crashes, tied: len(identical) > 1}
			delete(left, request)
		}
		if crashes >= c.BlockCrashes {
			removeExplained(left, servers)
		}
	}
	return found
}

// candidates returns the requests that may be to blame, with copies of their crash
// sets.
func (c Config) candidates(byRequest map[Fingerprint]crashSet) map[Fingerprint]crashSet {
	var several []Fingerprint
	for request, servers := range byRequest {
		if servers.count(request) >= c.SuspectCrashes {
			several = append(several, request)
		}
	}
	slices.SortFunc(several, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(byRequest[b]), len(byRequest[a])), cmp.Compare(a, b))
	})
	left := make(map[Fingerprint]crashSet)
	for _, request := range several[:min(len(several), maxCandidates)] {
		left[request] = maps.Clone(byRequest[request])
	}
	return left
}

// mostCrashes returns the request with the most crashes. If a caller's fingerprint and
// the content fingerprint of the same request have equally many, it returns the
// caller's.
func mostCrashes(left map[Fingerprint]crashSet) Fingerprint {
	return slices.MaxFunc(slices.Collect(maps.Keys(left)), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(left[a]), len(left[b])), compareScopes(a, b), cmp.Compare(a, b))
	})
}

// compareScopes orders fingerprints of all callers before fingerprints of a single
// caller.
func compareScopes(a, b Fingerprint) int {
	switch {
	case a.ofAllCallers() == b.ofAllCallers():
		return 0
	case a.ofAllCallers():
		return -1
	default:
		return 1
	}
}

// sameCrashes returns the request and all others of its kind that were being executed
// during all of its crashes. Since the request is the one with the most crashes, the
// others have no further ones.
func sameCrashes(left map[Fingerprint]crashSet, request Fingerprint) []Fingerprint {
	var identical []Fingerprint
	for other, servers := range left {
		if other.ofAllCallers() == request.ofAllCallers() && sameKeys(servers, left[request]) {
			identical = append(identical, other)
		}
	}
	return identical
}

func sameKeys(a, b crashSet) bool {
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

// removeExplained removes crashes that have a cause from the crash sets of the other
// requests.
func removeExplained(left map[Fingerprint]crashSet, explained crashSet) {
	for request, servers := range left {
		maps.DeleteFunc(servers, func(server serverRun, _ execution) bool {
			_, known := explained[server]
			return known
		})
		if len(servers) == 0 {
			delete(left, request)
		}
	}
}
