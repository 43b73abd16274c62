package route

// FreeScorer prefers engines with more KV memory left, by what this instance
// and its siblings have committed there.
type FreeScorer struct{}

// Name implements Scorer.
func (FreeScorer) Name() string { return "free" }

// Score implements Scorer.
func (FreeScorer) Score(_ *Query, c Candidate) float64 {
	if c.Backend.MemoryTokens == 0 {
		return 0
	}
	return float64(max(FreeTokens(c), 0)) / float64(c.Backend.MemoryTokens)
}

// FreeTokens estimates the KV memory of an engine that nobody needs, in
// tokens; negative when more was promised than there is.
func FreeTokens(c Candidate) int {
	return c.Backend.MemoryTokens - c.Server.Own().Memory - c.Server.Others().Memory
}
