package route

// LeavingFilter drops servers that the operator drains or that report their own drain
// in the list of servers, in a report or in an answer, whichever arrives first.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Query, c Candidate) bool {
	if c.Backend.Drain || c.Server.Pressure.IsLeaving() {
		return false
	}
	report := c.Server.Report()
	return report == nil || !report.Leaving
}
