package forward

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// misdirected returns the error of an engine that is not the one the request is for.
func misdirected(string, DecodeRequest) error {
	return &NotRunError{Why: reason.HandoffRefused, Sent: true, Misdirected: true, Detail: "status 421"}
}

func TestPrefillResultGoesToAnotherEngineAfterMisdirectedHandoff(t *testing.T) {
	withBench(t, func(b *bench) {
		first := ""
		b.engines.decode = func(server string, order DecodeRequest) error {
			if first == "" {
				first = server
				return misdirected(server, order)
			}
			if server == first || order.Result == "" || order.Reservation != Reservation("r-"+server) {
				t.Errorf("decode at %s with %+v", server, order)
			}
			return nil
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 200 || b.callCount("prefill") != 1 || b.callCount("decode") != 2 || b.callCount("release "+first) != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()

		// The next request avoids that engine, although the engine grants
		// reservations.
		b.engines.calls = nil
		if b.serve(b.generation("b", testPromptTokens)); b.callCount("reserve "+first) != 0 {
			t.Errorf("reserved there again: %v", b.engines.calls)
		}
	})
}

func TestExpiredPrefillResultIsNotHandedOff(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.decode = func(server string, order DecodeRequest) error {
			time.Sleep(450 * time.Millisecond)
			return misdirected(server, order)
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 503 || reply.RetryAfter == 0 || b.callCount("decode") != 1 || b.callCount("free") != 1 || b.callCount("release") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestEngineListedAsDrainingDuringPrefillGetsNoStream(t *testing.T) {
	withBench(t, func(b *bench) {
		left := ""
		b.engines.prefill = func(string) error {
			for _, call := range b.engines.calls {
				if server, ok := strings.CutPrefix(call, "reserve "); ok && left == "" {
					left = server
				}
			}
			b.drain(left)
			return nil
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 200 || left == "" || b.callCount("decode "+left) != 0 || b.callCount("decode") != 1 || b.callCount("release "+left) != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestRequestIsRefusedIfAllEnginesDrain(t *testing.T) {
	withBench(t, func(b *bench) {
		b.drain("d1")
		b.engines.prefill = func(string) error {
			b.drain("d2")
			return nil
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 503 || reply.RetryAfter == 0 || b.callCount("decode") != 0 || b.callCount("free") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestEngineThatDrainsWhileRequestWaitsForMemoryIsNotReserved(t *testing.T) {
	withBench(t, func(b *bench) {
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).AddMemory(testMemoryTokens)
		}
		time.AfterFunc(testTTFT/8, func() {
			b.drain("d1")
			b.Fleet.Server("d1").AddMemory(-testMemoryTokens)
		})
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 503 || b.callCount("reserve") != 0 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestResultOfUnlistedPrefillEngineIsStillUsed(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.prefill = func(string) error {
			before := b.View.Servers()
			after := &Servers{ByRun: maps.Clone(before.ByRun), Plain: before.Plain, Decode: before.Decode, Prefill: map[string][]*table.BackendView{}}
			delete(after.ByRun, "p1")
			delete(after.ByRun, "p2")
			b.setServers(after)
			for _, call := range b.engines.calls {
				if server, ok := strings.CutPrefix(call, "reserve "); ok {
					b.drain(server)
				}
			}
			return nil
		}
		b.engines.decode = func(_ string, order DecodeRequest) error {
			if order.Source == nil || order.Result == "" {
				t.Errorf("the prefill result was not used: %+v", order)
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

// An engine uses up a reservation even if it fails to fetch the request's prefill result.
// The prefill at the decode engine therefore needs a new one.
func TestPrefillAtDecodeAfterFailedHandoffGetsNewReservation(t *testing.T) {
	withBench(t, func(b *bench) {
		used := 0
		b.engines.decode = func(_ string, order DecodeRequest) error {
			reserved := b.callCount("reserve")
			if order.Reservation == "" || reserved == used {
				return &NotRunError{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
			}
			used = reserved
			if order.Result != "" {
				return &NotRunError{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
			}
			return nil
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 200 || b.callCount("prefill") != 1 || b.callCount("decode") != 2 || b.callCount("reserve") != 2 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// If no engine has memory for the new reservation, the request is refused and everything
// it held is released.
func TestPrefillAtDecodeAfterFailedHandoffIsRefusedWithoutMemory(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.decode = func(string, DecodeRequest) error {
			for _, id := range []string{"d1", "d2"} {
				b.Fleet.Server(id).AddMemory(testMemoryTokens)
			}
			return &NotRunError{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 503 || reply.RetryAfter == 0 || b.callCount("decode") != 1 || b.callCount("release") != 1 || b.callCount("free") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).AddMemory(-testMemoryTokens)
		}
		b.checkNothingHeld()
	})
}
