package poison

import (
	"slices"
	"sync/atomic"
	"time"
)

// Decision is what happens to a request that has arrived.
type Decision string

const (
	// Run: the request is sent to a server as usual.
	Run Decision = "run"
	// Probe: the request is sent once, to the server where the fewest other requests
	// are lost if it crashes.
	Probe Decision = "probe"
	// Wait: the request was not executed. Its caller may retry, since the same request
	// is being probed or soon will be.
	Wait Decision = "wait"
	// Refuse: the request has crashed servers, and is not sent to any.
	Refuse Decision = "refuse"
)

// Admission is the result of admitting a request. The zero value stands for a request
// that is not under suspicion.
type Admission struct {
	Decision Decision
	// Transition is what was known about the request.
	Transition
	release func()
}

// Release must be called when an admitted request has ended.
func (a Admission) Release() {
	if a.release != nil {
		a.release()
	}
}

// HasSuspects reports whether any request is not clear. If none is, requests need no
// call to Admit.
func (t *Tracker) HasSuspects() bool { return len(*t.suspects.Load()) > 0 }

// Admit decides what happens to a request that has arrived.
func (t *Tracker) Admit(request Fingerprints, now time.Time) Admission {
	found := t.find(request)
	if found == nil {
		return Admission{Decision: Run, Transition: Transition{Request: request.OfCaller, State: Clear}}
	}
	admission := Admission{Decision: Wait, Transition: found.Transition}
	if found.State == Blocked {
		admission.Decision = Refuse
	}
	scheduled := found.State == Blocked || found.Tied
	probeAt := found.probeAt
	if !found.probeAloneAt.IsZero() && t.blockedParts(request) == 1 {
		probeAt = found.probeAloneAt
	}
	if scheduled && !t.shouldProbe(probeAt, now) {
		return admission
	}
	if !found.probing.CompareAndSwap(false, true) {
		return admission
	}
	if scheduled {
		t.recordProbe(found.Request, now)
	}
	admission.Decision, admission.release = Probe, func() { found.probing.Store(false) }
	return admission
}

// shouldProbe reports whether this instance probes a request now, by a random draw once
// the probe is due. All instances know when it is due, and each probe costs a server if
// the request is to blame.
func (t *Tracker) shouldProbe(probeAt, now time.Time) bool {
	overdue := now.Sub(probeAt)
	if overdue < 0 {
		return false
	}
	doubled := float64(uint64(1) << min(overdue/t.config.ProbeSpread, maxDoublings))
	return t.random() < doubled/float64(max(t.instances(), 1))
}

// blockedParts returns how many parts of a request's prompt are blocked.
func (t *Tracker) blockedParts(request Fingerprints) int {
	suspects, count := *t.suspects.Load(), 0
	for _, part := range request.Parts {
		if found := suspects[part]; found != nil && found.State == Blocked {
			count++
		}
	}
	return count
}

// maxDoublings keeps the doubling within the range of a float. At this many doublings
// the probability is 1 for any number of instances.
const maxDoublings = 30

// recordProbe records the start of a probe, and shares it with all instances.
func (t *Tracker) recordProbe(request Fingerprint, now time.Time) {
	t.mu.Lock()
	count := t.probes[request].count + 1
	isNew := t.markProbed(request, now, count, now.Add(t.config.FreshFor))
	changes := t.reevaluate()
	t.mu.Unlock()
	t.notify(changes, isNew)
}

// reevaluate recomputes the suspects if anything that they depend on has changed, and
// returns the transitions. The caller holds the lock.
func (t *Tracker) reevaluate() []Transition {
	if !t.needsEvaluation {
		return nil
	}
	t.needsEvaluation = false
	before := *t.suspects.Load()
	next := make(map[Fingerprint]*suspect)
	for request, blame := range t.config.attribute(t.candidates, t.partRecord()) {
		next[request] = t.evaluate(request, blame, before[request])
	}
	t.suspects.Store(&next)
	return transitions(before, next)
}

