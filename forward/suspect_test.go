package forward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// errConnectionReset is the error of a connection to a server that crashes.
var errConnectionReset = errors.New("connection reset")

// crash makes a server's process exit, so that nothing listens at its address.
func (e *engines) crash(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == nil {
		e.crashed = make(map[string]bool)
	}
	e.crashed[server] = true
}

// restartAll restarts all servers under their ids.
func (b *bench) restartAll(born int64) {
	b.engines.crashed = nil
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
	b.setServers(next)
}

// recordCrashes records that other servers crashed while they ran a test's request.
func (b *bench) recordCrashes(r *Request, servers int) {
	f := &flow{request: r}
	for i := range servers {
		server := fmt.Sprint(f.fingerprints().OfCaller, "-", i)
		// A run that began before the previous crash would not count.
		at := time.Now().Add(-time.Duration(servers-i) * time.Second)
		b.Poison.ConnectionBroke(server, f.fingerprints(), poison.BrokenRun{Sent: at}, at)
		b.Poison.Crashed(server, at)
	}
}

func TestARequestThatCrashesServersIsRefusedAtOnce(t *testing.T) {
	withBench(t, func(b *bench) {
		for _, r := range []*Request{b.plain("a"), b.generation("b", testPromptTokens)} {
			b.recordCrashes(r, 3)
			r.ID += "-again"
			reply := b.serve(r)
			if reply.Status != 502 || reply.Reason != reason.CrashesServers || reply.RetryAfter != 0 {
				t.Errorf("status %d, reason %q, retry after %v", reply.Status, reply.Reason, reply.RetryAfter)
			}
		}
		if len(b.engines.calls) > 0 {
			t.Errorf("servers were called: %v", b.engines.calls)
		}
		// The same request of another caller has its own fingerprints.
		other := b.plain("c")
		other.Caller = "10.0.0.9"
		if reply := b.serve(other); reply.Status != 200 {
			t.Errorf("another caller: status %d", reply.Status)
		}
		b.checkNothingHeld()
	})
}

func TestACallIsSentToAnotherServerOnceAfterACrash(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			b.engines.crash(server)
			return nil, errConnectionReset
		}
		// The first attempt crashes two servers, as many as the route's attempts allow.
		reply := b.serve(b.plain("a"))
		if reply.Status != 502 || b.callCount("call") != 2 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		// The second attempt is a probe, which crashes one more.
		b.restartAll(1)
		if b.serve(b.plain("b")); b.callCount("call") != 1 {
			t.Errorf("the second attempt: %v", b.engines.calls)
		}
		b.restartAll(2)
		if reply := b.serve(b.plain("c")); len(b.engines.calls) > 0 || reply.Status != 502 {
			t.Errorf("the third attempt: status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestLostAnswerOfRunningServerMakesNoRequestSuspect(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) { return nil, errConnectionReset }
		for i := range 5 {
			b.serve(b.plain(fmt.Sprint(i)))
		}
		if state := b.Poison.State((&flow{request: b.plain("x")}).fingerprints()); state != poison.Clear {
			t.Errorf("the request is %s", state)
		}
	})
}

