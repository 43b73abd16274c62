// Package roles plans which engines of a service prefill and which decode. It
// does no I/O and reads no clock.
package roles

import (
	"math"

	"github.com/mastwheel/mastwheel/table"
)

// Engine describes one engine for planning.
type Engine struct {
	Name string
	Zone string
	Role string
	// PendingRole is the role that the engine is changing to, by an order that is
	// still in progress. It is empty if there is no such order.
	PendingRole string
	// Unreachable is set if recent queries to the engine failed. Such an engine
	// keeps its role for now.
	Unreachable bool
}

// available reports whether the engine could be ordered to change its role now.
func (e Engine) available() bool { return !e.changing() && !e.Unreachable }

// changing reports whether an order to change the engine's role is in progress.
func (e Engine) changing() bool { return e.PendingRole != "" && e.PendingRole != e.Role }

// Change is the new role of one engine and the counts that led to it.
type Change struct {
	Engine string
	Role   string
	// Prefill and Decode are the numbers of engines of each role. WantPrefill is the
	// wanted number of prefill engines.
	Prefill     int
	Decode      int
	WantPrefill int
	// Unreachable counts the engines that cannot be reached, in either role.
	Unreachable int
	// Demand is the demand that the change follows; zero if it follows a fixed share.
	Demand Demand
}

// Next returns the next change that brings the roles closer to the share of engines that
// should prefill. An engine that is changing its role counts in its new role. Each role
// keeps at least one engine that can be reached and is not changing, since one that cannot be
// reached may have failed.
func Next(engines []Engine, share float64) (Change, bool) {
	change := Change{WantPrefill: WantedPrefill(len(engines), share)}
	for _, engine := range engines {
		if engine.Unreachable {
			change.Unreachable++
		}
		if roleAfter(engine) == table.RolePrefill {
			change.Prefill++
		} else {
			change.Decode++
		}
	}
	if len(engines) < 2 || change.Prefill == change.WantPrefill {
		return Change{}, false
	}
	from := table.RolePrefill
	change.Role = table.RoleDecode
	if change.Prefill < change.WantPrefill {
		from, change.Role = table.RoleDecode, table.RolePrefill
	}
	if availableOf(engines, from) < 2 {
		return Change{}, false
	}
	change.Engine = selectEngine(engines, from)
	return change, change.Engine != ""
}

// availableOf returns the number of available engines of a role.
func availableOf(engines []Engine, role string) (count int) {
	for _, engine := range engines {
		if engine.Role == role && engine.available() {
			count++
		}
	}
	return count
}

// WantedPrefill returns how many of a number of engines should prefill.
func WantedPrefill(engines int, share float64) int {
	want := int(math.Round(float64(engines) * share))
	return max(min(want, engines-1), 1)
}

func roleAfter(engine Engine) string {
	if engine.PendingRole != "" {
		return engine.PendingRole
	}
	return engine.Role
}

// selectEngine selects an engine of a role from the zone that has the most
// engines of this role, so that the distribution over the zones stays even.
func selectEngine(engines []Engine, role string) string {
	perZone := make(map[string]int)
	for _, engine := range engines {
		if engine.Role == role && engine.available() {
			perZone[engine.Zone]++
		}
	}
	best, most := "", 0
	for _, engine := range engines {
		if engine.Role == role && engine.available() && perZone[engine.Zone] > most {
			best, most = engine.Name, perZone[engine.Zone]
		}
	}
	return best
}
