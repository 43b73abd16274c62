package poison

import (
	"maps"
	"time"
)

// This file holds the records of a tracker: crashes of servers with the requests that
// were running there, and marks of requests.

// addCrash records that a server run crashed during requests that started at the given
// times. It returns whether any of that was new. The caller holds the lock.
func (t *Tracker) addCrash(server serverRun, at time.Time, started map[Fingerprint]time.Time, freshUntil, now time.Time) (isNew bool) {
	crash := t.crashes[server]
	if pending := t.unconfirmed[server]; pending != nil {
		started = maps.Clone(started)
		if started == nil {
			started = make(map[Fingerprint]time.Time)
		}
		maps.Copy(started, pending.started)
		delete(t.unconfirmed, server)
		if pending.since.Before(at) {
			at = pending.since
		}
		// Requests that were observed here are sent to all instances, whichever
		// instance detected the crash.
		freshUntil = now.Add(t.config.FreshFor)
	}
	if crash == nil {
		if len(started) == 0 || !t.evictOldest(at) {
			return false
		}
		crash = &crashRecord{at: at, requests: make(map[Fingerprint]runningRequest)}
		t.crashes[server] = crash
	}
	if at.Before(crash.at) {
		crash.at = at
		isNew = t.recount(server)
	}
	for request, startedAt := range started {
		if running, known := crash.requests[request]; known {
			isNew = t.startedEarlier(server, request, running, startedAt) || isNew
			continue
		}
		if !t.makeRoom(server, startedAt) {
			continue
		}
		isNew = true
		counts := crash.at.After(t.cleared[request].at)
		crash.requests[request] = runningRequest{started: startedAt, counts: counts}
		if counts {
			t.linkCrash(request, server)
		}
	}
	if isNew && freshUntil.After(crash.freshUntil) {
		crash.freshUntil = freshUntil
	}
	t.hasRecords.Store(true)
	return isNew
}

// minStartDifference is the least difference between two start times that is no matter of how ages are
// rounded and datagrams delayed.
const minStartDifference = 50 * time.Millisecond

// startedEarlier records that another request with a part of prompts had been running at a crash for
// longer. It returns whether that was new. The caller holds the lock.
func (t *Tracker) startedEarlier(server serverRun, part Fingerprint, known runningRequest, startedAt time.Time) bool {
	if !part.IsPart() || known.started.Sub(startedAt) < minStartDifference {
		return false
	}
	known.started = startedAt
	t.crashes[server].requests[part] = known
	if known.counts {
		t.linkCrash(part, server)
	}
	return true
}

// makeRoom drops the request of a crash that started first if there is no room for another one. It
// returns false if the new one started no later. The caller holds the lock.
func (t *Tracker) makeRoom(server serverRun, startedAt time.Time) bool {
	requests := t.crashes[server].requests
	if len(requests) < t.config.MaxRequestsPerCrash {
		return true
	}
	first, at := Fingerprint(0), startedAt
	for request, running := range requests {
		if running.started.Before(at) {
			first, at = request, running.started
		}
	}
	if !at.Before(startedAt) {
		return false
	}
	t.unlinkCrash(first, server)
	delete(requests, first)
	return true
}

// recount stops counting a crash against requests that completed after it, now that the
// crash is known to be earlier than recorded. It returns whether there were any. The
// caller holds the lock.
func (t *Tracker) recount(server serverRun) (changed bool) {
	crash := t.crashes[server]
	for request, running := range crash.requests {
		switch {
		case !running.counts:
		case crash.at.After(t.cleared[request].at):
			t.crashesOf[request][server] = execution{started: running.started, crashed: crash.at}
			t.needsEvaluation = true
		default:
			t.uncount(server, request)
			changed = true
		}
	}
	return changed
}

// uncount stops counting a crash against a request. The caller holds the lock.
func (t *Tracker) uncount(server serverRun, request Fingerprint) {
	running := t.crashes[server].requests[request]
	running.counts = false
	t.crashes[server].requests[request] = running
	t.unlinkCrash(request, server)
}

func (t *Tracker) linkCrash(request Fingerprint, server serverRun) {
	if t.crashesOf[request] == nil {
		t.crashesOf[request] = make(crashSet)
		t.knownFingerprints.Store(request, struct{}{})
	}
	crash := t.crashes[server]
	t.crashesOf[request][server] = execution{started: crash.requests[request].started, crashed: crash.at}
	if len(t.crashesOf[request]) >= t.config.SuspectCrashes {
		t.candidates[request] = t.crashesOf[request]
		t.needsEvaluation = true
	}
}

// evictOldest drops the oldest crash if there is no room for another one. It returns
// false if the new crash, at the given time, is older than all others. The caller holds
// the lock.
func (t *Tracker) evictOldest(at time.Time) bool {
	if len(t.crashes) < t.config.MaxCrashes {
		return true
	}
	oldest := t.crashesByAge()[0]
	if at.Before(t.crashes[oldest].at) {
		return false
	}
	t.dropCrash(oldest)
	return true
}

// dropCrash drops the record of a crash. The caller holds the lock.
func (t *Tracker) dropCrash(server serverRun) {
	for request := range t.crashes[server].requests {
		t.unlinkCrash(request, server)
	}
	delete(t.crashes, server)
}

func (t *Tracker) unlinkCrash(request Fingerprint, server serverRun) {
	delete(t.crashesOf[request], server)
	if t.candidates[request] != nil {
		t.needsEvaluation = true
	}
	if len(t.crashesOf[request]) < t.config.SuspectCrashes {
		delete(t.candidates, request)
	}
	if len(t.crashesOf[request]) == 0 {
		delete(t.crashesOf, request)
		t.dropUnusedFingerprint(request)
	}
}

// markCleared records that a request completed, so that earlier crashes during it had
// another cause. It returns whether that was new. The caller holds the lock.
func (t *Tracker) markCleared(request Fingerprint, at, freshUntil time.Time) (isNew bool) {
	before, known := t.cleared[request]
	if known && !at.After(before.at) {
		return false
	}
	for server := range t.crashesOf[request] {
		if crash := t.crashes[server]; !crash.at.After(at) {
			t.uncount(server, request)
			isNew = true
		}
	}
	if !known && len(t.cleared) >= t.config.MaxCrashes {
		dropOldest(t.cleared)
	}
	// The same completion, reported by another sibling, seems slightly later, because ages are rounded
	// and datagrams take time. It must not end the time for which the mark is sent on.
	next := mark{at: at, count: before.count + 1, freshUntil: before.freshUntil}
	if isNew {
		next.freshUntil = freshUntil
	}
	t.cleared[request] = next
	delete(t.probes, request)
	return isNew
}

// markProbed records the start of a probe of a request. It returns whether that was
// new. The caller holds the lock.
func (t *Tracker) markProbed(request Fingerprint, at time.Time, count int, freshUntil time.Time) bool {
	before, known := t.probes[request]
	if (known && count <= before.count) || !at.After(t.cleared[request].at) {
		return false
	}
	if !known && len(t.probes) >= t.config.MaxCrashes {
		dropOldest(t.probes)
	}
	t.probes[request] = mark{at: at, count: count, freshUntil: freshUntil}
	t.needsEvaluation = true
	return true
}

// dropOldest deletes the oldest mark.
func dropOldest(marks map[Fingerprint]mark) {
	var oldest Fingerprint
	first := true
	for request, candidate := range marks {
		if first || candidate.at.Before(marks[oldest].at) {
			oldest, first = request, false
		}
	}
	delete(marks, oldest)
}
