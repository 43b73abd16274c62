package main

import (
	"net/http"
	"time"
)

const (
	// drainTime is drainMs. vanishAfter is when a worker ends whose entry was removed: after drainMs and a
	// little longer. vanishPause is the time until there are workers in the zone again.
	drainTime   = 2 * time.Second
	vanishAfter = 2200 * time.Millisecond
	vanishPause = 5 * time.Second
)

// vanish takes four of the twelve workers away at a time. Those of one zone never report that they drain: their
// entries are removed, they serve for a while, and end.
func vanish(r *record, d *deployment) error {
	f := newFarm(r, d)
	d.configure()
	decoding, err := startEngines(f, 2, 7)
	if err != nil {
		return err
	}
	plain := make(map[string]*plainProcess)
	for number := range zoneNames {
		p, err := startPlain(r, d, 50+number, "framed")
		if err != nil {
			return err
		}
		plain[p.zone] = p
	}
	if err := d.startInstances(2); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c := newClients(r, d)
	until := time.Now().Add(88 * time.Second)
	go c.streams(pathStream, dossiers, until)
	go c.plainCalls(http.MethodPost, pathUnsafe, 44, until)
	go c.plainCalls(http.MethodGet, pathSafe, 18, until)
	time.Sleep(5 * time.Second)
	for turn := 0; trouble() && time.Now().Before(until.Add(-10*time.Second)); turn++ {
		zone := zoneNames[turn%len(zoneNames)]
		var taken, left []*engine
		for _, e := range decoding {
			if e.zone == zone {
				taken = append(taken, e)
			} else {
				left = append(left, e)
			}
		}
		one := plain[zone]
		if turn%len(zoneNames) == 0 {
			// The workers of this zone never report that they drain.
			one.vanish()
			for _, e := range taken {
				e.vanish()
			}
		} else {
			one.drain()
			for _, e := range taken {
				e.drain()
			}
		}
		time.Sleep(vanishAfter)
		for _, e := range taken {
			e.exit()
		}
		one.kill()
		decoding = left
		time.Sleep(vanishPause)
		for range taken {
			fresh, err := f.startIn(zone, "decode")
			if err != nil {
				return err
			}
			decoding = append(decoding, fresh)
		}
		if plain[zone], err = startPlainIn(r, d, 60+turn, zone, "framed"); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(time.Until(until))
	c.wait.Wait()
	return nil
}

// vanish removes the entry of the engine, which goes on to serve.
func (e *engine) vanish() {
	e.mu.Lock()
	e.silentLeave = true
	e.mu.Unlock()
	e.farm.deployment.unregister(e.id)
	e.mu.Lock()
	e.removedAt = time.Now()
	left := len(e.runs)
	e.mu.Unlock()
	e.farm.record.note("the entry of %s is removed, it has %d runs", e.id, left)
}

// checkLate notes a request of a client that reaches the engine too late after its entry was removed.
func (e *engine) checkLate(attempt string) {
	e.mu.Lock()
	removed := e.removedAt
	e.mu.Unlock()
	if after := time.Since(removed); !removed.IsZero() && after > drainTime {
		e.farm.record.breaks("DRAIN: %s reaches %s %d ms after the removal of its entry was acknowledged", attempt, e.id, after.Milliseconds())
	}
}
