package poison

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of a request.
type State string

const (
	// Clear: nothing speaks against it.
	Clear State = "clear"
	// Suspect: servers ended under it; its runs are probes.
	Suspect State = "suspect"
	// Blocked: it crashes servers, and is not sent to any.
	Blocked State = "blocked"
)

// Transition is a change of what is known of a request.
type Transition struct {
	Request       Fingerprint
	Before, State State
	// Crashes counts the servers that ended under it and that no other explains.
	Crashes int
	// Tied is set if it cannot be told apart from another request.
	Tied bool
	// Probes counts the probes that were made of it.
	Probes int
}

// Tracker remembers which requests ran at servers when these ended, at this instance
// and at others. Requests read it without a lock while no server has ended.
type Tracker struct {
	config Config
	random func() float64
	// instances returns how many instances there are.
	instances func() int
	// remembers is set while some end of a server is remembered.
	remembers atomic.Bool
	// suspects is what requests are judged by; a new one takes its place with each
	// change. known holds the fingerprints that ran at a server when it ended.
	suspects atomic.Pointer[map[Fingerprint]*suspect]
	known    sync.Map

	mu     sync.Mutex
	ends   map[serverRun]*end
	broken map[serverRun]*brokenRuns
	// ran holds the servers that ended under each request since it was cleared, and
	// several those of the requests under which more than one did.
	ran     map[Fingerprint]ends
	several map[Fingerprint]ends
	// unjudged is set while several, or a probe, has changed since it was judged by.
	unjudged bool
	cleared  map[Fingerprint]mark
	probes   map[Fingerprint]mark
	// changed and news, if set, are told of transitions, and that others should be told
	// something now.
	changed func(Transition)
	news    func()
	// repaired is when an update last told what is no longer fresh, and turn whose
	// turn it is.
	repaired time.Time
	turn     int
}

// end is the end of a server's run.
type end struct {
	at time.Time
	// ran holds the requests that ran there.
	ran        map[Fingerprint]participant
	freshUntil time.Time
}

// participant is a request that ran at a server when it ended.
type participant struct {
	began time.Time
	// counts is set unless it ran to a good end since.
	counts bool
}

// brokenRuns are the requests that broke off at a server of which it is not known
// whether it has ended.
type brokenRuns struct {
	since time.Time
	// ran holds when each began.
	ran map[Fingerprint]time.Time
}

// mark is something that happened to a request.
type mark struct {
	at         time.Time
	count      int
	freshUntil time.Time
}

// suspect is a request that is not clear. Only probing changes.
type suspect struct {
	Transition
	// probeAt is when it may be probed.
	probeAt time.Time
	// probing is set while this instance probes it.
	probing *atomic.Bool
}

// New returns a tracker that knows nothing. random returns a number in [0,1), and
// instances how many instances there are.
func New(config Config, random func() float64, instances func() int) *Tracker {
	t := &Tracker{
		config: config, random: random, instances: instances,
		ends: make(map[serverRun]*end), broken: make(map[serverRun]*brokenRuns),
		ran: make(map[Fingerprint]ends), several: make(map[Fingerprint]ends), cleared: make(map[Fingerprint]mark), probes: make(map[Fingerprint]mark),
	}
	t.suspects.Store(&map[Fingerprint]*suspect{})
	return t
}

// OnChange has functions called for each transition, and whenever something was learnt
// that other instances should hear soon. It must be called before anything else.
func (t *Tracker) OnChange(changed func(Transition), news func()) {
	t.changed, t.news = changed, news
}

func runOf(name string) serverRun { return serverRun(xxhash.Sum64String(name)) }

// Broke notes that a request that was sent at began broke off at a run of a server, and
// returns whether it should be found out if that has ended: it is the first to break off
// there.
func (t *Tracker) Broke(server string, request Fingerprints, began, now time.Time) (first bool) {
	run := runOf(server)
	t.mu.Lock()
	if t.ends[run] != nil {
		news := t.ended(run, now, request.began(began), now.Add(t.config.FreshFor), now)
		changes := t.judge()
		t.mu.Unlock()
		t.tell(changes, news)
		return false
	}
	defer t.mu.Unlock()
	runs := t.broken[run]
	if runs == nil || now.Sub(runs.since) > t.config.BrokenFor {
		runs = &brokenRuns{since: now, ran: make(map[Fingerprint]time.Time)}
		t.broken[run] = runs
		first = true
	}
	for _, print := range request.each() {
		if len(runs.ran) < t.config.MostRan {
			runs.ran[print] = began
			t.known.Store(print, struct{}{})
		}
	}
	t.remembers.Store(true)
	return first
}

