package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// exhaustLimit makes servers report a rate limit and uses up what it allows for now.
func (b *bench) exhaustLimit(perSecond float64, kind backpressure.Kind, servers ...string) {
	now := time.Now()
	b.Fleet.Backpressure.SetInstances(backpressure.Instances{Self: "i", Active: []string{"i"}})
	for _, name := range servers {
		pressure := b.Fleet.Server(name).Pressure
		pressure.Observe(backpressure.StatusReport{Kind: kind, Limited: true, Limit: perSecond}, now, now)
		for pressure.Send(backpressure.PlainWork, now) == backpressure.Clear {
		}
	}
}

// A request beyond all rate limits is refused immediately, with a Retry-After of when a server
// can take it.
func TestRequestsBeyondAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	withBench(t, func(b *bench) {
		b.exhaustLimit(0.4, backpressure.Plain, "s1", "s2")
		began := time.Now()
		reply := b.serve(b.plain("a"))
		if reply.Status != statusUnavailable || reply.Reason != reason.ServersLimited || time.Since(began) > 0 {
			t.Errorf("status %d, reason %s after %v", reply.Status, reply.Reason, time.Since(began))
		}
		// Less than one call is left, and the next one takes 1 of 0.4 per second.
		if reply.RetryAfter < 100*time.Millisecond || reply.RetryAfter > 4*time.Second {
			t.Errorf("retry after %v", reply.RetryAfter)
		}
		if b.callCount("call") != 0 {
			t.Error("the request was sent")
		}
	})
}

func TestRequestsGoToServersBelowTheirRateLimit(t *testing.T) {
	withBench(t, func(b *bench) {
		b.exhaustLimit(0.4, backpressure.Plain, "s1")
		for range 20 {
			if reply := b.serve(b.plain("a")); reply.Status != 200 {
				t.Fatalf("status %d, reason %s", reply.Status, reply.Reason)
			}
		}
		if b.callCount("call s1") != 0 || b.callCount("call s2") != 20 {
			t.Errorf("%d calls to the limited server, want 0", b.callCount("call s1"))
		}
	})
}

func TestGenerationIsRefusedAtOnceIfAllEnginesAreAtTheirRateLimit(t *testing.T) {
	withBench(t, func(b *bench) {
		b.exhaustLimit(0.4, backpressure.Reserve, "d1", "d2")
		began := time.Now()
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != statusUnavailable || reply.Reason != reason.ServersLimited || time.Since(began) > 0 {
			t.Errorf("status %d, reason %s after %v", reply.Status, reply.Reason, time.Since(began))
		}
		if b.callCount("reserve")+b.callCount("prefill") != 0 {
			t.Error("engines were called")
		}
		b.checkNothingHeld()
	})
}

// A request waits for a rate limit that allows it before its reservation would time out.
func TestGenerationWaitsForRateLimitThatSoonAllowsIt(t *testing.T) {
	withBench(t, func(b *bench) {
		b.exhaustLimit(20, backpressure.Reserve, "d1", "d2")
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 {
			t.Errorf("status %d, reason %s", reply.Status, reply.Reason)
		}
	})
}

// A server's report may withhold a request after the server was selected for it. That must
// not count as a failure of the server.
func TestWithheldRequestGoesToAnotherServer(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			if server == "s1" {
				return nil, &NotRunError{Why: reason.ServersLimited, Withheld: true}
			}
			return &Answer{Status: 200}, nil
		}
		for i := range 30 {
			if reply := b.Serve(context.Background(), b.plain(fmt.Sprint(i))); reply.Status != 200 {
				t.Fatalf("status %d, reason %s", reply.Status, reply.Reason)
			}
		}
		if state := b.Fleet.Server("s1").Breaker.State(time.Now()); state != route.BreakerClosed || b.callCount("call s1") < 5 {
			t.Errorf("breaker %s after %d calls", state, b.callCount("call s1"))
		}
	})
}

