package forward

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
)

func TestASafeCallGoesToAnotherServerOnce(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) { return &Answer{Status: 500}, nil }
		reply := b.serve(b.plain("a"))
		if reply.Status != 500 || b.did("call s1") != 1 || b.did("call s2") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestACallThatNobodyRanIsRefusedAsSuch(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) {
			return nil, &NotRun{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
		}
		if reply := b.serve(b.plain("a")); reply.Status != 503 || reply.RetryAfter == 0 {
			t.Errorf("status %d, back after %v", reply.Status, reply.RetryAfter)
		}
	})
}

func TestACallThatMayHaveRunPromisesNothing(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			if server == "s1" {
				return nil, errors.New("connection reset")
			}
			return nil, &NotRun{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
		}
		// Whichever server is tried first, the other one may not make it look as
		// though nothing had run.
		for _, id := range []string{"a", "b", "c", "d"} {
			if reply := b.serve(b.plain(id)); b.did("call s1") > 0 && (reply.Status == 503 || reply.RetryAfter != 0) {
				t.Errorf("status %d after %v", reply.Status, b.engines.calls)
			}
			b.engines.calls = nil
		}
	})
}

func TestRetriesEndWithTheirBudget(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) { return &Answer{Status: 500}, nil }
		const calls = 50
		for range calls {
			b.serve(b.plain("a"))
		}
		retries := b.did("call") - calls
		// Half of the part of 20 is saved up, and each call earns a fifth.
		if most := 10 + calls/5; retries > most || retries < most-2 {
			t.Errorf("%d retries of at most %d", retries, most)
		}
	})
}
