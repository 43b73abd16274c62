package member

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/operation"
)

// Concurrent readers of a stale view must all see every earlier heartbeat. A reader
// used to get the previous view while another one was rebuilding it.
func TestConcurrentViewsShowEarlierHeartbeats(t *testing.T) {
	for range 200 {
		m := New(operation.Member{Name: "self", Incarnation: 1}, DefaultRegion())
		now := time.Now()
		for i := range 100 {
			m.ApplyHeartbeat(Info{Name: fmt.Sprint(i), Incarnation: 1, Peer: "p"}, now)
		}
		var readers sync.WaitGroup
		for range 4 {
			readers.Go(func() {
				if known := len(m.View().Siblings); known != 100 {
					t.Errorf("the view has %d of 100 siblings", known)
				}
			})
		}
		readers.Wait()
		if t.Failed() {
			return
		}
	}
}
