package route

import "github.com/mastwheel/mastwheel/backpressure"

// LimitFilter drops servers whose rate limit has no room for the work at the moment.
type LimitFilter struct{}

// limitFilterName is the name of LimitFilter.
const limitFilterName = "limit"

// Name implements Filter.
func (LimitFilter) Name() string { return limitFilterName }

// Keep implements Filter.
func (LimitFilter) Keep(q *Query, c Candidate) bool {
	return c.Server.Pressure.Check(q.Work, q.Now) != backpressure.OverLimit
}
