package poison

import (
	"maps"
	"time"
)

// What a tracker remembers: ends of servers with what ran there, and marks of requests.

// ended takes in that a server ended under requests, which began then. It returns whether
// any of that was new. The caller holds the lock.
func (t *Tracker) ended(server serverRun, at time.Time, ran map[Fingerprint]time.Time, freshUntil, now time.Time) (news bool) {
	one := t.ends[server]
	if runs := t.broken[server]; runs != nil {
		ran = maps.Clone(ran)
		if ran == nil {
			ran = make(map[Fingerprint]time.Time)
		}
		maps.Copy(ran, runs.ran)
		delete(t.broken, server)
		if runs.since.Before(at) {
			at = runs.since
		}
		// What was seen here is told to all, whoever noticed the end.
		freshUntil = now.Add(t.config.FreshFor)
	}
	if one == nil {
		if len(ran) == 0 || !t.makeRoom(at) {
			return false
		}
		one = &end{at: at, ran: make(map[Fingerprint]participant)}
		t.ends[server] = one
	}
	if at.Before(one.at) {
		one.at = at
		news = t.recount(server)
	}
	for request, began := range ran {
		if _, known := one.ran[request]; known || len(one.ran) >= t.config.MostRan {
			continue
		}
		news = true
		counts := one.at.After(t.cleared[request].at)
		one.ran[request] = participant{began: began, counts: counts}
		if counts {
			t.addRun(request, server)
		}
	}
	if news && freshUntil.After(one.freshUntil) {
		one.freshUntil = freshUntil
	}
	t.remembers.Store(true)
	return news
}

// recount takes the requests off an end that ran to a good end after it, now that it is
// known to be earlier. It returns whether there were any. The caller holds the lock.
func (t *Tracker) recount(server serverRun) (changed bool) {
	one := t.ends[server]
	for request, its := range one.ran {
		switch {
		case !its.counts:
		case one.at.After(t.cleared[request].at):
			t.ran[request][server] = run{began: its.began, ended: one.at}
			t.unjudged = true
		default:
			t.uncount(server, request)
			changed = true
		}
	}
	return changed
}

// uncount takes a request off an end. The caller holds the lock.
func (t *Tracker) uncount(server serverRun, request Fingerprint) {
	its := t.ends[server].ran[request]
	its.counts = false
	t.ends[server].ran[request] = its
	t.dropRun(request, server)
}

func (t *Tracker) addRun(request Fingerprint, server serverRun) {
	if t.ran[request] == nil {
		t.ran[request] = make(ends)
		t.known.Store(request, struct{}{})
	}
	one := t.ends[server]
	t.ran[request][server] = run{began: one.ran[request].began, ended: one.at}
	if len(t.ran[request]) >= t.config.SuspectCrashes {
		t.several[request] = t.ran[request]
		t.unjudged = true
	}
}

// makeRoom forgets the oldest end if there are too many. It returns false if that is the
// one to be added. The caller holds the lock.
func (t *Tracker) makeRoom(at time.Time) bool {
	if len(t.ends) < t.config.MostEnds {
		return true
	}
	oldest := t.byAge()[0]
	if at.Before(t.ends[oldest].at) {
		return false
	}
	t.forget(oldest)
	return true
}

// forget drops an end. The caller holds the lock.
func (t *Tracker) forget(server serverRun) {
	for request := range t.ends[server].ran {
		t.dropRun(request, server)
	}
	delete(t.ends, server)
}

func (t *Tracker) dropRun(request Fingerprint, server serverRun) {
	delete(t.ran[request], server)
	if t.several[request] != nil {
		t.unjudged = true
	}
	if len(t.ran[request]) < t.config.SuspectCrashes {
		delete(t.several, request)
	}
	if len(t.ran[request]) == 0 {
		delete(t.ran, request)
		t.forgetUnlessKnown(request)
	}
}

// clear takes in that a request ran to a good end: what ended under it before did so for
// another reason. It returns whether that was new. The caller holds the lock.
func (t *Tracker) clear(request Fingerprint, at, freshUntil time.Time) (news bool) {
	before, known := t.cleared[request]
	if known && !at.After(before.at) {
		return false
	}
	for server := range t.ran[request] {
		if one := t.ends[server]; !one.at.After(at) {
			t.uncount(server, request)
			news = true
		}
	}
	if !known && len(t.cleared) >= t.config.MostEnds {
		dropOldest(t.cleared)
	}
	next := mark{at: at, count: before.count + 1}
	if news {
		next.freshUntil = freshUntil
	}
	t.cleared[request] = next
	delete(t.probes, request)
	return news
}

// probed takes in that a probe of a request began. It returns whether that was new. The
// caller holds the lock.
func (t *Tracker) probed(request Fingerprint, at time.Time, count int, freshUntil time.Time) bool {
	before, known := t.probes[request]
	if (known && count <= before.count) || !at.After(t.cleared[request].at) {
		return false
	}
	if !known && len(t.probes) >= t.config.MostEnds {
		dropOldest(t.probes)
	}
	t.probes[request] = mark{at: at, count: count, freshUntil: freshUntil}
	t.unjudged = true
	return true
}

// dropOldest drops the mark that lies back furthest.
func dropOldest(marks map[Fingerprint]mark) {
	var oldest Fingerprint
	first := true
	for request, one := range marks {
		if first || one.at.Before(marks[oldest].at) {
			oldest, first = request, false
		}
	}
	delete(marks, oldest)
}
