package route

import "sync/atomic"

const (
	// budgetReserve lets a quiet service retry a few times.
	budgetReserve = 10
	// budgetUnit is one whole retry, in the budget's fixed-point units.
	budgetUnit = 100
	// budgetCap bounds the retries that a long quiet time can save up.
	budgetCap = 100 * budgetUnit
)

// Budget bounds the retries of one service to a percentage of its first
// attempts, plus a small reserve, so that an outage is not multiplied by
// retries. Call NewBudget.
type Budget struct{ credit atomic.Int64 }

// NewBudget returns a budget that holds only the reserve.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetReserve * budgetUnit)
	return b
}

// Earn adds what one first attempt earns, at the given percentage.
func (b *Budget) Earn(percent int) {
	if b.credit.Load() < budgetCap {
		b.credit.Add(int64(percent))
	}
}

// Spend takes one retry from the budget, or returns false when it is empty.
func (b *Budget) Spend() bool {
	if b.credit.Add(-budgetUnit) >= 0 {
		return true
	}
	b.credit.Add(budgetUnit)
	return false
}
