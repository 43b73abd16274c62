package forward

import (
	"testing"

	"github.com/mastwheel/mastwheel/forecast"
)

// Guards against requests of routes beyond priority 9 that count as more urgent than others of the same priority, or than more
// urgent ones: all priorities from 9 on shared an entry.
func TestWaitingMemoryIsCountedForAnyPriority(t *testing.T) {
	var waiting waitingMemory
	if got := waiting.before(1_000_000); got != (forecast.Group{}) {
		t.Errorf("%+v before any request", got)
	}
	var ends []func()
	for i, priority := range []int{0, 9, 10, 10, 250, 1_000_000} {
		ends = append(ends, waiting.add(priority, 100<<i))
	}
	for priority, want := range map[int]forecast.Group{
		0: {}, 1: {Count: 1, Memory: 100}, 9: {Count: 1, Memory: 100}, 10: {Count: 2, Memory: 300}, 11: {Count: 4, Memory: 1500},
		250: {Count: 4, Memory: 1500}, 1_000_000: {Count: 5, Memory: 3100}, 1_000_001: {Count: 6, Memory: 6300},
	} {
		if got := waiting.before(priority); got != want {
			t.Errorf("before priority %d: %+v, want %+v", priority, got, want)
		}
	}
	for _, end := range ends {
		end()
	}
	if left := len(*waiting.byPriority.Load()); left != 0 {
		t.Errorf("%d entries without waiting requests are kept", left)
	}
}
