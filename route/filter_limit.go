package route

import "github.com/mastwheel/mastwheel/backpressure"

// LimitFilter drops servers whose rate limit leaves no room for the work now.
type LimitFilter struct{}

// filteredLimit names LimitFilter.
const filteredLimit = "limit"

// Name implements Filter.
func (LimitFilter) Name() string { return filteredLimit }

// Keep implements Filter.
func (LimitFilter) Keep(q *Query, c Candidate) bool {
	return c.Server.Pressure.Look(q.Work, q.Now) != backpressure.OverLimit
}
