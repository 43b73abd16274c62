package route

// ExcludedFilter drops servers that the request has already tried in vain.
type ExcludedFilter struct{}

// Name implements Filter.
func (ExcludedFilter) Name() string { return "excluded" }

// Keep implements Filter.
func (ExcludedFilter) Keep(q *Query, c Candidate) bool { return !excluded(q, c.Backend.Name) }