// reportStatus delivers a status report of a server.
func (b *bench) reportStatus(server string, reported backpressure.StatusReport) {
	now := time.Now()
	b.Fleet.Server(server).Pressure.Observe(reported, now, now)
}

func TestRequestIsRefusedAtOnceIfAllServersBackOff(t *testing.T) {
	withBench(t, func(b *bench) {
		for server, backoff := range map[string]time.Duration{"s1": 4 * time.Second, "s2": 2 * time.Second} {
			b.reportStatus(server, backpressure.StatusReport{Kind: backpressure.Plain, Rejected: true, Backoff: backoff})
		}
		began := time.Now()
		reply := b.serve(b.plain("a"))
		if reply.Reason != reason.ServersResting || time.Since(began) > 0 || b.callCount("call") > 0 {
			t.Errorf("reason %s after %v, %d calls", reply.Reason, time.Since(began), b.callCount("call"))
		}
		if reply.RetryAfter < 2*time.Second || reply.RetryAfter > 4*time.Second {
			t.Errorf("retry after %v, want 2 s to 4 s: the first backoff ends after 2 s", reply.RetryAfter)
		}
	})
}

// A requested backoff is not a failure, even if the server doesn't report that the request
// was not run.
func TestBackoffOpensNoBreaker(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			b.reportStatus(server, backpressure.StatusReport{Kind: backpressure.Plain, Rejected: true, Backoff: 10 * time.Millisecond})
			return nil, errors.New("status 503 without a report of whether it ran")
		}
		for i := range 30 {
			b.serve(b.plain(fmt.Sprint(i)))
			time.Sleep(50 * time.Millisecond)
		}
		for _, id := range []string{"s1", "s2"} {
			if state := b.Fleet.Server(id).Breaker.State(time.Now()); state != route.BreakerClosed {
				t.Errorf("the breaker of %s is %s", id, state)
			}
		}
	})
}

// The engine reports a drain while the server list still has it as ready.
func TestEngineThatReportsDrainDuringPrefillGetsNoStream(t *testing.T) {
	withBench(t, func(b *bench) {
		reserved := ""
		b.engines.reserve = func(server string) error {
			reserved = server
			return nil
		}
		first := ""
		b.engines.prefill = func(string) error {
			if first == "" {
				first = reserved
				b.reportStatus(first, backpressure.StatusReport{Kind: backpressure.Decode, Leaving: true})
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 {
			t.Errorf("status %d, reason %s", reply.Status, reply.Reason)
		}
		if b.callCount("decode "+first) != 0 || b.callCount("prefill") != 1 {
			t.Errorf("%d decodes at the draining engine, %d prefills", b.callCount("decode "+first), b.callCount("prefill"))
		}
		b.checkNothingHeld()
	})
}

// A server's report may withhold the decode call after the engine was selected.
func TestWithheldDecodeGoesToAnotherEngine(t *testing.T) {
	withBench(t, func(b *bench) {
		withheld := ""
		b.engines.decode = func(server string, _ DecodeRequest) error {
			if withheld == "" || withheld == server {
				withheld = server
				return &NotRunError{Why: reason.ServersResting, Withheld: true}
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 {
			t.Errorf("status %d, reason %s", reply.Status, reply.Reason)
		}
		if b.callCount("prefill") != 1 {
			t.Errorf("%d prefills", b.callCount("prefill"))
		}
		b.checkNothingHeld()
	})
}

func TestStreamsMoveOffEngineThatReportsDrain(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		time.AfterFunc(200*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			b.reportStatus(m.runs[0].server, backpressure.StatusReport{Kind: backpressure.Decode, Leaving: true})
		})
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 {
			t.Errorf("status %d, reason %s", reply.Status, reply.Reason)
		}
		if ran := m.engineNames(); ran != "d1 d2" && ran != "d2 d1" {
			t.Errorf("ran at %s", ran)
		}
	})
}
