package route

import "github.com/cespare/xxhash/v2"

// scoreTie is how close two totals count as equal: finer differences are
// noise in lagged reports, and following them would herd the instances.
const scoreTie = 0.02

// BestPicker takes the highest total. Among those that tie it chooses by a
// hash of the request id, so that instances do not all choose the same.
type BestPicker struct{}

// Name implements Picker.
func (BestPicker) Name() string { return "best" }

// Pick implements Picker.
func (BestPicker) Pick(q *Query, rated []Rated) int {
	best := rated[0].Total
	for _, r := range rated[1:] {
		best = max(best, r.Total)
	}
	chosen, weight := 0, uint64(0)
	for i, r := range rated {
		if r.Total < best-scoreTie {
			continue
		}
		if w := pairHash(q.RequestID, r.Name); w >= weight {
			chosen, weight = i, w
		}
	}
	return chosen
}

// pairHash mixes two names into one number.
func pairHash(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(a)
	digest.WriteString("\x00")
	digest.WriteString(b)
	return digest.Sum64()
}
