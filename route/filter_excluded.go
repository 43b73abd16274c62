package route

// ExcludedFilter drops servers on which earlier attempts of the request failed.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Keep implements Filter.
func (ExcludedFilter) Keep(q *Query, c Candidate) bool { return !excluded(q, c.Backend.Name) }
