package poison

import (
	"cmp"
	"slices"
	"time"
)

// Update is what one instance sends to another about crashes of servers. It holds a
// part of what the sender knows. Merging updates is idempotent and does not depend on
// their order.
type Update struct {
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	Cleared []Mark  `cbor:"2,keyasint,omitempty"`
	Probes  []Mark  `cbor:"3,keyasint,omitempty"`
}

// Crash is the crash of a server run, with requests that were running there.
type Crash struct {
	_         struct{} `cbor:",toarray"`
	Server    uint64
	AgeMillis int64
	Requests  []RunningRequest
}

// RunningRequest is a request that was running on a server when the server crashed.
type RunningRequest struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	// RunMillis is how long the request had been running.
	RunMillis int64
}

// Mark is an event of a request: it completed, or a probe of it started.
type Mark struct {
	_         struct{} `cbor:",toarray"`
	Request   Fingerprint
	AgeMillis int64
	// Count is the number of such events so far.
	Count int
}

// Update returns what should be sent to other instances now, or nil if there is
// nothing.
func (t *Tracker) Update(now time.Time) *Update {
	if !t.hasRecords.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	update := &Update{}
	room := t.config.UpdateRequests
	fresh := t.freshCrashes(now)
	// No crash of several takes all the room.
	each := room / max(min(len(fresh), crashesSharingUpdate), 1)
	for _, server := range fresh {
		room -= min(room, each) - t.appendCrash(update, server, now, min(room, each))
	}
	old := 0
	if now.Sub(t.lastRepair) >= t.config.RepairEvery {
		t.lastRepair = now
		for _, server := range t.nextToRepair(now) {
			room = t.appendCrash(update, server, now, room)
		}
		old = t.config.RepairCrashes
	}
	update.Cleared = t.marksToSend(t.cleared, old, now)
	update.Probes = t.marksToSend(t.probes, old, now)
	if len(update.Crashes)+len(update.Cleared)+len(update.Probes) == 0 {
		return nil
	}
	return update
}

// crashesSharingUpdate is the largest number of crashes among which the room of an update is divided.
const crashesSharingUpdate = 4

// FullUpdates returns everything that counts against requests, in as many updates as it
// takes, for an instance that has just started.
func (t *Tracker) FullUpdates(now time.Time) []*Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []*Update
	update, room := &Update{}, t.config.UpdateRequests
	for _, server := range t.crashesByAge() {
		if !t.isRelevant(server, now) {
			continue
		}
		if room == 0 {
			updates = append(updates, update)
			update, room = &Update{}, t.config.UpdateRequests
		}
		room = t.appendCrash(update, server, now, room)
	}
	for request, probe := range t.probes {
		if len(update.Probes) < t.config.UpdateMarks {
			update.Probes = append(update.Probes, probe.message(request, now))
		}
	}
	for request, cleared := range t.cleared {
		if len(update.Cleared) < t.config.UpdateMarks && request.IsPart() && now.Sub(cleared.at) < t.config.SoundFor {
			update.Cleared = append(update.Cleared, cleared.message(request, now))
		}
	}
	if len(update.Crashes) > 0 {
		updates = append(updates, update)
	}
	return updates
}

// appendCrash appends a crash to an update that may hold room more requests, and returns how
// many it may hold afterwards. The caller holds the lock.
func (t *Tracker) appendCrash(update *Update, server serverRun, now time.Time, room int) int {
	crash := t.crashes[server]
	end := Crash{Server: uint64(server), AgeMillis: now.Sub(crash.at).Milliseconds()}
	recent := now.Sub(crash.at) < t.config.RecentFor
	for _, request := range t.requestsToSend(crash, recent) {
		running := crash.requests[request]
		if len(end.Requests) < room {
			end.Requests = append(end.Requests, RunningRequest{Request: request, RunMillis: crash.at.Sub(running.started).Milliseconds()})
		}
	}
	if len(end.Requests) > 0 {
		update.Crashes = append(update.Crashes, end)
	}
	return room - len(end.Requests)
}

// requestsToSend returns the requests of a crash, with those first that other crashes count against as
// well, and then those that started last: a request that crashes a server does so soon. Those of a crash
// that is not recent are left out unless other crashes count, and parts of prompts against which the crash
// does not count. Whole requests are sent all the same, because the crash may be known elsewhere at a later
// time, by which it counts. The caller holds the lock.
func (t *Tracker) requestsToSend(crash *crashRecord, recent bool) []Fingerprint {
	var first, others []Fingerprint
	for request, running := range crash.requests {
		switch {
		case !running.counts && request.IsPart():
		case t.candidates[request] != nil:
			first = append(first, request)
		case recent:
			others = append(others, request)
		}
	}
	slices.SortFunc(others, func(a, b Fingerprint) int { return crash.requests[b].started.Compare(crash.requests[a].started) })
	return append(first, others...)
}

