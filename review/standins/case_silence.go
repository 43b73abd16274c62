package main

import "time"

// silentFor is how long an engine falls silent.
const silentFor = 650 * time.Millisecond

// movesBefore is how many calls to move its runs a draining engine gets before it falls silent.
const movesBefore = 6

// silence replaces the decode engines one after another. Each falls silent once while its runs are moved.
// The engines answer streams without a length.
func silence(r *record, d *deployment) error {
	f := newFarm(r, d)
	f.unframed = true
	d.configure()
	decoding, err := startEngines(f, 2, 7)
	if err != nil {
		return err
	}
	if err := d.startInstances(2); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	c := newClients(r, d)
	until := time.Now().Add(45 * time.Second)
	go c.streams(pathStream, dossiers, until)
	time.Sleep(5 * time.Second)
	for turn := 0; time.Now().Before(until); turn++ {
		if turn%4 == 0 {
			c.comeAtOnce(4 * time.Second)
			time.Sleep(time.Second)
		}
		fresh, err := f.start("decode")
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		old := decoding[0]
		decoding = append(decoding[1:], fresh)
		before := old.moves.Load()
		old.drain()
		go func() {
			for wait := 0; wait < 2000 && old.moves.Load() < before+movesBefore; wait++ {
				time.Sleep(time.Millisecond)
			}
			if trouble() {
				r.note("%s falls silent", old.id)
				old.pauseFor(silentFor)
				r.note("%s goes on", old.id)
			}
			old.leave()
		}()
	}
	c.wait.Wait()
	return nil
}

// leave ends a draining engine. It serves for drainMs and a little longer, until its runs have ended.
func (e *engine) leave() {
	time.Sleep(2500 * time.Millisecond)
	for wait := 0; wait < 80 && e.running() > 0; wait++ {
		time.Sleep(100 * time.Millisecond)
	}
	e.exit()
}
