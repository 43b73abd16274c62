package request

import (
	"sync"

	"github.com/mastwheel/mastwheel/route"
)

// claims holds the attempt (one try of a request) that this instance currently
// works on for each of its requests. A claim is the statement of a home (the
// instance that the caller is connected to) that it still works on an attempt.
// A steward (the instance that grants reservations at an engine) may cancel any
// other attempt that it finds at an engine. An attempt is therefore claimed
// before its first order is sent, and it is never claimed again once its claim
// was removed.
type claims struct {
	mu sync.Mutex
	// current is the number of the current attempt, by request ID.
	current map[string]int
}

// set claims an attempt in place of the previous attempt of its request.
func (c *claims) set(key route.ReservationKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.current = make(map[string]int)
	}
	c.current[key.RequestID] = key.Attempt
}

// remove removes the claim of the current attempt of a request.
func (c *claims) remove(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, requestID)
}

// IsClaimed reports whether a request of this instance works on an attempt.
func (r *Runner) IsClaimed(key route.ReservationKey) bool {
	r.claims.mu.Lock()
	defer r.claims.mu.Unlock()
	attempt, claimed := r.claims.current[key.RequestID]
	return claimed && attempt == key.Attempt
}
