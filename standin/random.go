package standin

import (
	"math/rand/v2"
	"sync"
)

// LockedRandom makes a seeded source safe for concurrent use. It returns
// numbers in [0,1).
func LockedRandom(random *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}