// freshCrashes returns the crashes that other instances should receive, with the most
// recently learned first. The caller holds the lock.
func (t *Tracker) freshCrashes(now time.Time) []serverRun {
	var fresh []serverRun
	for server, crash := range t.crashes {
		if now.Before(crash.freshUntil) {
			fresh = append(fresh, server)
		}
	}
	slices.SortFunc(fresh, func(a, b serverRun) int { return t.crashes[b].freshUntil.Compare(t.crashes[a].freshUntil) })
	return fresh
}

// isRelevant reports whether a crash counts against a request, or soon may. The caller
// holds the lock.
func (t *Tracker) isRelevant(server serverRun, now time.Time) bool {
	crash := t.crashes[server]
	if now.Sub(crash.at) < t.config.RecentFor {
		return true
	}
	for request := range crash.requests {
		if t.candidates[request] != nil {
			return true
		}
	}
	return false
}

// nextToRepair returns up to RepairCrashes relevant crashes in round-robin order. The
// caller holds the lock.
func (t *Tracker) nextToRepair(now time.Time) []serverRun {
	all := slices.DeleteFunc(t.crashesByAge(), func(server serverRun) bool { return !t.isRelevant(server, now) })
	if len(all) == 0 {
		return nil
	}
	selected := make([]serverRun, 0, t.config.RepairCrashes)
	for i := range min(t.config.RepairCrashes, len(all)) {
		selected = append(selected, all[(t.nextRepair+i)%len(all)])
	}
	t.nextRepair = (t.nextRepair + len(selected)) % len(all)
	return selected
}

// crashesByAge returns all crashes, with the oldest first. The caller holds the lock.
func (t *Tracker) crashesByAge() []serverRun {
	all := make([]serverRun, 0, len(t.crashes))
	for server := range t.crashes {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b serverRun) int {
		return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a, b))
	})
	return all
}

// marksToSend returns the fresh marks and as many others as old allows, limited to
// Config.UpdateMarks together. Map iteration order varies the selection.
func (t *Tracker) marksToSend(marks map[Fingerprint]mark, old int, now time.Time) []Mark {
	var sent []Mark
	for request, one := range marks {
		fresh := now.Before(one.freshUntil)
		if len(sent) == t.config.UpdateMarks || (!fresh && old == 0) {
			continue
		}
		if !fresh {
			old--
		}
		sent = append(sent, one.message(request, now))
	}
	return sent
}

func (m mark) message(request Fingerprint, now time.Time) Mark {
	return Mark{Request: request, AgeMillis: now.Sub(m.at).Milliseconds(), Count: m.count}
}

// Merge applies an update from another instance, and returns whether any of it was new.
// If relay is set, new information is passed on to other instances.
func (t *Tracker) Merge(update *Update, relay bool, now time.Time) (isNew bool) {
	if update == nil {
		return false
	}
	t.mu.Lock()
	freshUntil := time.Time{}
	if relay {
		freshUntil = now.Add(t.config.FreshFor)
	}
	for _, mark := range update.Cleared {
		if at, ok := t.eventTime(mark.AgeMillis, now); ok {
			isNew = t.markCleared(mark.Request, at, freshUntil) || isNew
		}
	}
	for _, mark := range update.Probes {
		if at, ok := t.eventTime(mark.AgeMillis, now); ok {
			isNew = t.markProbed(mark.Request, at, mark.Count, freshUntil) || isNew
		}
	}
	for _, end := range update.Crashes {
		if at, ok := t.eventTime(end.AgeMillis, now); ok {
			isNew = t.addCrash(serverRun(end.Server), at, end.startTimes(at, t.config.MaxRequestsPerCrash), freshUntil, now) || isNew
		}
	}
	changes := t.reevaluate()
	t.mu.Unlock()
	t.notify(changes, isNew)
	return isNew
}

// startTimes returns the start times of the requests that were running on a server when it
// crashed, limited to the given number of requests.
func (e Crash) startTimes(crashed time.Time, most int) map[Fingerprint]time.Time {
	began := make(map[Fingerprint]time.Time, min(len(e.Requests), most))
	for _, one := range e.Requests[:min(len(e.Requests), most)] {
		ranFor := min(max(one.RunMillis, 0), maxReportedRuntime.Milliseconds())
		began[one.Request] = crashed.Add(-time.Duration(ranFor) * time.Millisecond)
	}
	return began
}

// maxReportedRuntime limits the reported time for which a request had been running.
const maxReportedRuntime = time.Hour

// eventTime converts the age of an event to its time. It returns false for an event in
// the future, or one so old that it would already be forgotten.
func (t *Tracker) eventTime(ageMillis int64, now time.Time) (at time.Time, ok bool) {
	if ageMillis < 0 || ageMillis >= t.config.Memory.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ageMillis) * time.Millisecond), true
}