// Crashed notes that a run of a server has ended, under the requests that broke off
// there lately.
func (t *Tracker) Crashed(server string, now time.Time) {
	run := runOf(server)
	t.mu.Lock()
	news := t.ended(run, now, nil, now.Add(t.config.FreshFor), now)
	changes := t.judge()
	t.mu.Unlock()
	t.tell(changes, news)
}

// Completed notes that a server took a request to an end, and did not crash.
func (t *Tracker) Completed(request Fingerprints, now time.Time) {
	for _, print := range request.each() {
		if _, known := t.known.Load(print); known {
			t.completed(print, now)
		}
	}
}

func (t *Tracker) completed(print Fingerprint, now time.Time) {
	t.mu.Lock()
	for _, runs := range t.broken {
		delete(runs.ran, print)
	}
	news := t.clear(print, now, now.Add(t.config.FreshFor))
	t.forgetUnlessKnown(print)
	changes := t.judge()
	t.mu.Unlock()
	t.tell(changes, news)
}

// Remembers says whether any server ended of late: else no request needs a
// fingerprint.
func (t *Tracker) Remembers() bool { return t.remembers.Load() }

// State returns what is known of a request.
func (t *Tracker) State(request Fingerprints) State {
	if found := t.find(request); found != nil {
		return found.State
	}
	return Clear
}

// find returns what speaks most against a request; nil if nothing does.
func (t *Tracker) find(request Fingerprints) *suspect {
	suspects := *t.suspects.Load()
	one, all := suspects[request.OfCaller], suspects[request.Content]
	if one == nil || (all != nil && all.State == Blocked && one.State != Blocked) {
		return all
	}
	return one
}

// MayRepeat says whether a request that broke off may be sent once more within the same
// attempt. Runs count that broke off at servers of which it is not yet known whether
// they have ended.
func (t *Tracker) MayRepeat(request Fingerprints) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, print := range request.each() {
		crashes := len(t.ran[print])
		for _, runs := range t.broken {
			if _, broke := runs.ran[print]; broke {
				crashes++
			}
		}
		if crashes >= t.config.SuspectCrashes {
			return false
		}
	}
	return true
}

// Count counts the requests in a state other than clear.
func (t *Tracker) Count(state State) int {
	count := 0
	for _, found := range *t.suspects.Load() {
		if found.State == state {
			count++
		}
	}
	return count
}

// Tick forgets what is too old.
func (t *Tracker) Tick(now time.Time) {
	if !t.remembers.Load() {
		return
	}
	t.mu.Lock()
	t.dropBroken(now)
	for server, one := range t.ends {
		if now.Sub(one.at) >= t.config.Memory {
			t.forget(server)
		}
	}
	for _, marks := range []map[Fingerprint]mark{t.cleared, t.probes} {
		maps.DeleteFunc(marks, func(_ Fingerprint, one mark) bool { return now.Sub(one.at) >= t.config.Memory })
	}
	changes := t.judge()
	t.remembers.Store(len(t.ends)+len(t.broken) > 0)
	t.mu.Unlock()
	t.tell(changes, false)
}

// dropBroken forgets the runs that broke off at servers which have not ended. The caller
// holds the lock.
func (t *Tracker) dropBroken(now time.Time) {
	for server, runs := range t.broken {
		if now.Sub(runs.since) <= t.config.BrokenFor {
			continue
		}
		delete(t.broken, server)
		for request := range runs.ran {
			t.forgetUnlessKnown(request)
		}
	}
}

// forgetUnlessKnown drops the fingerprint of a request that no longer ran at any server
// when that ended, or broke off there. The caller holds the lock.
func (t *Tracker) forgetUnlessKnown(request Fingerprint) {
	if t.ran[request] != nil {
		return
	}
	for _, runs := range t.broken {
		if _, broke := runs.ran[request]; broke {
			return
		}
	}
	t.known.Delete(request)
}

// tell passes transitions on, and that there is something to tell.
func (t *Tracker) tell(changes []Transition, news bool) {
	if t.changed != nil {
		for _, change := range changes {
			t.changed(change)
		}
	}
	if news && t.news != nil {
		t.news()
	}
}
