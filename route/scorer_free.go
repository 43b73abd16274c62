package route

import (
	"math"

	"github.com/mastwheel/mastwheel/speed"
)

// FreeScorer prefers engines with more free KV memory, by the commitments (the requests
// and memory assigned to servers) of this instance and its siblings, or by a forecast of the peak if
// the query has one. Memory of an engine where streams take longer, and so hold it for longer, counts
// less, by the square root of the engine's speed. By the speed itself, the memory of fast engines is
// exceeded more often under high load.
type FreeScorer struct{}

// Name implements Scorer.
func (FreeScorer) Name() string { return "free" }

// Score implements Scorer.
func (FreeScorer) Score(q *Query, c Candidate) float64 {
	if c.Backend.MemoryTokens == 0 {
		return 0
	}
	relative := c.Server.Speeds.Relative(speed.Event, c.Server.requests())
	return math.Sqrt(relative) * freeTokens(q, c) / float64(c.Backend.MemoryTokens)
}

// freeTokens returns an engine's free KV memory in tokens, by the query's forecast if it has one.
func freeTokens(q *Query, c Candidate) float64 {
	if q.Forecast != nil {
		return max(q.Forecast.Admission(c).Free, 0)
	}
	return float64(max(FreeTokens(c), 0))
}

// FreeTokens estimates an engine's KV memory that no request needs, in tokens. It is
// negative if more was promised than there is.
func FreeTokens(c Candidate) int {
	return c.Backend.MemoryTokens - c.Server.Own().Memory - c.Server.Others().Memory
}
