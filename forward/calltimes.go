package forward

import (
	"sync"
	"time"
)

// callTimesWindow is the time in which the longest call counts, at least. It counts for twice as long at most.
const callTimesWindow = 30 * time.Second

// callTimes holds how long the plain calls of a service take from this instance.
type callTimes struct {
	mu sync.Mutex
	// running holds when the calls began that have not ended.
	running map[*time.Time]struct{}
	// longest is the duration of the longest call that has ended since a time, and before that of the window before.
	longest, before time.Duration
	since           time.Time
}

// began records that a call begins. ended must be called at its end.
func (c *callTimes) began(now time.Time) (ended func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[*time.Time]struct{})
	}
	began := &now
	c.running[began] = struct{}{}
	return func(now time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, began)
		c.turn(now)
		c.longest = max(c.longest, now.Sub(*began))
	}
}

// turn begins a new window if the last one is over.
func (c *callTimes) turn(now time.Time) {
	age := now.Sub(c.since)
	if age < callTimesWindow {
		return
	}
	c.before = c.longest
	if age >= 2*callTimesWindow {
		c.before = 0
	}
	c.longest, c.since = 0, now
}

// atMost returns the duration of the longest of the last calls. It is not known if there are none, or if a call that has not
// ended takes longer already: the servers may have become slower.
func (c *callTimes) atMost(now time.Time) (longest time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn(now)
	longest = max(c.longest, c.before)
	for began := range c.running {
		if now.Sub(*began) > longest {
			return 0, false
		}
	}
	return longest, longest > 0
}
