package main

import "time"

// spot takes two decode engines away at a time: they are gone a while after their notice, and others come
// later. The engines answer streams without a length.
func spot(r *record, d *deployment) error {
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
	until := time.Now().Add(65 * time.Second)
	go c.streams(pathStream, dossiers, until)
	time.Sleep(5 * time.Second)
	for time.Now().Before(until.Add(-12 * time.Second)) {
		c.comeAtOnce(crowdFor)
		time.Sleep(crowdBefore)
		if trouble() {
			taken := decoding[:spotCount]
			decoding = decoding[spotCount:]
			for _, e := range taken {
				e.drain()
			}
			time.Sleep(spotNotice)
			for _, e := range taken {
				e.exit()
			}
			time.Sleep(spotPause)
			for range taken {
				fresh, err := f.start("decode")
				if err != nil {
					return err
				}
				decoding = append(decoding, fresh)
			}
			time.Sleep(3 * time.Second)
		} else {
			time.Sleep(spotNotice + spotPause + 3*time.Second)
		}
	}
	c.wait.Wait()
	return nil
}

const (
	// crowdFor is for how long many users come at once, and crowdBefore how long before the notice they begin.
	crowdFor    = 4 * time.Second
	crowdBefore = 2500 * time.Millisecond
	// spotCount is how many engines are taken away at a time, spotNotice the time from the notice until they
	// are gone, and spotPause until others come.
	spotCount  = 2
	spotNotice = 2 * time.Second
	spotPause  = 4 * time.Second
)
