package forward

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
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
