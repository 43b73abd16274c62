package compare

import (
	"strings"
	"time"
)

// Outage makes engines or the log unavailable for a limited time.
type Outage struct {
	Name     string
	At       time.Duration
	Duration time.Duration
	// engines reports whether an engine is down. log is true if the platform's
	// log, which holds the edits of the table, is down.
	engines func(name, zone string) bool
	log     bool
}

// Outages returns the outages to measure. Each starts after ten seconds and
// lasts ten seconds.
func Outages() []*Outage {
	outage := func(name string, log bool, engines func(name, zone string) bool) *Outage {
		return &Outage{Name: name, At: 10 * time.Second, Duration: 10 * time.Second, engines: engines, log: log}
	}
	none := func(string, string) bool { return false }
	return []*Outage{
		outage("one decode worker", false, func(name, _ string) bool { return strings.HasSuffix(name, "-decode-1") }),
		outage("a zone's workers", false, func(_, zone string) bool { return zone == "heredia" }),
		outage("every worker", false, func(string, string) bool { return true }),
		outage("the log", true, none),
	}
}

// run starts the outage at its time and ends it after its duration.
func (o *Outage) run(s *simulation) {
	time.Sleep(o.At)
	o.apply(s, true)
	time.Sleep(o.Duration)
	o.apply(s, false)
}

// apply starts or ends the outage. When it starts, the affected engines lose the
// contents of their memory.
func (o *Outage) apply(s *simulation, down bool) {
	s.log.Down.Store(o.log && down)
	zones := s.c.Deployment.Zones
	for n, name := range s.c.Deployment.EngineNames() {
		// The engines of each pool are assigned to the zones round robin.
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
