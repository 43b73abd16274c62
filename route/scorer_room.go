package route

// RoomScorer prefers decode engines with more free memory. The free memory is the
// smaller of two values: the last report, and the engine's memory pieces (the unit of
// KV cache memory, 2,000 tokens) less this instance's requests in flight, since the
// report lags behind what was just sent.
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
