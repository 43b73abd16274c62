package route

// BreakerFilter drops servers whose breaker is open.
type BreakerFilter struct{}

// Name implements Filter.
func (BreakerFilter) Name() string { return "breaker" }

// Keep implements Filter.
func (BreakerFilter) Keep(q *Query, c Candidate) bool {
	return c.Server.Breaker.State(q.Now) != BreakerOpen
}
