package route

// RestFilter drops servers that have asked this instance to leave them alone for a while.
type RestFilter struct{}

// filteredRest names RestFilter.
const filteredRest = "resting"

// Name implements Filter.
func (RestFilter) Name() string { return filteredRest }

// Keep implements Filter.
func (RestFilter) Keep(q *Query, c Candidate) bool {
	return !c.Server.Pressure.WantsNothing(q.Now)
}
