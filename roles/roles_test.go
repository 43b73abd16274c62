package roles

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/table"
)

// TestChangesReachPlan checks that the roles reach the plan whether orders to
// change an engine's role are carried out late or immediately. It allows no more
// orders than needed, and no role may be left without an engine.
func TestChangesReachPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 40).Draw(t, "engines")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		engines := make([]Engine, count)
		prefill := 0
		for i := range engines {
			engines[i] = Engine{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Role: table.RoleDecode}
			if rapid.Bool().Draw(t, "prefill") {
				engines[i].Role = table.RolePrefill
				prefill++
			}
		}
		want := WantedPrefill(count, share)
		needed := max(prefill-want, want-prefill)
		orders := 0
		for {
			change, ok := Next(engines, share)
			if !ok {
				break
			}
			orders++
			if orders > needed {
				t.Fatalf("%d orders, need %d", orders, needed)
			}
			carryOut(t, engines, change)
		}
		if orders != needed {
			t.Fatalf("%d orders, need %d", orders, needed)
		}
		if want < 1 || want > count-1 {
			t.Fatalf("%d of %d engines should prefill", want, count)
		}
	})
}

// TestLastReachableEngineOfARoleKeepsIt guards against a fixed share that leaves a role only engines that
// cannot be reached.
func TestLastReachableEngineOfARoleKeepsIt(t *testing.T) {
	for role, share := range map[string]float64{table.RolePrefill: 0, table.RoleDecode: 1} {
		other := map[string]string{table.RolePrefill: table.RoleDecode, table.RoleDecode: table.RolePrefill}[role]
		for _, reachable := range []int{1, 2, 3} {
			engines := []Engine{{Name: "silent", Role: role, Unreachable: true}, {Name: "of the other role", Role: other}}
			for i := range reachable {
				engines = append(engines, Engine{Name: fmt.Sprint(i), Role: role})
			}
			// One more takes the role, and cannot be reached while it does.
			engines = append(engines, Engine{Name: "changing", Role: other, PendingRole: role, Unreachable: true})
			orders := 0
			for change, ok := Next(engines, share); ok; change, ok = Next(engines, share) {
				for i := range engines {
					if engines[i].Name == change.Engine {
						engines[i].PendingRole = change.Role
					}
				}
				orders++
			}
			if orders != reachable-1 {
				t.Errorf("%s: %d of %d reachable engines are taken", role, orders, reachable)
			}
		}
	}
}

// carryOut records the order for a change, and carries out a random selection
// of the orders in progress.
func carryOut(t *rapid.T, engines []Engine, change Change) {
	for i := range engines {
		if engines[i].Name == change.Engine {
			engines[i].PendingRole = change.Role
		}
		if engines[i].PendingRole != "" && rapid.Bool().Draw(t, "carried out") {
			engines[i].Role = engines[i].PendingRole
		}
		if engines[i].PendingRole == engines[i].Role && rapid.Bool().Draw(t, "forgotten") {
			engines[i].PendingRole = ""
		}
	}
}

func TestEngineSelectedFromZoneWithMostOfRole(t *testing.T) {
	engines := []Engine{
		{Name: "a", Zone: "1", Role: table.RolePrefill},
		{Name: "b", Zone: "2", Role: table.RolePrefill},
		{Name: "c", Zone: "2", Role: table.RolePrefill},
		{Name: "d", Zone: "1", Role: table.RoleDecode},
		{Name: "e", Zone: "3", Role: table.RoleDecode},
	}
	change, ok := Next(engines, 0.2)
	if !ok || change.Engine != "b" && change.Engine != "c" || change.Role != table.RoleDecode {
		t.Fatalf("%+v %v", change, ok)
	}
}
