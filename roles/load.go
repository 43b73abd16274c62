package roles

import (
	"math"
	"time"

	"github.com/mastwheel/mastwheel/table"
)

// Demand is the work of a service's engines, in engines.
type Demand struct {
	// Prefill is how many engines it takes to read the prompts that arrive, and Decode how many
	// it takes to hold the memory of the streams.
	Prefill float64
	Decode  float64
}

// Queue is the work that the engines of a service have at one moment.
type Queue struct {
	// Reading counts the prefill engines that have prompts to read. Unread is the time that one
	// engine would take to read all prompts that wait.
	Reading int
	Unread  time.Duration
	// Memory is the KV memory of all streams, in tokens, and EngineMemory that of one engine.
	Memory       int
	EngineMemory int
}

const (
	// clearWithin is the time within which prompts that wait should be read. Callers wait for
	// 0.8 to 2 s for their first token.
	clearWithin = time.Second
	// usableMemory is the fraction of an engine's memory that can be in use. The rest is kept
	// free for streams that outgrow their expected size.
	usableMemory = 0.85
	// demandWindow is the time over which the demand is smoothed. A burst of 4 s should count,
	// and the prompts of a single second should not.
	demandWindow = 4 * time.Second
)

// demand returns the demand at one moment.
func (q Queue) demand() Demand {
	demand := Demand{Prefill: max(float64(q.Reading), q.Unread.Seconds()/clearWithin.Seconds())}
	if q.EngineMemory > 0 {
		demand.Decode = float64(q.Memory) / (usableMemory * float64(q.EngineMemory))
	}
	return demand
}

// Load follows the demand of a service. The zero value has seen nothing.
type Load struct {
	demand Demand
	at     time.Time
}

// Observe adds the work of the engines at one moment.
func (l *Load) Observe(q Queue, now time.Time) {
	next := q.demand()
	if l.at.IsZero() {
		l.demand, l.at = next, now
		return
	}
	weight := 1 - math.Exp(-now.Sub(l.at).Seconds()/demandWindow.Seconds())
	l.demand.Prefill += weight * (next.Prefill - l.demand.Prefill)
	l.demand.Decode += weight * (next.Decode - l.demand.Decode)
	l.at = now
}

// Demand returns the smoothed demand.
func (l *Load) Demand() Demand { return l.demand }

const (
	// minBusiest is the utilization of the busier role below which roles stay as they are. Its
	// queue is short, and a change takes an engine out of service for seconds. With 0.9, up to
	// 0.05 fewer streams were in time than with the fixed share, where that was just
	// sufficient (TestRolesByLoadOnSwings, moderate swings of 12 s).
	minBusiest = 0.98
	// minImbalance is how many times the utilization of the other role that of the busier one
	// must be. With less, changes would follow the noise of the demand and be made back.
	minImbalance = 1.3
)

// NextByLoad returns the next change that brings the utilization of the two roles, and so the
// times of their queues, closer to each other. It makes one change at a time, and keeps an
// engine of each role in each zone that has two. Where a role has no engine yet, the roles come
// closer to the given share first.
func NextByLoad(engines []Engine, share float64, demand Demand) (Change, bool) {
	change := Change{Demand: demand}
	for _, engine := range engines {
		if engine.changing() {
			return Change{}, false
		}
		if engine.Unreachable {
			change.Unreachable++
		}
		if engine.Role == table.RolePrefill {
			change.Prefill++
		} else {
			change.Decode++
		}
	}
	if change.Prefill == 0 || change.Decode == 0 {
		return Next(engines, share)
	}
	utilization := func(prefill int) (prefills, decodes float64) {
		return demand.Prefill / float64(prefill), demand.Decode / float64(len(engines)-prefill)
	}
	prefills, decodes := utilization(change.Prefill)
	before, other := max(prefills, decodes), min(prefills, decodes)
	from, step := table.RoleDecode, 1
	change.Role = table.RolePrefill
	if prefills < decodes {
		from, change.Role, step = table.RolePrefill, table.RoleDecode, -1
	}
	change.WantPrefill = change.Prefill + step
	if change.WantPrefill < 1 || change.WantPrefill >= len(engines) {
		return Change{}, false
	}
	prefills, decodes = utilization(change.WantPrefill)
	if before < minBusiest || before < minImbalance*other || max(prefills, decodes) >= before {
		return Change{}, false
	}
	change.Engine = selectEngine(spareInZone(engines, from), from)
	return change, change.Engine != ""
}

// spareInZone returns the engines without those of zones that would have no reachable engine of the
// role left and have two or more engines. The last reachable engine of a role is never spare. An
// engine that cannot be reached may have failed, so it does not count as one that is left. It counts
// as an engine of its zone, since it may answer again within seconds.
func spareInZone(engines []Engine, role string) []Engine {
	all, ofRole := make(map[string]int), make(map[string]int)
	left := 0
	for _, engine := range engines {
		all[engine.Zone]++
		if engine.Role == role && !engine.Unreachable {
			ofRole[engine.Zone]++
			left++
		}
	}
	var spare []Engine
	for _, engine := range engines {
		if left > 1 && (ofRole[engine.Zone] > 1 || all[engine.Zone] < 2) {
			spare = append(spare, engine)
		}
	}
	return spare
}
