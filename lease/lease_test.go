package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// chain is a log with one lease and some candidates. Claims take a while to
// arrive, are seen late, and candidates freeze.
type chain struct {
	state  State
	offset uint64
	// inFlight are claims under way, each with the moment of its arrival.
	inFlight []flight
	// views are the states as each candidate sees them, late.
	candidates []*Candidate
	frozen     []time.Time
	lag        []time.Duration
	history    []moment
}

type flight struct {
	claim  Claim
	arrive time.Time
}

type moment struct {
	at    time.Time
	state State
}

func (c *chain) stateAt(at time.Time) State {
	state := State{}
	for _, m := range c.history {
		if !m.at.After(at) {
			state = m.state
		}
	}
	return state
}

// Never are two candidates valid at once, however claims are delayed, seen
// late, lost, or their senders frozen.
func TestNoSecondHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		count := rapid.IntRange(2, 4).Draw(t, "candidates")
		c := &chain{frozen: make([]time.Time, count), lag: make([]time.Duration, count)}
		for i := range count {
			c.candidates = append(c.candidates, NewCandidate(DefaultConfig(), "orders", string(rune('a'+i)), start))
			c.lag[i] = time.Duration(rapid.IntRange(0, 4000).Draw(t, "lag")) * time.Millisecond
		}
		for step := range 400 {
			now := start.Add(time.Duration(step) * 500 * time.Millisecond)
			c.land(now)
			valid := 0
			for i, candidate := range c.candidates {
				if _, ok := candidate.Valid(now); ok {
					valid++
				}
				if now.Before(c.frozen[i]) {
					continue
				}
				if rapid.IntRange(0, 60).Draw(t, "freeze") == 0 {
					c.frozen[i] = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "for")) * time.Second)
					continue
				}
				candidate.Observe(c.stateAt(now.Add(-c.lag[i])), now)
				claim, ok := candidate.Next(now, i == 0)
				if ok && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
					delay := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "delay")) * time.Millisecond
					c.inFlight = append(c.inFlight, flight{claim, now.Add(delay)})
				}
			}
			if valid > 1 {
				t.Fatalf("%d holders at %s", valid, now.Sub(start))
			}
		}
	})
}

// land lets the claims that have arrived count.
func (c *chain) land(now time.Time) {
	var rest []flight
	for _, f := range c.inFlight {
		if f.arrive.After(now) {
			rest = append(rest, f)
			continue
		}
		c.offset++
		if next, counted := c.state.Follow(f.claim, c.offset); counted {
			c.state = next
			c.history = append(c.history, moment{now, next})
		}
	}
	c.inFlight = rest
}

// Left alone, the first in line holds the lease, and the next takes over
// after its death.
func TestTakeOver(t *testing.T) {
	start := time.Unix(1000, 0)
	first := NewCandidate(DefaultConfig(), "orders", "a", start)
	next := NewCandidate(DefaultConfig(), "orders", "b", start)
	claim, ok := first.Next(start, true)
	if !ok {
		t.Fatal("the first in line did not claim")
	}
	state, _ := State{}.Follow(claim, 7)
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

// A claim is lost when the store comes back from an older copy. Its holder still gives
// orders until it runs out, so nobody else begins before, whatever the copy shows; and a
// claim that was under way beside it counts for nothing.
func TestAClaimThatTheStoreHasLost(t *testing.T) {
	config := Config{TTL: 3 * time.Second, RenewEvery: time.Second, Margin: time.Second}
	for name, shows := range map[string]State{
		"no claim":     {Era: 2},
		"an older one": {Holder: "c", Token: 1<<41 + 3, Serial: 7, Era: 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			holder, other := NewCandidate(config, "k", "a", now), NewCandidate(config, "k", "b", now)
			none := State{Era: 1}
			holder.Observe(none, now)
			other.Observe(none, now)
			if _, due := holder.Next(now, true); due {
				t.Fatal("claimed at once, where a claim may have been lost before")
			}
			now = now.Add(config.TTL + config.Margin)
			claim, due := holder.Next(now, true)
			under, _ := other.Next(now, true)
			if !due {
				t.Fatal("the first claim is not due")
			}
			holder.Observe(State{Holder: "a", Token: 1<<40 + 6, Serial: claim.Serial, Era: 1}, now)
			ends := holder.Until()
			now = now.Add(100 * time.Millisecond)
			other.Observe(shows, now)
			for at := now; at.Before(ends); at = at.Add(10 * time.Millisecond) {
				if _, due := other.Next(at, true); due {
					t.Fatalf("claimed %v before the holder ends", ends.Sub(at))
				}
			}
			// Its own claim of before the loss was carried out after it.
			other.Observe(State{Holder: "b", Token: 1<<41 + 6, Serial: under.Serial, Era: 2}, now)
			if _, valid := other.Valid(now); valid {
				t.Error("two hold the lease")
			}
			if _, valid := holder.Valid(now); !valid {
				t.Error("the holder lost what nobody else has")
			}
		})
	}
}

// A claim that was under way when the store came back older was carried out after that,
// where the claim of another holder is lost: the next that its sender sees is its own.
func TestAClaimThatWasCarriedOutInALaterEra(t *testing.T) {
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
		t.Error("it gives orders beside a holder whose claim is lost")
	}
}

// The store comes back from a copy in which an earlier holder's claim is the last: the
// later one that is lost still holds, so the earlier holder waits as any other does.
func TestAClaimOfItsOwnThatIsFoundAgainIsNoLease(t *testing.T) {
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
			t.Fatalf("claimed %v after the later holder was seen", wait)
		}
	}
	if _, due := earlier.Next(now.Add(config.TTL+config.Margin), true); !due {
		t.Error("never claimed again")
	}
}
