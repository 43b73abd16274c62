package route

import "time"

// WaitScorer prefers the prefill engine that will finish reading the prompt first.
type WaitScorer struct{}

// halfScoreWait is the wait at which the score is one half.
const halfScoreWait = 250 * time.Millisecond

// Name implements Scorer.
func (WaitScorer) Name() string { return "wait" }

// Score implements Scorer.
func (WaitScorer) Score(q *Query, c Candidate) float64 {
	unread := q.PromptTokens - cachedTokens(q, c)
	wait := c.Server.PrefillTime(unread)
	return float64(halfScoreWait) / float64(halfScoreWait+wait)
}
