package route

// DrainingFilter drops servers that the operator drains or that report their own drain
// in the list of servers, in a report or in an answer, whichever arrives first.
type DrainingFilter struct{}

// Name implements Filter.
func (DrainingFilter) Name() string { return "leaving" }

// Keep implements Filter.
func (DrainingFilter) Keep(_ *Query, c Candidate) bool {
	if c.Backend.Drain || c.Server.Pressure.IsLeaving() {
		return false
	}
	report := c.Server.Report()
	return report == nil || !report.Leaving
}
