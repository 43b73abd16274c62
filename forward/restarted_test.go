package forward

import (
	"maps"
	"strings"
	"testing"
)

// restart replaces the known run of a server with a new one, as a restart of its process
// does.
func (b *bench) restart(id string) {
	before := b.View.Servers()
	entry := *before.ByRun[id]
	entry.Born = 1764720000123
	after := *before
	after.ByRun, after.ByID = maps.Clone(before.ByRun), maps.Clone(before.ByID)
	delete(after.ByRun, id)
	after.ByRun[entry.Run()] = &entry
	after.ByID[id] = &entry
	b.setServers(&after)
}

// firstReserved returns the engine that got the first call for a reservation.
func (b *bench) firstReserved() string {
	for _, call := range b.engines.calls {
		if server, ok := strings.CutPrefix(call, "reserve "); ok {
			return server
		}
	}
	return ""
}

// A prefill result is lost with its engine's run, and the next run may give the same name
// to another result. The decode engine must prefill the prompt itself.
func TestPrefillResultOfPreviousRunIsNotUsed(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.prefill = func(server string) error {
			b.restart(server)
			return nil
		}
		b.engines.decode = func(_ string, order DecodeRequest) error {
			if order.Source != nil || order.Result != "" || order.Reservation == "" {
				t.Errorf("decode with %+v", order)
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 || b.callCount("decode") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeldAtLiveRuns()
	})
}

// A reservation is lost with its engine's run and must not be used at the next run.
func TestReservationOfPreviousRunIsNotUsed(t *testing.T) {
	withBench(t, func(b *bench) {
		first := ""
		b.engines.prefill = func(string) error {
			first = b.firstReserved()
			b.restart(first)
			return nil
		}
		b.engines.decode = func(server string, order DecodeRequest) error {
			if server == first || order.Reservation != Reservation("r-"+server) {
				t.Errorf("decode at %s with %+v", server, order)
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 || first == "" || b.callCount("release "+first) != 0 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestLostPrefillResultWithoutRetryBudgetEndsRequest(t *testing.T) {
	withBench(t, func(b *bench) {
		for b.Budget("llm").Spend(b.generation("", 0).Arrived) {
		}
		b.engines.prefill = func(server string) error {
			b.restart(server)
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 503 || b.callCount("decode")+b.callCount("free") != 0 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

// checkNothingHeldAtLiveRuns checks that no requests are in flight at the servers that were
// not restarted.
func (b *bench) checkNothingHeldAtLiveRuns() {
	b.t.Helper()
	for run := range b.View.Servers().ByRun {
		if server := b.Fleet.Server(run); server != nil && server.Own().InFlight != 0 {
			b.t.Errorf("commitment left at %s: %+v", run, server.Own())
		}
	}
}
