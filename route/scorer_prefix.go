package route

// PrefixBlockTokens is the length of a prompt block. Each prefix hash covers one
// block more than the hash before it.
const PrefixBlockTokens = 256

// PrefixScorer prefers engines that have cached a longer part of the prompt.
type PrefixScorer struct{}

// Name implements Scorer.
func (PrefixScorer) Name() string { return "prefix" }

// Score implements Scorer.
func (PrefixScorer) Score(q *Query, c Candidate) float64 {
	if q.PromptTokens == 0 {
		return 0
	}
	return float64(cachedTokens(q, c)) / float64(q.PromptTokens)
}

// Unread returns how many tokens of the prompt the engine would have to read.
func (q *Query) Unread(c Candidate) int { return q.PromptTokens - cachedTokens(q, c) }

// cachedTokens returns how many tokens of the prompt the engine has cached, according
// to the cache events received so far.
func cachedTokens(q *Query, c Candidate) int {
	for i := len(q.Prefixes) - 1; i >= 0; i-- {
		if c.Server.Prefixes.Contains(q.Prefixes[i]) {
			return min((i+1)*PrefixBlockTokens, q.PromptTokens)
		}
	}
	return 0
}
