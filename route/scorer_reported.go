package route

// ReportedScorer scores a server by its last report alone, like a router that does not
// track what it and other instances have sent since.
type ReportedScorer struct{}

// Name implements Scorer.
func (ReportedScorer) Name() string { return "reported" }

// Score implements Scorer.
func (ReportedScorer) Score(_ *Query, c Candidate) float64 {
	report := c.Server.Report()
	if report == nil {
		return 0
	}
	if c.Backend.Pieces > 0 {
		return float64(report.FreePieces) / float64(c.Backend.Pieces)
	}
	return 1 / float64(1+report.WaitingTokens)
}
