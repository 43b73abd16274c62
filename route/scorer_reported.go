package route

// ReportedScorer rates a server by its last report alone, as a router does
// that knows nothing of what it and others have sent since.
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
