// Package roles plans which engines of a service read prompts and which
// generate. It does no I/O and reads no clock.
package roles

import (
	"math"

	"github.com/mastwheel/mastwheel/table"
)

// Engine is one engine as the plan sees it.
type Engine struct {
	Name string
	Zone string
	Role string
	// Ordered is the role that an order still under way gives it; empty without
	// one.
	Ordered string
	// Unreached is set if it could not be asked of late: it keeps its role for now.
	Unreached bool
}

// free says whether it could be ordered now.
func (e Engine) free() bool { return !e.changing() && !e.Unreached }

// changing says whether an order is under way.
func (e Engine) changing() bool { return e.Ordered != "" && e.Ordered != e.Role }

// Change is one engine's new role, with what led to it.
type Change struct {
	Engine string
	Role   string
	// Prefill and Decode count the engines of each role, and Want the prefill
	// engines that there should be.
	Prefill int
	Decode  int
	Want    int
}

// Next returns the next change that brings the roles closer to the share of
// engines that should read prompts. An engine that is changing counts as
// changed. Each role keeps one engine at least.
func Next(engines []Engine, share float64) (Change, bool) {
	change := Change{Want: Wanted(len(engines), share)}
	for _, engine := range engines {
		if roleAfter(engine) == table.RolePrefill {
			change.Prefill++
		} else {
			change.Decode++
		}
	}
	if len(engines) < 2 || change.Prefill == change.Want {
		return Change{}, false
	}
	from := table.RolePrefill
	change.Role = table.RoleDecode
	if change.Prefill < change.Want {
		from, change.Role = table.RoleDecode, table.RolePrefill
	}
	change.Engine = pick(engines, from)
	return change, change.Engine != ""
}

// Wanted returns how many of so many engines should read prompts.
func Wanted(engines int, share float64) int {
	want := int(math.Round(float64(engines) * share))
	return max(min(want, engines-1), 1)
}

func roleAfter(engine Engine) string {
	if engine.Ordered != "" {
		return engine.Ordered
	}
	return engine.Role
}

// pick takes an engine from the zone that has most of the role, so that the
// zones stay alike.
func pick(engines []Engine, role string) string {
	perZone := make(map[string]int)
	for _, engine := range engines {
		if engine.Role == role && engine.free() {
			perZone[engine.Zone]++
		}
	}
	best, most := "", 0
	for _, engine := range engines {
		if engine.Role == role && engine.free() && perZone[engine.Zone] > most {
			best, most = engine.Name, perZone[engine.Zone]
		}
	}
	return best
}
