package route

import "github.com/cespare/xxhash/v2"

// scoreTie is the difference up to which two totals count as equal. Smaller
// differences are noise in lagging reports, and following them would make all
// instances select the same server.
const scoreTie = 0.02

// BestPicker selects the candidate with the highest total. Among ties it selects by a
// hash of the request id, so that instances do not all select the same server.
type BestPicker struct{}

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(q *Query, rated []ScoredCandidate) int {
	best := rated[0].Total
	for _, r := range rated[1:] {
		best = max(best, r.Total)
	}
	selected, weight := 0, uint64(0)
	for i, r := range rated {
		if r.Total < best-scoreTie {
			continue
		}
		if w := pairHash(q.RequestID, r.Name); w >= weight {
			selected, weight = i, w
		}
	}
	return selected
}

// pairHash hashes two names into one number.
func pairHash(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(a)
	digest.WriteString("\x00")
	digest.WriteString(b)
	return digest.Sum64()
}
