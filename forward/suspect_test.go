package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// errCrash is how a connection ends whose server crashes.
var errCrash = errors.New("connection reset")

// end has a server end: nobody listens at its address any more.
func (e *engines) end(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == nil {
		e.ended = make(map[string]bool)
	}
	e.ended[server] = true
}

// startAgain has all servers start again under their ids.
func (b *bench) startAgain(born int64) {
	b.engines.ended = nil
	b.engines.calls = nil
	before := b.View.Servers()
	next := &Servers{ByRun: map[string]*registry.Entry{}, ByID: map[string]*registry.Entry{}}
	backends := make(map[string]*table.BackendView)
	again := func(pools map[string][]*table.BackendView) map[string][]*table.BackendView {
		renewed := make(map[string][]*table.BackendView)
		for service, pool := range pools {
			for _, backend := range pool {
				entry := *before.ByRun[backend.Name]
				entry.Born = born
				renewedBackend := *backend
				renewedBackend.Name = entry.Run()
				next.ByRun[entry.Run()], next.ByID[entry.ID] = &entry, &entry
				renewed[service] = append(renewed[service], &renewedBackend)
				backends[entry.Run()] = &renewedBackend
			}
		}
		return renewed
	}
	next.Plain, next.Prefill, next.Decode = again(before.Plain), again(before.Prefill), again(before.Decode)
	b.Fleet.Adopt(&table.View{Backends: backends})
	b.believe(next)
}

// crashed has the request of a test end so many servers, elsewhere.
func (b *bench) crashed(r *Request, servers int) {
	f := &flow{request: r}
	for i := range servers {
		server := fmt.Sprint(f.fingerprints().OfCaller, "-", i)
		// One that began before the end before would not count.
		at := time.Now().Add(-time.Duration(servers-i) * time.Second)
		b.Poison.Broke(server, f.fingerprints(), at, at)
		b.Poison.Crashed(server, at)
	}
}

func TestARequestThatCrashesServersIsRefusedAtOnce(t *testing.T) {
	play(t, func(b *bench) {
		for _, r := range []*Request{b.plain("a"), b.generation("b", testPrompt)} {
			b.crashed(r, 3)
			r.ID += "-again"
			reply := b.serve(r)
			if reply.Status != 502 || reply.Reason != reason.CrashesServers || reply.RetryAfter != 0 {
				t.Errorf("status %d for %q, back after %v", reply.Status, reply.Reason, reply.RetryAfter)
			}
		}
		if len(b.engines.calls) > 0 {
			t.Errorf("servers were asked: %v", b.engines.calls)
		}
		// Another caller's request is another one.
		other := b.plain("c")
		other.Caller = "10.0.0.9"
		if reply := b.serve(other); reply.Status != 200 {
			t.Errorf("another caller gets %d", reply.Status)
		}
		b.nothingHeld()
	})
}

func TestACallIsSentToAnotherServerOnceAfterACrash(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			b.engines.end(server)
			return nil, errCrash
		}
		// Two servers end within the first attempt, which its route allows.
		reply := b.serve(b.plain("a"))
		if reply.Status != 502 || b.did("call") != 2 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		// The next is a probe, and ends one more.
		b.startAgain(1)
		if b.serve(b.plain("b")); b.did("call") != 1 {
			t.Errorf("the second attempt: %v", b.engines.calls)
		}
		b.startAgain(2)
		if reply := b.serve(b.plain("c")); len(b.engines.calls) > 0 || reply.Status != 502 {
			t.Errorf("the third attempt: status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestABrokenAnswerOfASoundServerBlamesNobody(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) { return nil, errCrash }
		for i := range 5 {
			b.serve(b.plain(fmt.Sprint(i)))
		}
		if state := b.Poison.State((&flow{request: b.plain("x")}).fingerprints()); state != poison.Clear {
			t.Errorf("it is %s", state)
		}
	})
}

func TestAStreamGoesOnAtOneMoreEngineOnly(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.stream = func(_ context.Context, server, _ string) io.ReadCloser {
			b.engines.end(server)
			return io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failing{errCrash}))
		}
		attempt := func(id string) {
			r := b.generation(id, testPrompt)
			r.Target, r.Path = "/resume/x", "/resume/x"
			reply := b.Serve(context.Background(), r)
			if reply.Stream != nil {
				_, _ = io.Copy(io.Discard, reply.Stream)
				reply.Stream.Close()
			}
			b.Wait()
		}
		attempt("a")
		if b.did("decode") != 2 {
			t.Errorf("the first attempt: %v", b.engines.calls)
		}
		b.startAgain(1)
		attempt("b")
		if b.did("decode") != 1 {
			t.Errorf("the second attempt: %v", b.engines.calls)
		}
		b.startAgain(2)
		attempt("c")
		if len(b.engines.calls) > 0 {
			t.Errorf("the third attempt: %v", b.engines.calls)
		}
		b.nothingHeld()
	})
}

// failing is a reader that fails.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

func TestAProbeGoesWhereTheFewestAreLost(t *testing.T) {
	play(t, func(b *bench) {
		defer b.Fleet.Server("s1").Begin(0)()
		r := b.plain("a")
		b.crashed(r, 2)
		for range 10 {
			if reply := b.serve(r); reply.Status != 200 {
				t.Errorf("status %d", reply.Status)
			}
			b.crashed(r, 2)
		}
		if b.did("call s1") > 0 {
			t.Errorf("it ran beside others: %v", b.engines.calls)
		}
	})
}

func TestOnlyOneProbeRunsAtATime(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) {
			time.Sleep(100 * time.Millisecond)
			return &Answer{Status: 200}, nil
		}
		r := b.plain("a")
		b.crashed(r, 2)
		first := make(chan *Reply)
		go func() { first <- b.Serve(context.Background(), r) }()
		time.Sleep(50 * time.Millisecond)
		// It has not run, and its caller may come back.
		if second := b.serve(r); second.Status != 503 || second.RetryAfter == 0 || second.Reason != reason.ProbeUnderWay {
			t.Errorf("beside a probe: status %d for %q", second.Status, second.Reason)
		}
		if got := <-first; got.Status != 200 {
			t.Errorf("the probe: status %d", got.Status)
		}
		if third := b.serve(r); third.Status != 200 {
			t.Errorf("after the probe: status %d", third.Status)
		}
	})
}

// A request may be found to crash servers while another attempt of it is under way.
func TestAnAttemptUnderWayIsNotSentOnceItsRequestIsBlocked(t *testing.T) {
	play(t, func(b *bench) {
		r := b.generation("a", testPrompt)
		b.engines.reserve = func(string) error {
			b.crashed(r, 3)
			return nil
		}
		if reply := b.serve(r); reply.Status != 502 || b.did("prefill") > 0 || b.did("decode") > 0 {
			t.Errorf("blocked before its prompt was read: status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
	play(t, func(b *bench) {
		r := b.generation("a", testPrompt)
		b.engines.prefill = func(string) error {
			b.crashed(r, 3)
			return nil
		}
		if reply := b.serve(r); reply.Status != 502 || b.did("decode") > 0 {
			t.Errorf("blocked after its prompt was read: status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}
