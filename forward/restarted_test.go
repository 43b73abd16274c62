package forward

import (
	"maps"
	"strings"
	"testing"
)

// restart has another run of a server take the place of the one known.
func (b *bench) restart(id string) {
	before := b.View.Servers()
	entry := *before.ByRun[id]
	entry.Born = 1764720000123
	after := *before
	after.ByRun, after.ByID = maps.Clone(before.ByRun), maps.Clone(before.ByID)
	delete(after.ByRun, id)
	after.ByRun[entry.Run()] = &entry
	after.ByID[id] = &entry
	b.believe(&after)
}

// reserved is the engine at which the request at hand reserved memory first.
func (b *bench) reserved() string {
	for _, call := range b.engines.calls {
		if server, ok := strings.CutPrefix(call, "reserve "); ok {
			return server
		}
	}
	return ""
}

// What a run had read is lost with it, and what the next one reads may bear the
// same name: the decode engine reads the prompt itself.
func TestAResultOfARunBeforeIsNotUsed(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.prefill = func(server string) error {
			b.restart(server)
			return nil
		}
		b.engines.decode = func(_ string, order DecodeOrder) error {
			if order.Source != nil || order.Result != "" || order.Reservation == "" {
				t.Errorf("went on with %+v", order)
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 || b.did("decode") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeldAtLivingRuns()
	})
}

// A reservation of a run that has ended is no reservation.
func TestAReservationOfARunBeforeIsNotUsed(t *testing.T) {
	play(t, func(b *bench) {
		first := ""
		b.engines.prefill = func(string) error {
			first = b.reserved()
			b.restart(first)
			return nil
		}
		b.engines.decode = func(server string, order DecodeOrder) error {
			if server == first || order.Reservation != Reservation("r-"+server) {
				t.Errorf("went on at %s with %+v", server, order)
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 || first == "" || b.did("release "+first) != 0 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestWithoutBudgetALostResultEndsTheRequestTruly(t *testing.T) {
	play(t, func(b *bench) {
		for b.Budget("llm").Spend(b.generation("", 0).Arrived) {
		}
		b.engines.prefill = func(server string) error {
			b.restart(server)
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 503 || b.did("decode")+b.did("free") != 0 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

// nothingHeldAtLivingRuns checks that no note of a request is left over at the servers that
// are still of the same run.
func (b *bench) nothingHeldAtLivingRuns() {
	b.t.Helper()
	for run := range b.View.Servers().ByRun {
		if server := b.Fleet.Server(run); server != nil && server.Own().InFlight != 0 {
			b.t.Errorf("left over at %s: %+v", run, server.Own())
		}
	}
}