// partRecord returns what is known of parts of prompts. The caller holds the lock.
func (t *Tracker) partRecord() partRecord {
	record := partRecord{isSound: t.countsAsSound}
	for _, crash := range t.crashes {
		record.crashTimes = append(record.crashTimes, crash.at)
	}
	slices.SortFunc(record.crashTimes, time.Time.Compare)
	for fingerprint, cleared := range t.cleared {
		if fingerprint.IsPart() && cleared.at.After(record.lastSurvival) {
			record.lastSurvival = cleared.at
		}
	}
	return record
}

// countsAsSound reports whether a request with a part of prompts survived shortly before the first of
// the crashes that count against the part. The caller holds the lock.
func (t *Tracker) countsAsSound(part Fingerprint) bool {
	survived, known := t.cleared[part]
	first, _ := t.crashesOf[part].span()
	return known && first.Sub(survived.at) < t.config.SoundFor
}

// evaluate returns the suspect entry of a request that is blamed for crashes.
func (t *Tracker) evaluate(request Fingerprint, blame blame, before *suspect) *suspect {
	found := &suspect{Transition: Transition{Request: request, Before: Clear, State: Suspect, Crashes: blame.crashes, Tied: blame.tied}}
	found.probing = new(atomic.Bool)
	if before != nil {
		found.Before, found.probing = before.State, before.probing
	}
	probe := t.probes[request]
	found.Probes = probe.count
	switch {
	case blame.crashes < blame.toBlock:
		found.Tied = false
	case blame.tied && blame.crashes < t.config.TiedCrashes:
		found.probeAt = probe.at.Add(t.config.TiedProbeAfter)
	default:
		found.State = Blocked
		last := t.lastCrash(request)
		if probe.at.After(last) {
			last = probe.at
		}
		found.probeAt = last.Add(t.probeDelay(max(probe.count, t.crashesBeyondBlock(request, blame))))
		if blame.tied && request.IsPart() {
			found.probeAloneAt = last.Add(t.config.TiedProbeAfter)
		}
	}
	return found
}

// crashesBeyondBlock counts the crashes beyond those for which a request would have been
// blocked if all crashes had been known immediately. Each of them showed as much as a failed
// probe. The fingerprint of all callers counts only crashes of successive executions, since the
// callers' requests run concurrently.
func (t *Tracker) crashesBeyondBlock(request Fingerprint, blame blame) int {
	if request.IsPart() {
		// Requests with the part go on arriving at many instances until it is known everywhere.
		return min(blame.crashes-t.config.BlockCrashes, 1)
	}
	if request.ofAllCallers() {
		return blame.crashes - t.config.BlockCrashes
	}
	return len(t.crashesOf[request]) - t.config.BlockCrashes
}

// lastCrash returns the time of the last crash during a request. The caller holds the
// lock.
func (t *Tracker) lastCrash(request Fingerprint) time.Time {
	var last time.Time
	for _, execution := range t.crashesOf[request] {
		if execution.crashed.After(last) {
			last = execution.crashed
		}
	}
	return last
}

// probeDelay returns the delay before the next probe of a blocked request, given the
// number of probes so far.
func (t *Tracker) probeDelay(probes int) time.Duration {
	pause := t.config.ProbeAfter
	for range probes {
		pause = min(pause*time.Duration(t.config.ProbeFactor), t.config.MaxProbeDelay)
		if pause == t.config.MaxProbeDelay {
			break
		}
	}
	return pause
}

// transitions lists the requests whose state, crashes or probes differ between before
// and next.
func transitions(before, next map[Fingerprint]*suspect) []Transition {
	var changes []Transition
	for request, now := range next {
		if old := before[request]; old == nil || old.State != now.State || old.Crashes != now.Crashes || old.Probes != now.Probes {
			changes = append(changes, now.Transition)
		}
	}
	for request, old := range before {
		if next[request] == nil {
			changes = append(changes, Transition{Request: request, Before: old.State, State: Clear, Probes: old.Probes})
		}
	}
	return changes
}
