package poison

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known about a request.
type State string

const (
	// Clear: the request is not under suspicion.
	Clear State = "clear"
	// Suspect: servers crashed during the request, and its executions are probes.
	Suspect State = "suspect"
	// Blocked: the request crashes servers, and is not sent to any.
	Blocked State = "blocked"
)

// Transition is a change of what is known about a request.
type Transition struct {
	Request       Fingerprint
	Before, State State
	// Crashes counts the servers that crashed during the request and whose crash no
	// other request explains.
	Crashes int
	// Tied is set if the request cannot be told apart from another one.
	Tied bool
	// Probes counts the probes of the request so far.
	Probes int
}

// Tracker records which requests were running on servers when the servers crashed, as seen by
// this instance and by other instances. Requests read it without a lock while no crash is
// recorded.
type Tracker struct {
	config Config
	random func() float64
	// instances returns the number of instances.
	instances func() int
	// hasRecords is set while any crash or unconfirmed crash is recorded.
	hasRecords atomic.Bool
	// suspects holds the requests that are not clear. Each change replaces the map.
	// knownFingerprints holds the fingerprints of requests that were running during a
	// recorded crash, confirmed or not.
	suspects          atomic.Pointer[map[Fingerprint]*suspect]
	knownFingerprints sync.Map

	mu          sync.Mutex
	crashes     map[serverRun]*crashRecord
	unconfirmed map[serverRun]*unconfirmedCrash
	// crashesOf holds the crashes during each request since it was last cleared.
	// candidates holds those of the requests with at least Config.SuspectCrashes of
	// them.
	crashesOf  map[Fingerprint]crashSet
	candidates map[Fingerprint]crashSet
	// needsEvaluation is set if candidates or a probe has changed since the suspects
	// were computed.
	needsEvaluation bool
	cleared         map[Fingerprint]mark
	probes          map[Fingerprint]mark
	// onTransition, if set, is called for each transition. onUpdate, if set, is called when
	// there are new crashes or marks to send to other instances.
	onTransition func(Transition)
	onUpdate     func()
	// lastRepair is when an update last repeated records that are no longer fresh.
	// nextRepair is the index of the next crash to repeat.
	lastRepair time.Time
	nextRepair int
}

// crashRecord is the crash of a server run.
type crashRecord struct {
	at time.Time
	// requests holds the requests that were running on the server.
	requests   map[Fingerprint]runningRequest
	freshUntil time.Time
}

// runningRequest is a request that was running on a server when the server crashed.
type runningRequest struct {
	started time.Time
	// counts is set unless the request has completed after the crash.
	counts bool
}

// unconfirmedCrash holds the requests whose connection broke at a server run that is
// not known to have crashed.
type unconfirmedCrash struct {
	since time.Time
	// started holds the start time of each request.
	started map[Fingerprint]time.Time
}

// mark is an event of a request: it completed, or a probe of it started.
type mark struct {
	at         time.Time
	count      int
	freshUntil time.Time
}

// suspect is a request that is not clear. Only probing changes after its creation.
type suspect struct {
	Transition
	// probeAt is the earliest time of the next probe.
	probeAt time.Time
	// probeAloneAt is the earliest time of the next probe by a request that has one of several tied parts of
	// prompts only, which tells them apart; zero if there is no such probe.
	probeAloneAt time.Time
	// probing is set while this instance probes the request.
	probing *atomic.Bool
}

// New returns an empty tracker. random returns a number in [0,1), and instances the
// number of instances.
func New(config Config, random func() float64, instances func() int) *Tracker {
	t := &Tracker{
		config: config, random: random, instances: instances,
		crashes: make(map[serverRun]*crashRecord), unconfirmed: make(map[serverRun]*unconfirmedCrash),
		crashesOf: make(map[Fingerprint]crashSet), candidates: make(map[Fingerprint]crashSet), cleared: make(map[Fingerprint]mark), probes: make(map[Fingerprint]mark),
	}
	t.suspects.Store(&map[Fingerprint]*suspect{})
	return t
}

