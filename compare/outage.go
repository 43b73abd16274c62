package compare

import (
	"strings"
	"time"
)

// Outage takes something away for a while.
type Outage struct {
	Name string
	At   time.Duration
	For  time.Duration
	// engines says which engines are down; Log that the log is.
	engines func(name, zone string) bool
	log     bool
}

// Outages are those that are measured, each of ten seconds from the tenth.
func Outages() []*Outage {
	outage := func(name string, log bool, engines func(name, zone string) bool) *Outage {
		return &Outage{Name: name, At: 10 * time.Second, For: 10 * time.Second, engines: engines, log: log}
	}
	none := func(string, string) bool { return false }
	return []*Outage{
		outage("one decode worker", false, func(name, _ string) bool { return strings.HasSuffix(name, "-decode-1") }),
		outage("a zone's workers", false, func(_, zone string) bool { return zone == "heredia" }),
		outage("every worker", false, func(string, string) bool { return true }),
		outage("the log", true, none),
	}
}

// play takes away and gives back.
func (o *Outage) play(s *site) {
	time.Sleep(o.At)
	o.set(s, true)
	time.Sleep(o.For)
	o.set(s, false)
}

// set switches the outage on or off. What is in memory is lost when it comes.
func (o *Outage) set(s *site, down bool) {
	s.log.Down.Store(o.log && down)
	zones := s.c.Deployment.Zones
	for n, name := range s.c.Deployment.Workers() {
		// Workers are spread over the zones in turn within each pool.
		index := n
		if n >= s.c.Deployment.Prefill {
			index = n - s.c.Deployment.Prefill
		}
		if !o.engines(name, zones[index%len(zones)]) {
			continue
		}
		e := s.farm.Engine(engineAddress(n))
		e.Faults.Down.Store(down)
		if down {
			e.Crash()
		}
	}
}
