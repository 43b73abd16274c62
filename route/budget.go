package route

import "sync/atomic"

const (
	// budgetReserve is the initial number of retries, so that a service with little
	// traffic can retry a few times.
	budgetReserve = 10
	// budgetUnit is one whole retry, in the budget's fixed-point units.
	budgetUnit = 100
	// budgetCap limits the credit that accumulates over a long time with few retries.
	budgetCap = 100 * budgetUnit
)

// Budget limits the retries of one service to a percentage of its first attempts (the
// first try of each request), plus a small reserve, so that retries do not multiply an
// outage. Use NewBudget to create one.
type Budget struct{ credit atomic.Int64 }

// NewBudget returns a budget that holds only the reserve.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetReserve * budgetUnit)
	return b
}

// Earn adds the credit for one first attempt, at the given percentage.
func (b *Budget) Earn(percent int) {
	if b.credit.Load() < budgetCap {
		b.credit.Add(int64(percent))
	}
}

// Spend takes one retry from the budget, or returns false if the budget is empty.
func (b *Budget) Spend() bool {
	if b.credit.Add(-budgetUnit) >= 0 {
		return true
	}
	b.credit.Add(budgetUnit)
	return false
}