func TestStreamContinuesAtOneOtherEngineAfterCrash(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.stream = func(_ context.Context, server, _ string) io.ReadCloser {
			b.engines.crash(server)
			return io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failing{errConnectionReset}))
		}
		attempt := func(id string) {
			r := b.generation(id, testPromptTokens)
			r.Target, r.Path = "/resume/x", "/resume/x"
			reply := b.Serve(context.Background(), r)
			if reply.Stream != nil {
				_, _ = io.Copy(io.Discard, reply.Stream)
				reply.Stream.Close()
			}
			b.Wait()
		}
		attempt("a")
		if b.callCount("decode") != 2 {
			t.Errorf("the first attempt: %v", b.engines.calls)
		}
		b.restartAll(1)
		attempt("b")
		if b.callCount("decode") != 1 {
			t.Errorf("the second attempt: %v", b.engines.calls)
		}
		b.restartAll(2)
		attempt("c")
		if len(b.engines.calls) > 0 {
			t.Errorf("the third attempt: %v", b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// failing is a reader that fails.
type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

func TestProbeGoesToServerWithFewestRequests(t *testing.T) {
	withBench(t, func(b *bench) {
		defer b.Fleet.Server("s1").RequestSent(0)()
		r := b.plain("a")
		b.recordCrashes(r, 2)
		for range 10 {
			if reply := b.serve(r); reply.Status != 200 {
				t.Errorf("status %d", reply.Status)
			}
			b.recordCrashes(r, 2)
		}
		if b.callCount("call s1") > 0 {
			t.Errorf("the probe ran beside another request: %v", b.engines.calls)
		}
	})
}

func TestOnlyOneProbeRunsAtATime(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.call = func(string) (*Answer, error) {
			time.Sleep(100 * time.Millisecond)
			return &Answer{Status: 200}, nil
		}
		r := b.plain("a")
		b.recordCrashes(r, 2)
		first := make(chan *Reply)
		go func() { first <- b.Serve(context.Background(), r) }()
		time.Sleep(50 * time.Millisecond)
		// The second request has not run, and its caller may retry.
		if second := b.serve(r); second.Status != 503 || second.RetryAfter == 0 || second.Reason != reason.ProbeUnderWay {
			t.Errorf("during a probe: status %d, reason %q", second.Status, second.Reason)
		}
		if got := <-first; got.Status != 200 {
			t.Errorf("the probe: status %d", got.Status)
		}
		if third := b.serve(r); third.Status != 200 {
			t.Errorf("after the probe: status %d", third.Status)
		}
	})
}

// A request may be blocked for crashing servers while another attempt of it is in progress.
func TestRunningAttemptStopsOnceItsRequestIsBlocked(t *testing.T) {
	withBench(t, func(b *bench) {
		r := b.generation("a", testPromptTokens)
		b.engines.reserve = func(string) error {
			b.recordCrashes(r, 3)
			return nil
		}
		if reply := b.serve(r); reply.Status != 502 || b.callCount("prefill") > 0 || b.callCount("decode") > 0 {
			t.Errorf("blocked before its prefill: status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
	withBench(t, func(b *bench) {
		r := b.generation("a", testPromptTokens)
		b.engines.prefill = func(string) error {
			b.recordCrashes(r, 3)
			return nil
		}
		if reply := b.serve(r); reply.Status != 502 || b.callCount("decode") > 0 {
			t.Errorf("blocked after its prefill: status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestLossOfAllLinksIsNoCrash(t *testing.T) {
	withBench(t, func(b *bench) {
		b.addPlainServer("s3")
		b.engines.call = func(string) (*Answer, error) {
			for _, server := range []string{"s1", "s2", "s3"} {
				b.engines.crash(server)
			}
			return nil, errConnectionReset
		}
		for _, id := range []string{"a", "b", "c"} {
			r := b.plain(id)
			r.Method = "POST"
			b.serve(r)
		}
		if b.Poison.HasSuspects() {
			b.t.Error("a request is under suspicion after all links of the instance were lost")
		}
		b.engines.call, b.engines.crashed = nil, nil
	})
}

// addPlainServer adds a server to the service "web".
func (b *bench) addPlainServer(id string) {
	next := *b.View.Servers()
	next.ByRun, next.ByID, next.Plain = maps.Clone(next.ByRun), maps.Clone(next.ByID), maps.Clone(next.Plain)
	next.ByRun[id] = &registry.Entry{ID: id, Service: "web", Zone: "z", Address: id}
	next.ByID[id] = next.ByRun[id]
	next.Plain["web"] = append(slices.Clone(next.Plain["web"]), &table.BackendView{Name: id, Pool: "web", Zone: "z"})
	backends := make(map[string]*table.BackendView)
	for _, pools := range []map[string][]*table.BackendView{next.Plain, next.Prefill, next.Decode} {
		for _, pool := range pools {
			for _, backend := range pool {
				backends[backend.Name] = backend
			}
		}
	}
	b.Fleet.Adopt(&table.View{Backends: backends})
	b.setServers(&next)
}
