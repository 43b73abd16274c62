package route

import "testing"

func TestTeamFactorGrowsWithUsedAllotment(t *testing.T) {
	for _, c := range []struct{ used, weight, want float64 }{
		{0, 1, 1}, {0.5, 1, 1.5}, {1, 1, 2}, {1, 0.5, 1.5},
		{1, 0, 1},             // switched off
		{-3, 1, 1}, {7, 1, 2}, // a debt, and more than the whole allotment
	} {
		if got := TeamFactor(c.used, c.weight); got != c.want {
			t.Errorf("used %v, weight %v: %v, not %v", c.used, c.weight, got, c.want)
		}
	}
}
