package route

import (
	"sync/atomic"
	"time"
)

const (
	// breakerThreshold is how many failures in a row open the breaker.
	breakerThreshold = 5
	// breakerCooldown is how long an open breaker waits before it allows one probe.
	breakerCooldown = 2 * time.Second
)

// BreakerState is the state of a breaker at one moment.
type BreakerState string

const (
	BreakerClosed   BreakerState = "closed"
	BreakerOpen     BreakerState = "open"
	BreakerHalfOpen BreakerState = "half_open"
)

// Breaker stops requests to a backend server that fails repeatedly. After the
// cooldown it lets one request at a time through as a probe. A successful probe
// closes the breaker, a failed one opens it for another cooldown. The zero value is
// closed.
type Breaker struct {
	failures atomic.Int64
	// openUntil is in nanoseconds since the Unix epoch; 0 while closed.
	openUntil atomic.Int64
}

// State returns the breaker's state at now.
func (b *Breaker) State(now time.Time) BreakerState {
	until := b.openUntil.Load()
	switch {
	case until == 0:
		return BreakerClosed
	case now.UnixNano() < until:
		return BreakerOpen
	default:
		return BreakerHalfOpen
	}
}

// Allow reports whether a request may be sent at now. In the half-open state the
// first caller sends the probe, and the others wait for another cooldown.
func (b *Breaker) Allow(now time.Time) bool {
	until := b.openUntil.Load()
	if until == 0 {
		return true
	}
	if now.UnixNano() < until {
		return false
	}
	return b.openUntil.CompareAndSwap(until, now.Add(breakerCooldown).UnixNano())
}

// Success closes the breaker.
func (b *Breaker) Success() {
	if b.failures.Load() != 0 {
		b.failures.Store(0)
	}
	if b.openUntil.Load() != 0 {
		b.openUntil.Store(0)
	}
}

// Failure counts a failed request, and opens the breaker after breakerThreshold
// failures in a row.
func (b *Breaker) Failure(now time.Time) {
	if b.failures.Add(1) >= breakerThreshold {
		b.openUntil.Store(now.Add(breakerCooldown).UnixNano())
	}
}