// OnChange sets the functions that are called for each transition, and whenever there are new
// crashes or marks that other instances should receive soon. It must be called before any other
// method.
func (t *Tracker) OnChange(onTransition func(Transition), onUpdate func()) {
	t.onTransition, t.onUpdate = onTransition, onUpdate
}

func serverRunOf(name string) serverRun { return serverRun(xxhash.Sum64String(name)) }

// ConnectionBroke records that the connection of a request broke at a run of a server. It
// returns whether the caller should check if the server has crashed, which is the case for
// the first request that breaks there.
func (t *Tracker) ConnectionBroke(server string, request Fingerprints, execution BrokenRun, now time.Time) (first bool) {
	run := serverRunOf(server)
	started := request.startTimes(execution, now)
	t.mu.Lock()
	if t.crashes[run] != nil {
		isNew := t.addCrash(run, now, started, now.Add(t.config.FreshFor), now)
		changes := t.reevaluate()
		t.mu.Unlock()
		t.notify(changes, isNew)
		return false
	}
	defer t.mu.Unlock()
	pending := t.unconfirmed[run]
	if pending == nil || now.Sub(pending.since) > t.config.ConfirmTimeout {
		pending = &unconfirmedCrash{since: now, started: make(map[Fingerprint]time.Time)}
		t.unconfirmed[run] = pending
		first = true
	}
	for fingerprint, at := range started {
		if len(pending.started) < t.config.MaxRequestsPerCrash {
			pending.started[fingerprint] = startOf(fingerprint, pending.started[fingerprint], at)
			t.knownFingerprints.Store(fingerprint, struct{}{})
		}
	}
	t.hasRecords.Store(true)
	return first
}

// startOf returns the start time that is kept of the executions with one fingerprint on a server: that
// of the last one, and of the first one for a part of prompts. A part that crashes servers has no execution
// that ran for long, and one that is sound mostly has.
func startOf(fingerprint Fingerprint, known, another time.Time) time.Time {
	if fingerprint.IsPart() && !known.IsZero() && known.Before(another) {
		return known
	}
	return another
}

// Crashed records that a run of a server has crashed, during the requests whose
// connections broke there recently.
func (t *Tracker) Crashed(server string, now time.Time) {
	run := serverRunOf(server)
	t.mu.Lock()
	isNew := t.addCrash(run, now, nil, now.Add(t.config.FreshFor), now)
	changes := t.reevaluate()
	t.mu.Unlock()
	t.notify(changes, isNew)
}

// Completed records that a server finished a request without crashing.
func (t *Tracker) Completed(request Fingerprints, now time.Time) {
	t.recordSound(request.all(), now)
}

// Survived records that a request is still running on a server at a time by which it would have crashed
// the server, if a part of its prompt did.
func (t *Tracker) Survived(parts []Fingerprint, now time.Time) { t.recordSound(parts, now) }

func (t *Tracker) recordSound(fingerprints []Fingerprint, now time.Time) {
	for _, fingerprint := range fingerprints {
		if _, known := t.knownFingerprints.Load(fingerprint); known {
			t.completed(fingerprint, now)
		}
	}
}

func (t *Tracker) completed(fingerprint Fingerprint, now time.Time) {
	t.mu.Lock()
	for _, pending := range t.unconfirmed {
		delete(pending.started, fingerprint)
	}
	isNew := t.markCleared(fingerprint, now, now.Add(t.config.FreshFor))
	t.dropUnusedFingerprint(fingerprint)
	changes := t.reevaluate()
	t.mu.Unlock()
	t.notify(changes, isNew)
}

// HasRecords reports whether any crash is recorded. If none is, requests need no
// fingerprint.
func (t *Tracker) HasRecords() bool { return t.hasRecords.Load() }

