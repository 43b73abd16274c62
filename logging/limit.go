package logging

import (
	"sync"
	"time"
)

// Limit bounds how often something is logged. Call NewLimit.
type Limit struct {
	mu sync.Mutex
	// perSecond fills credit, up to burst.
	perSecond float64
	burst     float64
	credit    float64
	filled    time.Time
}

// NewLimit returns a limit of that many a second in the mean, and of burst at
// once.
func NewLimit(perSecond, burst float64, now time.Time) *Limit {
	return &Limit{perSecond: perSecond, burst: burst, credit: burst, filled: now}
}

// Allow says whether one more may be logged at now.
func (l *Limit) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.filled); passed > 0 {
		l.credit = min(l.credit+passed.Seconds()*l.perSecond, l.burst)
		l.filled = now
	}
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}
