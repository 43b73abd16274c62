package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is a log with one lease and some candidates. Claims arrive late,
// candidates read the log late, and candidates freeze.
type simulation struct {
	state  State
	offset uint64
	// inFlight are the claims that were sent, each with the time of its arrival.
	inFlight []delayedClaim
	// candidates read the state late, each by its lag.
	candidates  []*Candidate
	frozenUntil []time.Time
	lag         []time.Duration
	history     []timedState
}

type delayedClaim struct {
	claim  Claim
	arrive time.Time
}

type timedState struct {
	at    time.Time
	state State
}

func (c *simulation) stateAt(at time.Time) State {
	state := State{}
	for _, m := range c.history {
		if !m.at.After(at) {
			state = m.state
		}
	}
	return state
}

// No two candidates are valid at the same time, even if claims are delayed, read late or lost,
// or their senders freeze.
func TestNoSecondHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		count := rapid.IntRange(2, 4).Draw(t, "candidates")
		c := &simulation{frozenUntil: make([]time.Time, count), lag: make([]time.Duration, count)}
		for i := range count {
			c.candidates = append(c.candidates, NewCandidate(DefaultConfig(), "orders", string(rune('a'+i)), start))
			c.lag[i] = time.Duration(rapid.IntRange(0, 4000).Draw(t, "lag")) * time.Millisecond
		}
		for step := range 400 {
			now := start.Add(time.Duration(step) * 500 * time.Millisecond)
			c.deliver(now)
			valid := 0
			for i, candidate := range c.candidates {
				if _, ok := candidate.Valid(now); ok {
					valid++
				}
				if now.Before(c.frozenUntil[i]) {
					continue
				}
				if rapid.IntRange(0, 60).Draw(t, "freeze") == 0 {
					c.frozenUntil[i] = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "for")) * time.Second)
					continue
				}
				candidate.Observe(c.stateAt(now.Add(-c.lag[i])), now)
				claim, ok := candidate.Next(now, i == 0)
				if ok && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					delay := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "delay")) * time.Millisecond
					c.inFlight = append(c.inFlight, delayedClaim{claim, now.Add(delay)})
				}
			}
			if valid > 1 {
				t.Fatalf("%d holders at %s", valid, now.Sub(start))
			}
		}
	})
}

// deliver applies the claims that have arrived.
func (c *simulation) deliver(now time.Time) {
	var remaining []delayedClaim
	for _, f := range c.inFlight {
		if f.arrive.After(now) {
			remaining = append(remaining, f)
			continue
		}
		c.offset++
		if next, counted := c.state.Apply(f.claim, c.offset); counted {
			c.state = next
			c.history = append(c.history, timedState{now, next})
		}
	}
	c.inFlight = remaining
}

// Without failures the candidate that may challenge without ChallengeDelay holds the
// lease. The next candidate takes over after the holder's death.
func TestTakeOver(t *testing.T) {
	start := time.Unix(1000, 0)
	first := NewCandidate(DefaultConfig(), "orders", "a", start)
	next := NewCandidate(DefaultConfig(), "orders", "b", start)
	claim, ok := first.Next(start, true)
	if !ok {
		t.Fatal("the candidate without ChallengeDelay did not claim")
	}
	state, _ := State{}.Apply(claim, 7)
	first.Observe(state, start)
	next.Observe(state, start)
	if token, ok := first.Valid(start); !ok || token != 7 {
		t.Fatalf("holder has token %d, valid %v", token, ok)
	}
	if _, ok := first.Valid(start.Add(17 * time.Second)); ok {
		t.Fatal("valid without a renewal")
	}
	if _, ok := next.Next(start.Add(22*time.Second), true); ok {
		t.Fatal("challenged too soon")
	}
	if _, ok := next.Next(start.Add(23*time.Second), true); !ok {
		t.Fatal("did not challenge")
	}
}

