// Package lease decides which instance may give orders to engines. A lease is a chain
// of claims on the platform's log. Each claim names the claim that it follows. The
// first of two claims that follow the same one counts, by the same rule at every
// instance. The offset of a claim is its fencing token. Nothing here does I/O or
// reads a clock.
package lease

import "time"

// Claim is a log record by which its holder takes or renews a lease.
type Claim struct {
	Key string `json:"key"`
	// Holder is the claiming instance with its incarnation.
	Holder string `json:"holder"`
	// After is the token of the claim that this one follows; 0 for the first.
	After uint64 `json:"after"`
	// Serial distinguishes the holder's claims. The claim that counts may be an
	// earlier one than the last that the holder sent, and the TTL runs from the claim
	// that counts.
	Serial uint64 `json:"serial"`
}

// State is the last claim of a lease that counted.
type State struct {
	Holder string `json:"holder"`
	// Token is the offset of the claim.
	Token  uint64 `json:"token"`
	Serial uint64 `json:"serial"`
	// Era is the era of the store in which the state was read (the era increases by one
	// each time the store is restored from an older copy); 0 if the store has no eras. A
	// store that was restored from an older copy may have lost the claim that counts,
	// and the holder of that claim still relies on it for a while.
	Era uint64 `json:"era,omitempty"`
}

// Apply returns the state after a claim at a log offset, and whether the
// claim counted.
func (s State) Apply(claim Claim, offset uint64) (State, bool) {
	if claim.Holder == "" || claim.After != s.Token {
		return s, false
	}
	return State{Holder: claim.Holder, Token: offset, Serial: claim.Serial}, true
}

// Config sets the durations of a lease.
type Config struct {
	// TTL is how long a claim lasts from the moment it was sent. A shorter TTL lets another
	// instance take the lease sooner after a holder dies. A longer TTL costs fewer appends
	// and survives a longer outage of the log.
	TTL time.Duration
	// RenewEvery is how often a holder renews. It must leave time for a slow
	// append before TTL ends.
	RenewEvery time.Duration
	// Margin is how long before the end of its claim a holder stops giving orders, and how
	// long after that end another candidate may claim the lease (challenge the holder). It
	// allows for clocks that run at different speeds, and for an order that is in flight.
	Margin time.Duration
	// ChallengeDelay is how much longer a candidate waits before it challenges, if another
	// candidate is to challenge first.
	ChallengeDelay time.Duration
}

// DefaultConfig returns a configuration that costs one append every eight seconds per
// lease.
func DefaultConfig() Config {
	return Config{TTL: 20 * time.Second, RenewEvery: 8 * time.Second, Margin: 3 * time.Second, ChallengeDelay: 5 * time.Second}
}

// Candidate is one instance's participation in one lease.
type Candidate struct {
	config Config
	key    string
	self   string

	// state is the lease as last read from the log, and changedAt is when that state
	// was first read.
	state     State
	changedAt time.Time
	// pending holds, by serial, the claims that this instance has sent to the log and has
	// not yet found when it read the log. lastSent is when the last of them was sent; zero
	// if there is none.
	pending  map[uint64]pendingClaim
	lastSent time.Time
	serial   uint64
	// validUntil is when this instance, as the holder, must have stopped giving orders.
	validUntil time.Time
	// claimSent is when the claim that made this instance the holder was sent; zero
	// if it is not the holder.
	claimSent time.Time
}

// pendingClaim is a claim that this instance has sent to the log and has not yet found when
// it read the log.
type pendingClaim struct {
	at time.Time
	// era is the era of the state that the claim follows. If the claim counts in a later
	// era, the store may have lost a claim of another holder that counted before, and that
	// holder still relies on it.
	era uint64
}

// NewCandidate returns the participation of an instance in a lease. It starts at now:
// another instance's claim that this one has not read yet may have been made as late as
// that.
func NewCandidate(config Config, key, self string, now time.Time) *Candidate {
	return &Candidate{config: config, key: key, self: self, changedAt: now, pending: make(map[uint64]pendingClaim)}
}

// Observe applies the lease's state as folded from the log.
func (c *Candidate) Observe(state State, now time.Time) {
	if state == c.state {
		return
	}
	c.state, c.changedAt = state, now
	c.validUntil, c.claimSent = time.Time{}, time.Time{}
	if sent, mine := c.pending[state.Serial]; mine && state.Holder == c.self && sent.era == state.Era {
		c.claimSent = sent.at
		c.validUntil = sent.at.Add(c.config.TTL - c.config.Margin)
	}
	// All other pending claims follow a claim that is no longer the last, so they cannot
	// count.
	clear(c.pending)
	c.lastSent = time.Time{}
}

// Valid returns the fencing token, and whether this instance may give orders at now.
func (c *Candidate) Valid(now time.Time) (token uint64, ok bool) {
	return c.state.Token, c.state.Holder == c.self && now.Before(c.validUntil)
}

// Until returns the time by which this instance, as the holder, must have sent its last
// order.
func (c *Candidate) Until() time.Time { return c.validUntil }

// Next returns the claim to send at now, if one is due. first is set if this instance
// may challenge without ChallengeDelay.
func (c *Candidate) Next(now time.Time, first bool) (Claim, bool) {
	if !c.lastSent.IsZero() && now.Sub(c.lastSent) < c.config.RenewEvery {
		return Claim{}, false
	}
	if !c.due(now, first) {
		return Claim{}, false
	}
	c.lastSent = now
	c.serial++
	c.pending[c.serial] = pendingClaim{at: now, era: c.state.Era}
	return Claim{Key: c.key, Holder: c.self, After: c.state.Token, Serial: c.serial}, true
}

func (c *Candidate) due(now time.Time, first bool) bool {
	// A holder renews without waiting for expiry. An instance that finds its own claim
	// again in a later era of the store does not: the store may have lost a later claim of
	// another holder, which still relies on it.
	if c.state.Holder == c.self && !c.claimSent.IsZero() {
		return now.Sub(c.claimSent) >= c.config.RenewEvery
	}
	// A store with eras may have lost a claim, even before this instance started. An empty
	// state does not prove then that no instance holds the lease, so this instance waits as
	// if a claim was just made. That costs TTL and Margin once, before the first claim of
	// all.
	if c.state.Token == 0 && c.state.Era == 0 && first {
		return true
	}
	wait := c.config.TTL + c.config.Margin
	if !first {
		wait += c.config.ChallengeDelay
	}
	return now.Sub(c.changedAt) >= wait
}
