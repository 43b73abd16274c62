package forward

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// misdirected is what an engine says that is not the one that was meant.
func misdirected(string, DecodeOrder) error {
	return &NotRun{Why: reason.HandoffRefused, Sent: true, Misdirected: true, Detail: "status 421"}
}

func TestAResultGoesToAnotherEngineWhenTheFirstIsMisdirected(t *testing.T) {
	play(t, func(b *bench) {
		first := ""
		b.engines.decode = func(server string, order DecodeOrder) error {
			if first == "" {
				first = server
				return misdirected(server, order)
			}
			if server == first || order.Result == "" || order.Reservation != Reservation("r-"+server) {
				t.Errorf("went on at %s with %+v", server, order)
			}
			return nil
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 200 || b.did("prefill") != 1 || b.did("decode") != 2 || b.did("release "+first) != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()

		// The next request leaves the misdirected engine alone, though that
		// takes reservations.
		b.engines.calls = nil
		if b.serve(b.generation("b", testPrompt)); b.did("reserve "+first) != 0 {
			t.Errorf("asked again: %v", b.engines.calls)
		}
	})
}

func TestAResultThatHasLapsedIsNotHandedOn(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.decode = func(server string, order DecodeOrder) error {
			time.Sleep(450 * time.Millisecond)
			return misdirected(server, order)
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 503 || reply.RetryAfter == 0 || b.did("decode") != 1 || b.did("free") != 1 || b.did("release") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestAnEngineThatLeavesWhileThePromptIsReadGetsNoStream(t *testing.T) {
	play(t, func(b *bench) {
		left := ""
		b.engines.prefill = func(string) error {
			for _, call := range b.engines.calls {
				if server, ok := strings.CutPrefix(call, "reserve "); ok && left == "" {
					left = server
				}
			}
			b.leave(left)
			return nil
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 200 || left == "" || b.did("decode "+left) != 0 || b.did("decode") != 1 || b.did("release "+left) != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestWithNoOtherEngineARequestForALeavingOneIsRefused(t *testing.T) {
	play(t, func(b *bench) {
		b.leave("d1")
		b.engines.prefill = func(string) error {
			b.leave("d2")
			return nil
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 503 || reply.RetryAfter == 0 || b.did("decode") != 0 || b.did("free") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestAnEngineThatLeavesWhileMemoryIsAwaitedIsNotReserved(t *testing.T) {
	play(t, func(b *bench) {
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).Hold(testMemory)
		}
		time.AfterFunc(testTarget/8, func() {
			b.leave("d1")
			b.Fleet.Server("d1").Hold(-testMemory)
		})
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 503 || b.did("reserve") != 0 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestAPrefillEngineThatIsGoneMeanwhileStillHasItsResult(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.prefill = func(string) error {
			before := b.View.Servers()
			after := &Servers{ByRun: maps.Clone(before.ByRun), Plain: before.Plain, Decode: before.Decode, Prefill: map[string][]*table.BackendView{}}
			delete(after.ByRun, "p1")
			delete(after.ByRun, "p2")
			b.believe(after)
			for _, call := range b.engines.calls {
				if server, ok := strings.CutPrefix(call, "reserve "); ok {
					b.leave(server)
				}
			}
			return nil
		}
		b.engines.decode = func(_ string, order DecodeOrder) error {
			if order.Source == nil || order.Result == "" {
				t.Errorf("the result was lost: %+v", order)
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

// An engine takes a reservation once, also for a request whose result it can't fetch.
func TestAPromptThatIsReadAfterAllGetsAReservationOfItsOwn(t *testing.T) {
	play(t, func(b *bench) {
		used := 0
		b.engines.decode = func(_ string, order DecodeOrder) error {
			reserved := b.did("reserve")
			if order.Reservation == "" || reserved == used {
				return &NotRun{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
			}
			used = reserved
			if order.Result != "" {
				return &NotRun{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
			}
			return nil
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 200 || b.did("prefill") != 1 || b.did("decode") != 2 || b.did("reserve") != 2 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

// Where no engine has room for it then, it is refused, and nothing is kept.
func TestAPromptThatIsReadAfterAllFindsNoRoom(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.decode = func(string, DecodeOrder) error {
			for _, id := range []string{"d1", "d2"} {
				b.Fleet.Server(id).Hold(testMemory)
			}
			return &NotRun{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 503 || reply.RetryAfter == 0 || b.did("decode") != 1 || b.did("release") != 1 || b.did("free") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).Hold(-testMemory)
		}
		b.nothingHeld()
	})
}
