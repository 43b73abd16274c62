package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// An engine's second spell of leaving begins its grace anew, also when nobody
// sent it anything between the two.
func TestEachSpellOfLeavingHasItsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil, EngineConfig{Pieces: 10})
		order := func(id string) {
			_, err := e.Prefill(engine.PrefillOrder{Attempt: engine.Attempt{RequestID: id}, Prompt: "p"})
			if err == nil {
				t.Fatalf("%s was taken by an engine that is leaving", id)
			}
		}
		e.Faults.Leaving.Store(true)
		order("first")
		time.Sleep(LeavingGrace + time.Second)
		order("late")
		if got := e.Ledger().LateOrders; got != 1 {
			t.Fatalf("%d orders came late, one did", got)
		}
		e.Faults.Leaving.Store(false)
		time.Sleep(time.Second)
		e.Load()
		time.Sleep(time.Second)
		e.Faults.Leaving.Store(true)
		order("second spell")
		if got := e.Ledger().LateOrders; got != 1 {
			t.Fatalf("%d orders count as late, the last came at once", got)
		}
	})
}