// State returns what is known about a request.
func (t *Tracker) State(request Fingerprints) State {
	if found := t.find(request); found != nil {
		return found.State
	}
	return Clear
}

// find returns the most severe of the entries for the fingerprints of a request, or nil if
// there is none. A part of its prompt counts only once it is blocked: the executions of requests
// that share a part under suspicion are no probes, since most of these parts are sound.
func (t *Tracker) find(request Fingerprints) *suspect {
	suspects := *t.suspects.Load()
	found := suspects[request.OfCaller]
	for _, fingerprint := range request.all()[1:] {
		other := suspects[fingerprint]
		if other == nil || fingerprint.IsPart() && other.State != Blocked {
			continue
		}
		if found == nil || (other.State == Blocked && found.State != Blocked) {
			found = other
		}
	}
	return found
}

// MayRetry reports whether a request whose connection broke may be sent again within the same
// attempt (one try of a request). Executions on servers that are not yet known to have crashed
// count as well. A request with a part under suspicion is not sent again.
func (t *Tracker) MayRetry(request Fingerprints) bool {
	suspects := *t.suspects.Load()
	for _, part := range request.Parts {
		if suspects[part] != nil {
			return false
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fingerprint := range request.whole() {
		crashes := len(t.crashesOf[fingerprint])
		for _, pending := range t.unconfirmed {
			if _, found := pending.started[fingerprint]; found {
				crashes++
			}
		}
		if crashes >= t.config.SuspectCrashes {
			return false
		}
	}
	return true
}

// Count returns the number of requests in a state other than Clear.
func (t *Tracker) Count(state State) int { return t.count(state, false) }

// BlockedParts returns the number of parts of prompts that are blocked.
func (t *Tracker) BlockedParts() int { return t.count(Blocked, true) }

func (t *Tracker) count(state State, parts bool) int {
	count := 0
	for fingerprint, found := range *t.suspects.Load() {
		if found.State == state && fingerprint.IsPart() == parts {
			count++
		}
	}
	return count
}

// Tick drops expired records.
func (t *Tracker) Tick(now time.Time) {
	if !t.hasRecords.Load() {
		return
	}
	t.mu.Lock()
	t.dropUnconfirmed(now)
	for server, crash := range t.crashes {
		if now.Sub(crash.at) >= t.config.Memory {
			t.dropCrash(server)
		}
	}
	for _, marks := range []map[Fingerprint]mark{t.cleared, t.probes} {
		maps.DeleteFunc(marks, func(_ Fingerprint, one mark) bool { return now.Sub(one.at) >= t.config.Memory })
	}
	changes := t.reevaluate()
	t.hasRecords.Store(len(t.crashes)+len(t.unconfirmed) > 0)
	t.mu.Unlock()
	t.notify(changes, false)
}

// dropUnconfirmed drops unconfirmed crashes that were not confirmed in time. The caller
// holds the lock.
func (t *Tracker) dropUnconfirmed(now time.Time) {
	for server, pending := range t.unconfirmed {
		if now.Sub(pending.since) <= t.config.ConfirmTimeout {
			continue
		}
		delete(t.unconfirmed, server)
		for request := range pending.started {
			t.dropUnusedFingerprint(request)
		}
	}
}

// dropUnusedFingerprint drops the fingerprint of a request that belongs to no crash any
// more, confirmed or not. The caller holds the lock.
func (t *Tracker) dropUnusedFingerprint(request Fingerprint) {
	if t.crashesOf[request] != nil {
		return
	}
	for _, pending := range t.unconfirmed {
		if _, found := pending.started[request]; found {
			return
		}
	}
	t.knownFingerprints.Delete(request)
}

// notify calls the functions set by OnChange.
func (t *Tracker) notify(changes []Transition, isNew bool) {
	if t.onTransition != nil {
		for _, change := range changes {
			t.onTransition(change)
		}
	}
	if isNew && t.onUpdate != nil {
		t.onUpdate()
	}
}
