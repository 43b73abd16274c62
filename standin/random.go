package standin

import (
	"math/rand/v2"
	"sync"
)

// LockedRandom returns a function that draws numbers in [0,1) from a seeded
// source. The function is safe for concurrent use.
func LockedRandom(random *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}
