package member

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/operation"
)

// Two who look at the same time both see what was heard before: while one made the
// picture anew, the other was given the one before.
func TestEveryLookShowsWhatWasHeardBefore(t *testing.T) {
	for range 200 {
		m := New(operation.Member{Name: "self", Incarnation: 1}, DefaultRegion())
		now := time.Now()
		for i := range 100 {
			m.Heard(Info{Name: fmt.Sprint(i), Incarnation: 1, Peer: "p"}, now)
		}
		var looks sync.WaitGroup
		for range 4 {
			looks.Go(func() {
				if known := len(m.View().Siblings); known != 100 {
					t.Errorf("%d of 100 are shown", known)
				}
			})
		}
		looks.Wait()
		if t.Failed() {
			return
		}
	}
}
