// Package lease decides who may give orders to engines. A lease is a chain of
// claims on the platform's log: each names the claim that it follows, and the
// first of two that follow the same one counts, by the same rule at every
// instance. The offset of a claim is its fencing token. Nothing here does I/O
// or reads a clock.
package lease

import "time"

// Claim is a record on the log by which its holder takes or renews a lease.
type Claim struct {
	Key string `json:"key"`
	// Holder is the claiming instance with its incarnation.
	Holder string `json:"holder"`
	// After is the token of the claim that this one follows; 0 for the first.
	After uint64 `json:"after"`
	// Serial tells the holder's claims apart: what counts may be an earlier one
	// than the last that it sent, and its time runs from that.
	Serial uint64 `json:"serial"`
}

// State is the last claim of a lease that counted.
type State struct {
	Holder string `json:"holder"`
	// Token is the offset of the claim.
	Token  uint64 `json:"token"`
	Serial uint64 `json:"serial"`
	// Era is the era of the store in which the state was read; 0 where there is one only.
	// A store that has come back from an older copy may have lost the claim that counts:
	// its holder still goes by it for a while.
	Era uint64 `json:"era,omitempty"`
}

// Follow returns the state after a claim at a log offset, and whether the
// claim counted.
func (s State) Follow(claim Claim, offset uint64) (State, bool) {
	if claim.Holder == "" || claim.After != s.Token {
		return s, false
	}
	return State{Holder: claim.Holder, Token: offset, Serial: claim.Serial}, true
}

// Config sets the times of a lease.
type Config struct {
	// TTL is how long a claim lasts from the moment it was sent. Shorter hands
	// over sooner after a death; longer costs fewer appends and survives a
	// longer outage of the log.
	TTL time.Duration
	// RenewEvery is how often a holder renews. It must leave time for a slow
	// append before TTL ends.
	RenewEvery time.Duration
	// Margin is how much before its end a holder stops, and how much after it
	// a challenger begins: for clocks that run at different speeds, and for an
	// order that is under way.
	Margin time.Duration
	// Courtesy is how much longer all but the first in line wait to challenge.
	Courtesy time.Duration
}

// DefaultConfig costs one append every eight seconds a lease.
func DefaultConfig() Config {
	return Config{TTL: 20 * time.Second, RenewEvery: 8 * time.Second, Margin: 3 * time.Second, Courtesy: 5 * time.Second}
}

// Candidate is one instance's part in one lease.
type Candidate struct {
	config Config
	key    string
	self   string

	// state is the lease as last seen on the log, and seen when that was.
	state State
	seen  time.Time
	// sent is when each claim that has not been seen yet was sent, by serial,
	// and last when the last was; zero with none.
	sent   map[uint64]sentClaim
	last   time.Time
	serial uint64
	// until is when this instance, as the holder, must have stopped.
	until time.Time
	// renewed is when the claim that made it holder was sent; zero if it is none.
	renewed time.Time
}

// sentClaim is a claim that has not been seen yet.
type sentClaim struct {
	at time.Time
	// era is that of the state which it follows. In a later one it may have been carried
	// out beside the claim of another holder that was lost.
	era uint64
}

// NewCandidate returns the part of an instance in a lease, begun at now: a
// claim that it has not seen may be that young.
func NewCandidate(config Config, key, self string, now time.Time) *Candidate {
	return &Candidate{config: config, key: key, self: self, seen: now, sent: make(map[uint64]sentClaim)}
}

// Observe takes in the lease's state as folded from the log.
func (c *Candidate) Observe(state State, now time.Time) {
	if state == c.state {
		return
	}
	c.state, c.seen = state, now
	c.until, c.renewed = time.Time{}, time.Time{}
	if sent, mine := c.sent[state.Serial]; mine && state.Holder == c.self && sent.era == state.Era {
		c.renewed = sent.at
		c.until = sent.at.Add(c.config.TTL - c.config.Margin)
	}
	// Whatever else is under way follows a claim that is no longer the last.
	clear(c.sent)
	c.last = time.Time{}
}

// Valid says whether this instance may give orders at now, and with which
// token.
func (c *Candidate) Valid(now time.Time) (token uint64, ok bool) {
	return c.state.Token, c.state.Holder == c.self && now.Before(c.until)
}

// Until is when an order must have been sent by the holder.
func (c *Candidate) Until() time.Time { return c.until }

// Next returns the claim to send at now, if there is one. first says whether
// this instance is the first in line to challenge.
func (c *Candidate) Next(now time.Time, first bool) (Claim, bool) {
	if !c.last.IsZero() && now.Sub(c.last) < c.config.RenewEvery {
		return Claim{}, false
	}
	if !c.due(now, first) {
		return Claim{}, false
	}
	c.last = now
	c.serial++
	c.sent[c.serial] = sentClaim{at: now, era: c.state.Era}
	return Claim{Key: c.key, Holder: c.self, After: c.state.Token, Serial: c.serial}, true
}

func (c *Candidate) due(now time.Time, first bool) bool {
	// A holder renews at once. One that finds a claim of its own again in a later era does
	// not: another's that came after it may be lost, and its holder goes by it.
	if c.state.Holder == c.self && !c.renewed.IsZero() {
		return now.Sub(c.renewed) >= c.config.RenewEvery
	}
	// Where the store has eras it may have lost a claim, also before this instance
	// started: that there is none says nothing then, and it is waited out as one that
	// was just made. That costs TTL and Margin once, before the first claim of all.
	if c.state.Token == 0 && c.state.Era == 0 && first {
		return true
	}
	patience := c.config.TTL + c.config.Margin
	if !first {
		patience += c.config.Courtesy
	}
	return now.Sub(c.seen) >= patience
}
