package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// TestLateOrderGraceRestartsWithEachDrain guards against counting the grace of a
// second drain from the start of the first. That happens if only orders show the
// end of a drain and none arrives between the two.
func TestLateOrderGraceRestartsWithEachDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(nil, EngineConfig{Pieces: 10})
		order := func(id string) {
			_, err := e.Prefill(engine.PrefillOrder{Attempt: engine.Attempt{RequestID: id}, Prompt: "p"})
			if err == nil {
				t.Fatalf("order %s: accepted by a draining engine", id)
			}
		}
		e.Faults.Draining.Store(true)
		order("first")
		time.Sleep(DrainGrace + time.Second)
		order("late")
		if got := e.Ledger().LateOrders; got != 1 {
			t.Fatalf("late orders: got %d, want 1", got)
		}
		e.Faults.Draining.Store(false)
		time.Sleep(time.Second)
		e.Load()
		time.Sleep(time.Second)
		e.Faults.Draining.Store(true)
		order("second drain")
		if got := e.Ledger().LateOrders; got != 1 {
			t.Fatalf("late orders after an order at the start of the second drain: got %d, want 1", got)
		}
	})
}
