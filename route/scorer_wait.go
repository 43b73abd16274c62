package route

import "time"

// WaitScorer prefers the prefill engine that will have read the prompt first.
type WaitScorer struct{}

// waitHalf is the wait at which the score is one half.
const waitHalf = 250 * time.Millisecond

// Name implements Scorer.
func (WaitScorer) Name() string { return "wait" }

// Score implements Scorer.
func (WaitScorer) Score(q *Query, c Candidate) float64 {
	unread := q.PromptTokens - cachedTokens(q, c)
	wait := c.Server.PrefillTime(unread)
	return float64(waitHalf) / float64(waitHalf+wait)
}
