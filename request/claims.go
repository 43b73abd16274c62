package request

import (
	"sync"

	"github.com/mastwheel/mastwheel/route"
)

// claims holds the attempts that requests of this instance work on. A steward
// that finds anything else at an engine may cancel it: an attempt is claimed
// before its first order is sent, and once dropped it never comes back.
type claims struct {
	mu sync.Mutex
	// current is the attempt in hand, by request id.
	current map[string]int
}

// hold claims an attempt and gives up the one before it.
func (c *claims) hold(key route.HoldKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.current = make(map[string]int)
	}
	c.current[key.RequestID] = key.Attempt
}

// drop gives up whatever attempt of the request is in hand.
func (c *claims) drop(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.current, requestID)
}

// Claims says whether a request of this instance works on an attempt.
func (r *Runner) Claims(key route.HoldKey) bool {
	r.claims.mu.Lock()
	defer r.claims.mu.Unlock()
	attempt, alive := r.claims.current[key.RequestID]
	return alive && attempt == key.Attempt
}
