package route

import (
	"fmt"
	"testing"
)

func TestTwoChoicesSelectsBetterOfTwo(t *testing.T) {
	for _, n := range []int{1, 2, 3, 20} {
		rated := make([]ScoredCandidate, n)
		for i := range rated {
			rated[i] = ScoredCandidate{Name: fmt.Sprint(i), Total: float64(i)}
		}
		selected := make(map[int]int)
		for i := range 2000 {
			selected[TwoChoicesPicker{}.Pick(&Query{RequestID: fmt.Sprint(i)}, rated)]++
		}
		if n > 1 && selected[0] > 0 {
			t.Errorf("of %d, the worst was selected %d times", n, selected[0])
		}
		for i := 1; i < n; i++ {
			// The better of two is i in 2i of n(n-1) ordered pairs.
			if want := 2000 * 2 * i / (n * (n - 1)); selected[i] < want/2 || selected[i] > 2*want+20 {
				t.Errorf("of %d, number %d was selected %d times, want about %d", n, i, selected[i], want)
			}
		}
	}
}
