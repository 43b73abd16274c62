package main

import (
	"fmt"
	"time"
)

const (
	// episodes is how often workers leave, and linger for how many seconds they serve beyond drainMs.
	episodes = 9
	linger   = 0.25
)

// severalLeave has four of twelve workers leave at once, three of nine engines and one of three plain servers, that do not
// report it before: their entries are removed, and they go on serving. None of them must get a request later than drainMs after the store removed its entry.
func severalLeave(d *deployment, trouble bool) (broken []string, err error) {
	c := newClients(d)
	const seconds = 75
	c.send(pathStream, 1.2, seconds)
	c.send(pathResume, 9.2, seconds)
	c.send(pathUnsafe, 30.2, seconds)
	c.send(pathSafe, 12.1, seconds)
	pauseFor(stableMs/1000.0 + 1)
	late := make(map[string]string)
	for range episodes {
		if !trouble {
			pauseFor(8)
			continue
		}
		leaving := d.someOfEach()
		acked := make(map[*worker]time.Time)
		for _, w := range leaving {
			acked[w] = w.remove()
			d.line("entry removed", "worker", w.id, "service", w.service)
		}
		pauseFor(drainMs/1000.0 + linger)
		for _, w := range leaving {
			w.lateArrivals(acked[w].Add(drainMs*time.Millisecond), late)
			d.line("worker exits", "worker", w.id)
			w.exit()
		}
		for _, w := range leaving {
			if _, err := d.addWorker(w.service, w.stage, w.zone); err != nil {
				return nil, err
			}
		}
		pauseFor(8 - drainMs/1000.0 - linger)
	}
	counts := c.statuses()
	d.line("ends", "statuses", fmt.Sprint(counts))
	if counts["200"] < len(c.all())/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", counts["200"], len(c.all()))
	}
	lost := 0
	for _, s := range c.all() {
		if what, is := late[s.id]; is {
			whole := s.err == nil && s.status == 200
			if !whole {
				lost++
			}
			broken = append(broken, fmt.Sprintf("%s; its client got the whole answer: %v", what, whole))
		}
	}
	d.line("late", "requests", len(late), "without a whole answer", lost)
	return broken, nil
}

// someOfEach returns three decode engines and one plain server that are listed.
func (d *deployment) someOfEach() (some []*worker) {
	left := map[string]int{modelService: 3, plainService: 1}
	for _, w := range d.all() {
		w.mu.Lock()
		listed := !w.removed
		w.mu.Unlock()
		if listed && w.stage != "prefill" && left[w.service] > 0 {
			left[w.service]--
			some = append(some, w)
		}
	}
	return some
}

// lateArrivals adds the clients' requests that have reached the worker after a time, by their ids (rule DRAIN).
func (w *worker) lateArrivals(after time.Time, late map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if by := a.at.Sub(after); by > 0 {
			late[a.id] = fmt.Sprintf("%s reached %s of %s %d ms after its entry was removed (bound %d ms)", a.id, w.id, w.service, drainMs+by.Milliseconds(), drainMs)
		}
	}
}
