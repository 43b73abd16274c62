package route

// RoomScorer prefers decode engines with more free memory, by the last report
// less what this instance has sent since.
type RoomScorer struct{}

// Name implements Scorer.
func (RoomScorer) Name() string { return "room" }

// Score implements Scorer.
func (RoomScorer) Score(_ *Query, c Candidate) float64 {
	if c.Backend.Pieces == 0 {
		return 0
	}
	free := c.Backend.Pieces - c.Server.InFlight()
	if report := c.Server.Report(); report != nil {
		free = min(free, report.FreePieces)
	}
	return float64(max(free, 0)) / float64(c.Backend.Pieces)
}
