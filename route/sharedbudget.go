package route

import (
	"sync"
	"time"
)

// SharedBudget is one instance's share of a retry budget that all instances spend from:
// in any window, a ratio of the first attempts (the first try of each request) plus a
// fixed allowance. Half of the instance's share of the allowance can be saved up, and
// half is refilled over a window, so no window sees more than the whole share. Use
// NewSharedBudget to create one.
type SharedBudget struct {
	mu        sync.Mutex
	ratio     float64
	window    time.Duration
	allowance float64
	credit    float64
	// filledAt is the time up to which the allowance was added.
	filledAt time.Time
}

// NewSharedBudget returns a budget that earns ratio retries for each first attempt
// and allowance retries in each window.
func NewSharedBudget(ratio float64, window time.Duration, allowance float64, now time.Time) *SharedBudget {
	return &SharedBudget{ratio: ratio, window: window, allowance: allowance, credit: allowance / 2, filledAt: now}
}

// SetAllowance changes the instance's share of the allowance when instances come and go.
// Credit beyond a smaller share is lost. A larger share is filled over time, since
// another instance may have spent it in the same window.
func (b *SharedBudget) SetAllowance(allowance float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.allowance = allowance
	b.credit = min(b.credit, allowance/2)
}

// Earn adds the credit for one first attempt.
func (b *SharedBudget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.credit = min(b.credit+b.ratio, max(b.allowance/2, 1))
}

// Spend takes one retry, or returns false if there is none.
func (b *SharedBudget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Refund returns a spent retry that was not sent.
func (b *SharedBudget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.credit = min(b.credit+1, max(b.allowance/2, 1))
}

// Left returns the number of retries that are left.
func (b *SharedBudget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.credit
}

// refill adds the allowance for the time that has passed.
func (b *SharedBudget) refill(now time.Time) {
	passed := now.Sub(b.filledAt)
	if passed <= 0 {
		return
	}
	b.filledAt = now
	added := b.allowance / 2 * float64(passed) / float64(b.window)
	b.credit = max(b.credit, min(b.credit+added, b.allowance/2))
}
