package route

// BackoffFilter drops servers in backoff: they turned away a request of this instance
// with Retry-After, and that time has not passed.
type BackoffFilter struct{}

// backoffFilterName is the name of BackoffFilter.
const backoffFilterName = "resting"

// Name implements Filter.
func (BackoffFilter) Name() string { return backoffFilterName }

// Keep implements Filter.
func (BackoffFilter) Keep(q *Query, c Candidate) bool {
	return !c.Server.Pressure.BlockedByBackoff(q.Now)
}
