package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
)

// withParts returns a generation request whose prompt shares parts with others.
func (b *bench) withParts(id string, parts ...string) *Request {
	r := b.generation(id, testPromptTokens)
	r.Body = []byte(id)
	r.Generation.SharedParts = parts
	return r
}

// crashUnder records crashes of engines, each under another request with the given parts.
func (b *bench) crashUnder(crashes int, parts ...string) {
	for i := range crashes {
		// A run that began before the previous crash would not count.
		at := time.Now().Add(-time.Duration(crashes-i) * time.Second)
		f := &flow{request: b.withParts(fmt.Sprint("crash-", i), parts...)}
		server := fmt.Sprint("engine-", i)
		b.Poison.ConnectionBroke(server, f.fingerprints(), poison.BrokenRun{Sent: at, Writing: at}, at)
		b.Poison.Crashed(server, at)
	}
}

func TestPromptWithABlockedPartIsNotRead(t *testing.T) {
	tests := map[string]func(r *Request){
		"new":         func(*Request) {},
		"handed over": func(r *Request) { r.HandedOver = "c" },
		"resumed":     func(r *Request) { r.Path, r.Target, r.LastEvent = "/resume/x", "/resume/x", "3" },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.crashUnder(5, "common", "bad")
				b.Poison.Survived(poison.Parts([]string{"common"}), time.Now())
				r := b.withParts("a", "other", "bad", "common")
				change(r)
				if reply := b.serve(r); reply.Status != 502 || reply.Reason != reason.CrashesServers || b.callCount("") > 0 {
					b.t.Errorf("status %d, %q, after %v", reply.Status, reply.Reason, b.engines.calls)
				}
				sound := b.withParts("b", "common")
				change(sound)
				if reply := b.serve(sound); reply.Status != 200 {
					b.t.Errorf("a request without the part: status %d, %q", reply.Status, reply.Reason)
				}
				b.checkNothingHeld()
			})
		})
	}
}

func TestStreamWithABlockedPartIsNotMoved(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		m.onCopy = func() (PrefillHandle, error) {
			b.crashUnder(5, "bad")
			return "copy", nil
		}
		m.drainAfter(300 * time.Millisecond)
		r := m.longRequest("a")
		r.Generation.SharedParts = []string{"bad"}
		if _, _, err := b.read(r); err == nil || len(m.runs) != 1 {
			t.Errorf("error %v, runs %+v", err, m.runs)
		}
		b.checkNothingHeld()
	})
}

// A stream under a part that crashes engines is not taken up at another engine, and ends one engine only.
func TestStreamWithASuspectPartRunsOnce(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.stream = func(ctx context.Context, server, _ string) io.ReadCloser {
			b.engines.crash(server)
			return &events{ctx: ctx, next: 1, last: 3, end: errConnectionReset}
		}
		b.crashUnder(2, "bad")
		r := b.withParts("a", "bad")
		r.Path, r.Target = "/resume/x", "/resume/x"
		if _, _, err := b.read(r); err == nil || b.callCount("decode") != 1 {
			t.Errorf("error %v, calls %v", err, b.engines.calls)
		}
	})
}

func TestStreamThatAnEngineWritesForASecondClearsItsParts(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.stream = func(ctx context.Context, _, _ string) io.ReadCloser {
			return &events{ctx: ctx, next: 1, last: 300, end: errConnectionReset}
		}
		b.crashUnder(4, "part")
		if _, _, err := b.read(b.withParts("a", "part")); err == nil {
			t.Fatal("the stream did not break off")
		}
		b.crashUnder(1, "part")
		if got := b.Poison.State((&flow{request: b.withParts("b", "part")}).fingerprints()); got != poison.Clear {
			t.Errorf("after a stream that lasted three seconds and one crash more the part is %s", got)
		}
	})
}
