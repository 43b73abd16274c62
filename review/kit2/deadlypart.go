package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// sharedParts is the number of parts before the last one of a long prompt, as after so many turns of a conversation.
	sharedParts = 40
	// lateDeadly and earlyDeadly are where the part stands that crashes engines.
	lateDeadly, earlyDeadly = 36, 4
	deadlyID                = "dead0bad"
	// downFor is how long an engine is down that has crashed, and lapsesAfter when its entry is removed.
	downFor     = 2 * time.Second
	lapsesAfter = 3 * beatEvery
	// deadlyEvery makes such requests about 3 in 100 of the streams.
	deadlyEvery = 3
	// crashAfter is how long after an engine has begun an answer it crashes, and crashLate the same in another case.
	crashAfter = 20 * time.Millisecond
	crashLate  = 900 * time.Millisecond
	// crashesKnown is after how many crashes the rule counts, and deadlyAllowed how many requests may reach workers then.
	crashesKnown, deadlyAllowed = 5, 3
)

func deadlyPart(d *deployment, trouble bool) ([]string, error) {
	return withDeadlyPart(d, trouble, lateDeadly, crashAfter)
}

// deadlyPartLate has the part among the first of the prompt, and engines that crash later.
func deadlyPartLate(d *deployment, trouble bool) ([]string, error) {
	return withDeadlyPart(d, trouble, earlyDeadly, crashLate)
}

// withDeadlyPart has one part of prompts crash each engine that begins to write an answer on it. Requests with that part
// come at any instance, no two alike.
func withDeadlyPart(d *deployment, trouble bool, position int, crashAt time.Duration) (broken []string, err error) {
	c := newClients(d)
	const seconds = 75
	var ids []string
	for n := range sharedParts {
		id := fmt.Sprintf("%08x", rand.Uint32())
		if n == position {
			id = deadlyID
		}
		ids = append(ids, id)
	}
	if trouble {
		d.crashOn(deadlyID, crashAt)
	}
	c.send(pathStream, 1.2, seconds)
	c.send(pathResume, 9.2, seconds)
	c.send(pathUnsafe, 30.2, seconds)
	c.send(pathSafe, 12.1, seconds)
	pauseFor(2)
	var deadly sync.Map
	for began := time.Now(); time.Since(began).Seconds() < seconds-5; {
		c.wait.Go(func() {
			parts := make([]string, 0, sharedParts+1)
			for _, id := range ids {
				parts = append(parts, id+":5")
			}
			parts = append(parts, fmt.Sprintf("%08x:3000", rand.Uint32()))
			deadly.Store(c.one(pathStream, strings.Join(parts, ",")), true)
		})
		// Sound requests have the other parts.
		c.wait.Go(func() {
			parts := make([]string, 0, sharedParts+1)
			for n, id := range ids {
				if n == position {
					id = fmt.Sprintf("%08x", rand.Uint32())
				}
				parts = append(parts, id+":5")
			}
			parts = append(parts, fmt.Sprintf("%08x:3000", rand.Uint32()))
			c.one(pathStream, strings.Join(parts, ","))
		})
		pauseFor(deadlyEvery)
	}
	c.all()
	crashes := d.crashTimes()
	d.line("ends", "crashes", len(crashes), "statuses", fmt.Sprint(c.statuses()))
	if len(crashes) < crashesKnown {
		return nil, nil
	}
	after := crashes[crashesKnown-1].Add(stableMs * time.Millisecond)
	reached := make(map[string]bool)
	for _, w := range d.all() {
		w.mu.Lock()
		for _, a := range w.arrivals {
			if _, is := deadly.Load(a.id); is && a.at.After(after) {
				reached[a.id] = true
			}
		}
		w.mu.Unlock()
	}
	d.line("deadly requests reached workers", "later than ms after the fifth crash", stableMs, "requests", len(reached), "allowed", deadlyAllowed)
	if len(reached) > deadlyAllowed {
		cut := 0
		for _, s := range c.all() {
			if _, is := deadly.Load(s.id); !is && (s.err != nil || s.status == 502) {
				cut++
			}
		}
		broken = append(broken, fmt.Sprintf("%d requests with a part that crashes workers reached workers later than %d ms after the fifth crash; %d workers crashed, and %d sound requests were cut",
			len(reached), stableMs, len(crashes), cut))
	}
	return broken, nil
}

// crashOn makes a part crash all engines, also those that start later.
func (d *deployment) crashOn(part string, after time.Duration) {
	d.mu.Lock()
	d.deadly, d.deadlyAfter = part, after
	d.mu.Unlock()
	for _, w := range d.all() {
		w.mu.Lock()
		w.deadlyPart, w.deadlyAfter = part, after
		w.mu.Unlock()
	}
}

// crash ends a worker. It is back after a while as a new boot with a new id, at its address.
func (d *deployment) crash(w *worker) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.mu.Unlock()
	w.exit()
	time.AfterFunc(lapsesAfter, func() { w.remove() })
	time.AfterFunc(downFor, func() {
		if d.stopping.Load() {
			return
		}
		if _, err := d.addWorkerAt(w.service, w.stage, w.zone, w.address()); err != nil {
			d.line("worker did not start", "err", err)
		}
	})
}

func (d *deployment) crashTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.crashes...)
}
