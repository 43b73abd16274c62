package forward

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/mastwheel/mastwheel/forecast"
)

// waitingMemory is the memory that requests of this instance wait for, by the priority of their routes. Operators choose
// priorities freely, so there are entries only for those with waiting requests.
type waitingMemory struct {
	// mu serializes changes. Readers load the immutable map without it.
	mu         sync.Mutex
	byPriority atomic.Pointer[map[int]forecast.Group]
}

// add counts a waiting request with a prompt of that many tokens, and returns a function that ends the count.
func (w *waitingMemory) add(priority, tokens int) (end func()) {
	w.change(priority, forecast.Group{Count: 1, Memory: float64(tokens)})
	return func() { w.change(priority, forecast.Group{Count: -1, Memory: -float64(tokens)}) }
}

func (w *waitingMemory) change(priority int, by forecast.Group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[int]forecast.Group)
	if before := w.byPriority.Load(); before != nil {
		next = maps.Clone(*before)
	}
	sum := next[priority]
	sum.Count += by.Count
	sum.Memory += by.Memory
	next[priority] = sum
	if sum.Count == 0 {
		delete(next, priority)
	}
	w.byPriority.Store(&next)
}

// before returns the number of waiting requests that are more urgent than a priority, and the memory that they hold when
// they start.
func (w *waitingMemory) before(priority int) (sum forecast.Group) {
	waiting := w.byPriority.Load()
	if waiting == nil {
		return sum
	}
	for other, group := range *waiting {
		if other < priority {
			sum.Count += group.Count
			sum.Memory += group.Memory
		}
	}
	return sum
}
