package main

import (
	"fmt"
	"time"
)

const (
	configApplyMs = 2000
	// lowestRank is the rank of the added route, and usualRank that of another one.
	lowestRank, usualRank = 10, 3
)

// higherRank has the operator write a manifest that moves a route to another service, and adds one whose rank is lower than
// those before. The requests that are sent later than configApplyMs after its ack must be handled by it.
func higherRank(d *deployment, trouble bool) (broken []string, err error) {
	c := newClients(d)
	const seconds = 30
	c.send(pathStream, 1.2, seconds)
	c.send(pathResume, 9.2, seconds)
	c.send(pathUnsafe, 30.2, seconds)
	c.send(pathSafe, 12.1, seconds)
	pauseFor(8)
	rank := usualRank
	if trouble {
		rank = lowestRank
	}
	d.store.Put("keyed.op", "config", manifest(4, otherService, route("r-5", pathLowest, "safe", plainService, 1500, 300, rank, 2, "")))
	acked := time.Now()
	d.line("manifest", "version", 4, "rank of the added route", rank)
	pauseFor(configApplyMs/1000.0 + 0.5)
	c.send(pathLowest, 5, 15)
	all := c.all()
	counts := c.statuses()
	d.line("ends", "statuses", fmt.Sprint(counts))
	if counts["200"] < len(all)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", counts["200"], len(all))
	}
	ranAt := make(map[string]string)
	for _, w := range d.all() {
		w.mu.Lock()
		for _, a := range w.arrivals {
			ranAt[a.id] = w.service
		}
		w.mu.Unlock()
	}
	for _, s := range all {
		late := s.began.Sub(acked).Milliseconds()
		switch {
		case late <= configApplyMs:
		case s.path == pathUnsafe && ranAt[s.id] == plainService:
			broken = append(broken, fmt.Sprintf("%s was sent %d ms after the ack and run by the old service (bound %d ms)", s.id, late, configApplyMs))
		case s.path == pathLowest && s.status == 404:
			broken = append(broken, fmt.Sprintf("%s was sent %d ms after the ack and refused with 404 (bound %d ms)", s.id, late, configApplyMs))
		}
	}
	return broken, nil
}
