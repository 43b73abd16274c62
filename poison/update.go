package poison

import (
	"cmp"
	"slices"
	"time"
)

// Update is what one instance tells another of the ends of servers. It holds a part of
// what the sender knows; taking one in twice, or in another order, changes nothing.
type Update struct {
	Ends    []End  `cbor:"1,keyasint,omitempty"`
	Cleared []Mark `cbor:"2,keyasint,omitempty"`
	Probes  []Mark `cbor:"3,keyasint,omitempty"`
}

// End is the end of a server's run, with requests that were running there.
type End struct {
	_         struct{} `cbor:",toarray"`
	Server    uint64
	AgeMillis int64
	Ran       []Ran
}

// Ran is a request that was running at a server when it ended.
type Ran struct {
	_       struct{} `cbor:",toarray"`
	Request Fingerprint
	// ForMillis is for how long it had.
	ForMillis int64
}

// Mark is something that happened to a request: it ran to a good end, or a probe of it
// began.
type Mark struct {
	_         struct{} `cbor:",toarray"`
	Request   Fingerprint
	AgeMillis int64
	// Count is how many there were so far.
	Count int
}

// Update returns what others should be told now; nil if there is nothing.
func (t *Tracker) Update(now time.Time) *Update {
	if !t.remembers.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	update := &Update{}
	room := t.config.UpdateRan
	for _, server := range t.freshEnds(now) {
		room = t.add(update, server, now, room)
	}
	old := 0
	if now.Sub(t.repaired) >= t.config.RepairEvery {
		t.repaired = now
		for _, server := range t.nextToRepair(now) {
			room = t.add(update, server, now, room)
		}
		old = t.config.RepairEnds
	}
	update.Cleared = t.marksToTell(t.cleared, old, now)
	update.Probes = t.marksToTell(t.probes, old, now)
	if len(update.Ends)+len(update.Cleared)+len(update.Probes) == 0 {
		return nil
	}
	return update
}

// Whole returns all that counts against requests, in as many updates as it takes, for
// an instance that has just started.
func (t *Tracker) Whole(now time.Time) []*Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []*Update
	update, room := &Update{}, t.config.UpdateRan
	for _, server := range t.byAge() {
		if !t.counts(server, now) {
			continue
		}
		if room == 0 {
			updates = append(updates, update)
			update, room = &Update{}, t.config.UpdateRan
		}
		room = t.add(update, server, now, room)
	}
	for request, probe := range t.probes {
		if len(update.Probes) < t.config.UpdateMarks {
			update.Probes = append(update.Probes, probe.tell(request, now))
		}
	}
	if len(update.Ends) > 0 {
		updates = append(updates, update)
	}
	return updates
}

// add adds an end to an update that has room for so many requests, and returns the room
// that is left. The caller holds the lock.
func (t *Tracker) add(update *Update, server serverRun, now time.Time, room int) int {
	one := t.ends[server]
	end := End{Server: uint64(server), AgeMillis: now.Sub(one.at).Milliseconds()}
	recent := now.Sub(one.at) < t.config.RecentFor
	for request, its := range one.ran {
		if len(end.Ran) < room && (recent || t.several[request] != nil) {
			end.Ran = append(end.Ran, Ran{Request: request, ForMillis: one.at.Sub(its.began).Milliseconds()})
		}
	}
	if len(end.Ran) > 0 {
		update.Ends = append(update.Ends, end)
	}
	return room - len(end.Ran)
}

// freshEnds returns the ends that others should hear of, latest first. The caller holds
// the lock.
func (t *Tracker) freshEnds(now time.Time) []serverRun {
	var fresh []serverRun
	for server, one := range t.ends {
		if now.Before(one.freshUntil) {
			fresh = append(fresh, server)
		}
	}
	slices.SortFunc(fresh, func(a, b serverRun) int { return t.ends[b].freshUntil.Compare(t.ends[a].freshUntil) })
	return fresh
}

