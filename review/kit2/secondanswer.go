package main

import "fmt"

// Doses of the site file for garble (extra late): a share of the workers of a service, of the answers, and seconds.
const (
	garbleShare   = 0.6
	garbleAnswers = 0.03
	garbleSeconds = 5.0
)

// secondAnswer has engines answer twice, the second time late, where the next answer is expected. A client must
// not get it.
func secondAnswer(d *deployment, trouble bool) (broken []string, err error) {
	c := newClients(d)
	const seconds = 70
	c.send(pathStream, 1.2*1.9, seconds)
	c.send(pathResume, 9.2*1.9, seconds)
	c.send(pathUnsafe, 30, seconds)
	c.send(pathSafe, 12, seconds)
	pauseFor(2)
	for round := range 12 {
		engines := 0
		for _, w := range d.all() {
			if w.service != modelService {
				continue
			}
			if engines++; trouble && float64((engines+round)%9) < garbleShare*9 {
				w.mu.Lock()
				w.secondAnswers = garbleAnswers
				w.mu.Unlock()
			}
		}
		pauseFor(garbleSeconds)
		for _, w := range d.all() {
			w.mu.Lock()
			w.secondAnswers = 0
			w.mu.Unlock()
		}
		pauseFor(0.5)
	}
	broken = c.mixed()
	d.line("ends", "statuses", fmt.Sprint(c.statuses()))
	if n := c.statuses()["200"]; n < len(c.all())/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", n, len(c.all()))
	}
	return broken, nil
}
