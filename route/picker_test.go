package route

import (
	"fmt"
	"testing"
)

func TestTwoChoicesAreTwo(t *testing.T) {
	for _, n := range []int{1, 2, 3, 20} {
		rated := make([]Rated, n)
		for i := range rated {
			rated[i] = Rated{Name: fmt.Sprint(i), Total: float64(i)}
		}
		picked := make(map[int]int)
		for i := range 2000 {
			picked[TwoChoicesPicker{}.Pick(&Query{RequestID: fmt.Sprint(i)}, rated)]++
		}
		if n > 1 && picked[0] > 0 {
			t.Errorf("of %d, the worst was picked %d times", n, picked[0])
		}
		for i := 1; i < n; i++ {
			// The better of two is i in 2i of n(n-1) ordered pairs.
			if want := 2000 * 2 * i / (n * (n - 1)); picked[i] < want/2 || picked[i] > 2*want+20 {
				t.Errorf("of %d, number %d was picked %d times, want about %d", n, i, picked[i], want)
			}
		}
	}
}