// counts says whether an end counts against a request, or may soon. The caller holds
// the lock.
func (t *Tracker) counts(server serverRun, now time.Time) bool {
	one := t.ends[server]
	if now.Sub(one.at) < t.config.RecentFor {
		return true
	}
	for request := range one.ran {
		if t.several[request] != nil {
			return true
		}
	}
	return false
}

// nextToRepair returns some ends that count, in turn. The caller holds the lock.
func (t *Tracker) nextToRepair(now time.Time) []serverRun {
	all := slices.DeleteFunc(t.byAge(), func(server serverRun) bool { return !t.counts(server, now) })
	if len(all) == 0 {
		return nil
	}
	picked := make([]serverRun, 0, t.config.RepairEnds)
	for i := range min(t.config.RepairEnds, len(all)) {
		picked = append(picked, all[(t.turn+i)%len(all)])
	}
	t.turn = (t.turn + len(picked)) % len(all)
	return picked
}

// byAge returns all ends, the oldest first. The caller holds the lock.
func (t *Tracker) byAge() []serverRun {
	all := make([]serverRun, 0, len(t.ends))
	for server := range t.ends {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b serverRun) int {
		return cmp.Or(t.ends[a].at.Compare(t.ends[b].at), cmp.Compare(a, b))
	})
	return all
}

// marksToTell returns the marks that others should hear of, and some old ones, whichever
// come first: the order of a map differs each time.
func (t *Tracker) marksToTell(marks map[Fingerprint]mark, old int, now time.Time) []Mark {
	var told []Mark
	for request, one := range marks {
		fresh := now.Before(one.freshUntil)
		if len(told) == t.config.UpdateMarks || (!fresh && old == 0) {
			continue
		}
		if !fresh {
			old--
		}
		told = append(told, one.tell(request, now))
	}
	return told
}

func (m mark) tell(request Fingerprint, now time.Time) Mark {
	return Mark{Request: request, AgeMillis: now.Sub(m.at).Milliseconds(), Count: m.count}
}

// Merge takes in what another instance tells, and returns whether any of it was new.
// With relay set, what is new is told on.
func (t *Tracker) Merge(update *Update, relay bool, now time.Time) (news bool) {
	if update == nil {
		return false
	}
	t.mu.Lock()
	freshUntil := time.Time{}
	if relay {
		freshUntil = now.Add(t.config.FreshFor)
	}
	for _, mark := range update.Cleared {
		if at, ok := t.happened(mark.AgeMillis, now); ok {
			news = t.clear(mark.Request, at, freshUntil) || news
		}
	}
	for _, mark := range update.Probes {
		if at, ok := t.happened(mark.AgeMillis, now); ok {
			news = t.probed(mark.Request, at, mark.Count, freshUntil) || news
		}
	}
	for _, end := range update.Ends {
		if at, ok := t.happened(end.AgeMillis, now); ok {
			news = t.ended(serverRun(end.Server), at, end.ran(at, t.config.MostRan), freshUntil, now) || news
		}
	}
	changes := t.judge()
	t.mu.Unlock()
	t.tell(changes, news)
	return news
}

// ran returns when the requests began that ran at a server which ended then, so many at
// most.
func (e End) ran(ended time.Time, most int) map[Fingerprint]time.Time {
	began := make(map[Fingerprint]time.Time, min(len(e.Ran), most))
	for _, one := range e.Ran[:min(len(e.Ran), most)] {
		ranFor := min(max(one.ForMillis, 0), longestRun.Milliseconds())
		began[one.Request] = ended.Add(-time.Duration(ranFor) * time.Millisecond)
	}
	return began
}

// longestRun bounds what is believed of how long a request had run.
const longestRun = time.Hour

// happened returns when something happened that is so old. What lies in the future, or
// is forgotten by now, never did.
func (t *Tracker) happened(ageMillis int64, now time.Time) (at time.Time, ok bool) {
	if ageMillis < 0 || ageMillis >= t.config.Memory.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ageMillis) * time.Millisecond), true
}
