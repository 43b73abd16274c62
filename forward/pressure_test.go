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

// limit has servers name a rate limit, of which nothing is left for now.
func (b *bench) limit(perSecond float64, kind backpressure.Kind, servers ...string) {
	now := time.Now()
	b.Fleet.Backpressure.SetInstances(backpressure.Instances{Self: "i", Taking: []string{"i"}})
	for _, name := range servers {
		pressure := b.Fleet.Server(name).Pressure
		pressure.Heard(backpressure.Statement{Kind: kind, Limited: true, Limit: perSecond}, now, now)
		for pressure.Send(backpressure.PlainWork, now) == backpressure.Clear {
		}
	}
}

// What cannot be served is refused at once, and its caller told to come back when there is
// room.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	play(t, func(b *bench) {
		b.limit(0.4, backpressure.Plain, "s1", "s2")
		began := time.Now()
		reply := b.serve(b.plain("a"))
		if reply.Status != statusUnavailable || reply.Reason != reason.ServersLimited || time.Since(began) > 0 {
			t.Errorf("%d, %s after %v", reply.Status, reply.Reason, time.Since(began))
		}
		// Nothing is left, or part of a call: the next one is for 1 of 0.4 a second.
		if reply.RetryAfter < 100*time.Millisecond || reply.RetryAfter > 4*time.Second {
			t.Errorf("told to come back after %v", reply.RetryAfter)
		}
		if b.did("call") != 0 {
			t.Error("sent all the same")
		}
	})
}

func TestRequestsGoWhereThereIsRoomWithinLimits(t *testing.T) {
	play(t, func(b *bench) {
		b.limit(0.4, backpressure.Plain, "s1")
		for range 20 {
			if reply := b.serve(b.plain("a")); reply.Status != 200 {
				t.Fatalf("%d, %s", reply.Status, reply.Reason)
			}
		}
		if b.did("call s1") != 0 || b.did("call s2") != 20 {
			t.Errorf("%d calls to the server that is limited", b.did("call s1"))
		}
	})
}

func TestAGenerationIsRefusedAtOnceWhereNoEngineTakesIt(t *testing.T) {
	play(t, func(b *bench) {
		b.limit(0.4, backpressure.Reserve, "d1", "d2")
		began := time.Now()
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != statusUnavailable || reply.Reason != reason.ServersLimited || time.Since(began) > 0 {
			t.Errorf("%d, %s after %v", reply.Status, reply.Reason, time.Since(began))
		}
		if b.did("reserve")+b.did("prefill") != 0 {
			t.Error("engines were asked all the same")
		}
		b.nothingHeld()
	})
}

// A limit that leaves room before a reservation would have been given up is waited for.
func TestAGenerationWaitsForRoomThatComesSoon(t *testing.T) {
	play(t, func(b *bench) {
		b.limit(20, backpressure.Reserve, "d1", "d2")
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 {
			t.Errorf("%d, %s", reply.Status, reply.Reason)
		}
	})
}

// The word that holds a request back may come between its choice and its sending. That
// speaks against no server.
func TestARequestThatIsWithheldGoesElsewhere(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			if server == "s1" {
				return nil, &NotRun{Why: reason.ServersLimited, Withheld: true}
			}
			return &Answer{Status: 200}, nil
		}
		for i := range 30 {
			if reply := b.Serve(context.Background(), b.plain(fmt.Sprint(i))); reply.Status != 200 {
				t.Fatalf("%d, %s", reply.Status, reply.Reason)
			}
		}
		if state := b.Fleet.Server("s1").Breaker.State(time.Now()); state != route.BreakerClosed || b.did("call s1") < 5 {
			t.Errorf("breaker %s after %d", state, b.did("call s1"))
		}
	})
}

// says has a server say something of itself.
func (b *bench) says(server string, said backpressure.Statement) {
	now := time.Now()
	b.Fleet.Server(server).Pressure.Heard(said, now, now)
}

func TestRequestsThatAllServersWantNoneOfAreRefusedAtOnce(t *testing.T) {
	play(t, func(b *bench) {
		for server, rest := range map[string]time.Duration{"s1": 4 * time.Second, "s2": 2 * time.Second} {
			b.says(server, backpressure.Statement{Kind: backpressure.Plain, Refused: true, Backoff: rest})
		}
		began := time.Now()
		reply := b.serve(b.plain("a"))
		if reply.Reason != reason.ServersResting || time.Since(began) > 0 || b.did("call") > 0 {
			t.Errorf("%s after %v, %d calls", reply.Reason, time.Since(began), b.did("call"))
		}
		if reply.RetryAfter < 2*time.Second || reply.RetryAfter > 4*time.Second {
			t.Errorf("told to come back after %v, the first opens after 2 s", reply.RetryAfter)
		}
	})
}

// Rest that is asked for is no failure, also where the server does not say that it has not
// run the request.
func TestRestOpensNoBreaker(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.call = func(server string) (*Answer, error) {
			b.says(server, backpressure.Statement{Kind: backpressure.Plain, Refused: true, Backoff: 10 * time.Millisecond})
			return nil, errors.New("status 503 without a word on whether it ran")
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

// The list goes on saying that it is ready.
func TestAnEngineThatSaysItLeavesGetsNoStreamWhosePromptWasRead(t *testing.T) {
	play(t, func(b *bench) {
		reserved := ""
		b.engines.reserve = func(server string) error {
			reserved = server
			return nil
		}
		first := ""
		b.engines.prefill = func(string) error {
			if first == "" {
				first = reserved
				b.says(first, backpressure.Statement{Kind: backpressure.Decode, Leaving: true})
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 {
			t.Errorf("%d, %s", reply.Status, reply.Reason)
		}
		if b.did("decode "+first) != 0 || b.did("prefill") != 1 {
			t.Errorf("%d runs where it leaves, %d prefills", b.did("decode "+first), b.did("prefill"))
		}
		b.nothingHeld()
	})
}

// The word may come as the run is sent.
func TestARunThatIsWithheldGoesToAnotherEngine(t *testing.T) {
	play(t, func(b *bench) {
		withheld := ""
		b.engines.decode = func(server string, _ DecodeOrder) error {
			if withheld == "" || withheld == server {
				withheld = server
				return &NotRun{Why: reason.ServersResting, Withheld: true}
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 {
			t.Errorf("%d, %s", reply.Status, reply.Reason)
		}
		if b.did("prefill") != 1 {
			t.Errorf("%d prefills", b.did("prefill"))
		}
		b.nothingHeld()
	})
}

func TestStreamsMoveOffAnEngineThatSaysItLeaves(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		time.AfterFunc(200*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			b.says(m.runs[0].server, backpressure.Statement{Kind: backpressure.Decode, Leaving: true})
		})
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 {
			t.Errorf("%d, %s", reply.Status, reply.Reason)
		}
		if ran := m.ran(); ran != "d1 d2" && ran != "d2 d1" {
			t.Errorf("ran at %s", ran)
		}
	})
}
