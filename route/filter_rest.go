package route

// RestFilter drops servers in backoff: they turned away a request of this instance
// with Retry-After, and that time has not passed.
type RestFilter struct{}

// backoffFilterName is the name of RestFilter.
const backoffFilterName = "resting"

// Name implements Filter.
func (RestFilter) Name() string { return backoffFilterName }

// Keep implements Filter.
func (RestFilter) Keep(q *Query, c Candidate) bool {
	return !c.Server.Pressure.WantsNothing(q.Now)
}