// The store is restored from an older copy that lacks the holder's claim. The holder
// still gives orders until its claim expires, so no other candidate may claim before,
// whatever the copy shows. A claim of another candidate that was in flight does not
// count.
func TestLostClaimBlocksOtherCandidates(t *testing.T) {
	config := Config{TTL: 3 * time.Second, RenewEvery: time.Second, Margin: time.Second}
	for name, restored := range map[string]State{
		"no claim":       {Era: 2},
		"an older claim": {Holder: "c", Token: 1<<41 + 3, Serial: 7, Era: 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			holder, other := NewCandidate(config, "k", "a", now), NewCandidate(config, "k", "b", now)
			none := State{Era: 1}
			holder.Observe(none, now)
			other.Observe(none, now)
			if _, due := holder.Next(now, true); due {
				t.Fatal("claimed at once although a claim may have been lost before")
			}
			now = now.Add(config.TTL + config.Margin)
			claim, due := holder.Next(now, true)
			otherClaim, _ := other.Next(now, true)
			if !due {
				t.Fatal("the first claim is not due")
			}
			holder.Observe(State{Holder: "a", Token: 1<<40 + 6, Serial: claim.Serial, Era: 1}, now)
			expires := holder.Until()
			now = now.Add(100 * time.Millisecond)
			other.Observe(restored, now)
			for at := now; at.Before(expires); at = at.Add(10 * time.Millisecond) {
				if _, due := other.Next(at, true); due {
					t.Fatalf("claimed %v before the holder's claim expired", expires.Sub(at))
				}
			}
			// The other candidate's claim was sent before the loss and appended after
			// it.
			other.Observe(State{Holder: "b", Token: 1<<41 + 6, Serial: otherClaim.Serial, Era: 2}, now)
			if _, valid := other.Valid(now); valid {
				t.Error("two candidates hold the lease")
			}
			if _, valid := holder.Valid(now); !valid {
				t.Error("the holder lost the lease although no other candidate holds it")
			}
		})
	}
}

// A claim was in flight when the store was restored from an older copy, and was
// appended after that. The claim of another holder is lost. The next state that the
// sender reads is its own claim, which must not make it the holder.
func TestClaimAppendedInLaterEraIsNotValid(t *testing.T) {
	config := Config{TTL: 3 * time.Second, RenewEvery: time.Second, Margin: time.Second}
	now := time.Unix(1000, 0)
	c := NewCandidate(config, "k", "b", now)
	c.Observe(State{Era: 1}, now)
	now = now.Add(config.TTL + config.Margin)
	claim, due := c.Next(now, true)
	if !due {
		t.Fatal("the first claim is not due")
	}
	now = now.Add(100 * time.Millisecond)
	c.Observe(State{Holder: "b", Token: 1<<41 + 6, Serial: claim.Serial, Era: 2}, now)
	if _, valid := c.Valid(now); valid {
		t.Error("the candidate may give orders beside a holder whose claim is lost")
	}
}

// The store is restored from a copy in which an earlier holder's claim is the last.
// The later holder, whose claim is lost, still gives orders, so the earlier holder
// must wait like any other candidate.
func TestHolderOfRestoredClaimWaits(t *testing.T) {
	config := Config{TTL: 3 * time.Second, RenewEvery: time.Second, Margin: time.Second}
	now := time.Unix(1000, 0)
	earlier := NewCandidate(config, "k", "a", now)
	earlier.Observe(State{Era: 1}, now)
	now = now.Add(config.TTL + config.Margin)
	claim, due := earlier.Next(now, true)
	if !due {
		t.Fatal("the first claim is not due")
	}
	mine := State{Holder: "a", Token: 1<<40 + 4, Serial: claim.Serial, Era: 1}
	earlier.Observe(mine, now)
	now = now.Add(2 * config.TTL)
	earlier.Observe(State{Holder: "b", Token: 1<<40 + 5, Serial: 1, Era: 1}, now)
	mine.Token, mine.Era = 2<<40+4, 2
	earlier.Observe(mine, now)
	for wait := time.Duration(0); wait < config.TTL+config.Margin; wait += 10 * time.Millisecond {
		if _, due := earlier.Next(now.Add(wait), true); due {
			t.Fatalf("claimed %v after the restored claim was read", wait)
		}
	}
	if _, due := earlier.Next(now.Add(config.TTL+config.Margin), true); !due {
		t.Error("did not claim after the wait")
	}
}
