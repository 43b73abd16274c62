package route

import "github.com/mastwheel/mastwheel/speed"

// IdleScorer prefers servers of plain services (without models) that have fewer
// requests for their speed.
type IdleScorer struct{}

// Name implements Scorer.
func (IdleScorer) Name() string { return "idle" }

// Score implements Scorer.
func (IdleScorer) Score(_ *Query, c Candidate) float64 {
	running := c.Server.requests()
	if report := c.Server.Report(); report != nil {
		running = max(running, report.Running)
	}
	return c.Server.Speeds.Relative(speed.Call, running) / float64(1+running)
}
