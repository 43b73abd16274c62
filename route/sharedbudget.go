package route

import (
	"sync"
	"time"
)

// SharedBudget is one instance's share of a retry budget that all instances
// spend from: in any window, a ratio of the first attempts and an allowance on
// top. Half of the instance's part of the allowance can be saved up, and half
// comes back over a window; so no window sees more than the whole part. Call
// NewSharedBudget.
type SharedBudget struct {
	mu     sync.Mutex
	ratio  float64
	window time.Duration
	part   float64
	credit float64
	// filled is up to when the allowance was added.
	filled time.Time
}

// NewSharedBudget returns a budget that earns ratio retries for each first
// attempt and part retries in each window.
func NewSharedBudget(ratio float64, window time.Duration, part float64, now time.Time) *SharedBudget {
	return &SharedBudget{ratio: ratio, window: window, part: part, credit: part / 2, filled: now}
}

// SetPart changes the part of the allowance, as instances come and go. Credit
// beyond a smaller part is lost; a larger one fills with time, since another
// instance may have spent it in the same window.
func (b *SharedBudget) SetPart(part float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.part = part
	b.credit = min(b.credit, part/2)
}

// Earn notes a first attempt.
func (b *SharedBudget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.credit = min(b.credit+b.ratio, max(b.part/2, 1))
}

// Spend takes one retry, or returns false when there is none.
func (b *SharedBudget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Left returns the retries that are left.
func (b *SharedBudget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	return b.credit
}

// fill adds the allowance of the time that has passed.
func (b *SharedBudget) fill(now time.Time) {
	passed := now.Sub(b.filled)
	if passed <= 0 {
		return
	}
	b.filled = now
	added := b.part / 2 * float64(passed) / float64(b.window)
	b.credit = max(b.credit, min(b.credit+added, b.part/2))
}
