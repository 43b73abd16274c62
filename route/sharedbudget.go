package route

import "sync"

// SharedBudget is one instance's share of a retry budget that all instances
// spend from. In any window it spends at most its part of the allowance plus
// the ratio times the first attempts that it saw, so that the sum over all
// instances keeps to the whole budget. Call NewSharedBudget.
type SharedBudget struct {
	mu     sync.Mutex
	ratio  float64
	part   float64
	credit float64
}

// NewSharedBudget returns a budget that earns ratio retries for each first
// attempt, and holds part retries at most.
func NewSharedBudget(ratio, part float64) *SharedBudget {
	return &SharedBudget{ratio: ratio, part: part, credit: part}
}

// SetPart changes the part of the allowance, as instances come and go. Credit
// beyond a smaller part is lost; a larger part is not granted at once, since
// another instance may have spent it in the same window.
func (b *SharedBudget) SetPart(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part = part
	b.credit = min(b.credit, part)
}

// Earn notes a first attempt.
func (b *SharedBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+b.ratio, b.part)
}

// Spend takes one retry, or returns false when there is none.
func (b *SharedBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// Left returns the retries that are left.
func (b *SharedBudget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit
}
