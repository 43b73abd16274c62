package poison

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

// serverRun identifies one run of a server's process, which crashes at most once.
type serverRun uint64

// execution is one execution of a request on a server, from when the request was sent
// until the server crashed. For a part of prompts it starts when the server began to write
// for the first of the requests with the part that were running there.
type execution struct{ started, crashed time.Time }

// crashSet holds the executions of one request on server runs that crashed, by server
// run.
type crashSet map[serverRun]execution

// harmlessRun is how long a server must have been writing for a request when it crashed to show that no
// part of its prompt was the cause. A part that crashes servers does so within 0.12 s of when they begin
// to run the request (source: incident 29).
const harmlessRun = 500 * time.Millisecond

// count returns the number of crashes that count against the request with fingerprint
// of. A request that many callers send is executed several times at once, and a rack
// failure, an overload wave or a release can take down all of those servers. For the
// fingerprint of all callers, a crash therefore counts only if its execution started
// after the previously counted crash. A part that sound requests share runs on a server
// before most crashes, so that few count, whatever else crashes servers. For a part, a crash
// does not count at all if the server had been writing for it for long.
func (s crashSet) count(of Fingerprint) int {
	if !of.ofAllCallers() {
		return len(s)
	}
	runs := slices.SortedFunc(maps.Values(s), func(a, b execution) int { return a.crashed.Compare(b.crashed) })
	count := 0
	var last time.Time
	for _, e := range runs {
		if of.IsPart() && e.crashed.Sub(e.started) >= harmlessRun {
			continue
		}
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
	// toBlock is how many crashes are enough to block the request.
	toBlock int
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
// least Config.SuspectCrashes of them, and record what else is known of parts of prompts.
func (c Config) attribute(byRequest map[Fingerprint]crashSet, record partRecord) map[Fingerprint]blame {
	found := make(map[Fingerprint]blame)
	left := c.candidates(byRequest)
	sound := make(map[Fingerprint]bool)
	for request := range left {
		sound[request] = request.IsPart() && record.isSound(request)
	}
	weights := weigh(left)
	for len(left) > 0 {
		cause := mostCrashes(weights, sound)
		if cause.IsPart() && !sound[cause] {
			cause = c.shortestRunning(cause, left, weights, sound)
		}
		servers := left[cause]
		crashes, toBlock := servers.count(cause), c.BlockCrashes
		if cause.IsPart() {
			toBlock = c.crashesToBlockPart(sound[cause], byRequest[cause], record)
		}
		if crashes < c.SuspectCrashes || sound[cause] && crashes < toBlock {
			delete(left, cause)
			delete(weights, cause)
			continue
		}
		if byRequest[cause].count(cause) >= c.RepeatedCrashes {
			crashes = max(crashes, c.BlockCrashes)
		}
		identical := sameCrashes(left, cause, sound)
		for _, request := range identical {
			found[request] = blame{crashes: crashes, toBlock: toBlock, tied: len(identical) > 1}
			delete(left, request)
			delete(weights, request)
		}
		switch {
		case crashes >= toBlock:
			removeExplained(left, servers, func(Fingerprint) bool { return true })
			weights = weigh(left)
		case cause.IsPart():
			removeExplained(left, servers, Fingerprint.IsPart)
			weights = weigh(left)
		}
	}
	return found
}

// partRecord is what is known of parts of prompts beside the crashes that count against them.
type partRecord struct {
	// isSound reports whether a part counts as sound. It is then blamed only for what nothing else explains.
	isSound func(Fingerprint) bool
	// crashTimes holds the times of all crashes in ascending order.
	crashTimes []time.Time
	// lastSurvival is when a request with some part last survived or completed.
	lastSurvival time.Time
}

// between returns the number of crashes from one time to another, both included.
func (r partRecord) between(from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(r.crashTimes, from, time.Time.Compare)
	past := sort.Search(len(r.crashTimes), func(i int) bool { return r.crashTimes[i].After(to) })
	return past - first
}

// crashesToBlockPart returns how many crashes are enough to block a part of prompts. Where many servers
// crash for other reasons, the few requests with a sound part may all run there, and in the first moments
// of traffic no request has run for long enough to show that its parts are sound. Fewer crashes are
// therefore enough only if the part explains most of those in the time from its first to its last,
// and requests with other parts survived meanwhile.
func (c Config) crashesToBlockPart(sound bool, servers crashSet, record partRecord) int {
	first, last := servers.span()
	if sound || !record.lastSurvival.After(first) || float64(len(servers)) < c.ExplainedShare*float64(record.between(first, last)) {
		return c.TiedCrashes
	}
	return c.BlockCrashes
}

// span returns the times of the first and the last crash.
func (s crashSet) span() (first, last time.Time) {
	for _, e := range s {
		if first.IsZero() || e.crashed.Before(first) {
			first = e.crashed
		}
		if e.crashed.After(last) {
			last = e.crashed
		}
	}
	return first, last
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

// weigh returns how many crashes each request explains at best: all of those during it, but of a part
// only those that count, since sound requests share it.
func weigh(left map[Fingerprint]crashSet) map[Fingerprint]int {
	weights := make(map[Fingerprint]int, len(left))
	for request, servers := range left {
		weights[request] = len(servers)
		if request.IsPart() {
			weights[request] = servers.count(request)
		}
	}
	return weights
}

// mostCrashes returns the request that explains the most crashes. Of fingerprints with equally many it
// returns the most specific: the caller's, then the content's, then a part's. Parts that
// count as sound come last.
func mostCrashes(weights map[Fingerprint]int, sound map[Fingerprint]bool) Fingerprint {
	return slices.MaxFunc(slices.Collect(maps.Keys(weights)), func(a, b Fingerprint) int {
		return cmp.Or(compareBools(sound[b], sound[a]), cmp.Compare(weights[a], weights[b]),
			cmp.Compare(specificity(a), specificity(b)), cmp.Compare(a, b))
	})
}

// comparableWeight is the fraction of the most crashes that a part explains from which the part that
// ran for the shortest time is preferred. Reports of a crash arrive one after the other, so that the
// part that caused it may not be among the first.
const comparableWeight = 0.6

// minRunDifference is the least difference between the mean times for which the requests with two parts had
// been running that tells the parts apart. Run times are rounded to a millisecond.
const minRunDifference = 5 * time.Millisecond

// shortestRunning returns, of the part that explains the most crashes and those that explain about as
// many, the one whose requests had run for the shortest time. A part that crashes servers has no
// requests that run for long, and a part that is always beside it mostly has some.
func (c Config) shortestRunning(cause Fingerprint, left map[Fingerprint]crashSet, weights map[Fingerprint]int, sound map[Fingerprint]bool) Fingerprint {
	most, shortest := weights[cause], left[cause].meanRun()
	for other, weight := range weights {
		if !other.IsPart() || sound[other] || weight < c.SuspectCrashes || float64(weight) < comparableWeight*float64(most) {
			continue
		}
		if run := left[other].meanRun(); run <= shortest-minRunDifference {
			cause, shortest = other, run
		}
	}
	return cause
}

// meanRun returns the mean time for which the request had been running.
func (s crashSet) meanRun() time.Duration {
	var sum time.Duration
	for _, e := range s {
		sum += e.crashed.Sub(e.started)
	}
	return sum / time.Duration(max(len(s), 1))
}

// specificity orders fingerprints by how few requests they identify.
func specificity(f Fingerprint) int {
	switch {
	case f.IsPart():
		return 0
	case f.ofAllCallers():
		return 1
	default:
		return 2
	}
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// sameCrashes returns the request and all others of its scope that were being executed
// during all of its crashes. Parts of prompts must also have been running for as long. Since
// the request is the one with the most crashes, the others have no further ones.
func sameCrashes(left map[Fingerprint]crashSet, request Fingerprint, sound map[Fingerprint]bool) []Fingerprint {
	var identical []Fingerprint
	for other, servers := range left {
		if specificity(other) != specificity(request) || sound[other] != sound[request] || !sameKeys(servers, left[request]) {
			continue
		}
		if !request.IsPart() || servers.meanRun()-left[request].meanRun() < minRunDifference {
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

// removeExplained removes crashes that have a cause from the crash sets of other requests.
func removeExplained(left map[Fingerprint]crashSet, explained crashSet, from func(Fingerprint) bool) {
	for request, servers := range left {
		if !from(request) {
			continue
		}
		maps.DeleteFunc(servers, func(server serverRun, _ execution) bool {
			_, known := explained[server]
			return known
		})
		if len(servers) == 0 {
			delete(left, request)
		}
	}
}
