package route

// IdleScorer prefers servers of plain services (without models) that have fewer
// requests.
type IdleScorer struct{}

// Name implements Scorer.
func (IdleScorer) Name() string { return "idle" }

// Score implements Scorer.
func (IdleScorer) Score(_ *Query, c Candidate) float64 {
	running := c.Server.InFlight() + c.Server.Others().InFlight
	if report := c.Server.Report(); report != nil {
		running = max(running, report.Running)
	}
	return 1 / float64(1+running)
}
