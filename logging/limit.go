package logging

import (
	"sync"
	"time"
)

// Limit is a token bucket that limits how often something is logged. Call
// NewLimit to create one.
type Limit struct {
	mu sync.Mutex
	// perSecond is the rate at which tokens are added, up to burst.
	perSecond float64
	burst     float64
	tokens    float64
	refilled  time.Time
}

// NewLimit returns a limit of perSecond log entries a second on average, and of
// burst entries in immediate succession.
func NewLimit(perSecond, burst float64, now time.Time) *Limit {
	return &Limit{perSecond: perSecond, burst: burst, tokens: burst, refilled: now}
}

// Allow reports whether one more entry may be logged at now, and counts it.
func (l *Limit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.refilled); passed > 0 {
		l.tokens = min(l.tokens+passed.Seconds()*l.perSecond, l.burst)
		l.refilled = now
	}
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
