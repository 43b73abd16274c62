package forward

import (
	"sync"
	"time"
)

const (
	// callTimesWindow is the time in which a call counts after its end, at least. It counts for twice as long at most.
	callTimesWindow = 30 * time.Second
	// callTimesStep is the resolution of the counts of calls by their times, and callTimesSteps the number of these counts. The
	// last one is that of all longer calls.
	callTimesStep  = 100 * time.Millisecond
	callTimesSteps = 600
)

// callTimes holds how long the plain calls of a service take from this instance.
type callTimes struct {
	mu sync.Mutex
	// running holds when the calls began that have not ended.
	running map[*time.Time]struct{}
	// current holds the calls that have ended since a time, and before those of the window before.
	current, before callWindow
	since           time.Time
}

// callWindow holds the times of the calls that ended in a window.
type callWindow struct {
	longest time.Duration
	// counts are the numbers of calls by their times, in steps of callTimesStep.
	counts [callTimesSteps]uint32
}

// add adds a call.
func (w *callWindow) add(took time.Duration) {
	w.longest = max(w.longest, took)
	w.counts[callTimesStepOf(took)]++
}

// callTimesStepOf returns the position of the count of calls that take a time.
func callTimesStepOf(took time.Duration) int {
	return int(min(max(took, 0)/callTimesStep, callTimesSteps-1))
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
		c.current.add(now.Sub(*began))
	}
}

// turn begins a new window if the last one is over.
func (c *callTimes) turn(now time.Time) {
	age := now.Sub(c.since)
	if age < callTimesWindow {
		return
	}
	c.before = c.current
	if age >= 2*callTimesWindow {
		c.before = callWindow{}
	}
	c.current, c.since = callWindow{}, now
}

// atMost returns the duration of the longest of the last calls. It is not known if there are none, or if a call that has not
// ended takes longer already: the servers may have become slower.
func (c *callTimes) atMost(now time.Time) (longest time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn(now)
	longest = max(c.current.longest, c.before.longest)
	for began := range c.running {
		if now.Sub(*began) > longest {
			return 0, false
		}
	}
	return longest, longest > 0
}

// partLongerThan returns the part of the last calls that took longer than a limit, from 0 to 1. A call that has not ended counts
// once it takes longer. It is 0 if there are none.
func (c *callTimes) partLongerThan(limit time.Duration, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn(now)
	var longer, all uint32
	for i := range callTimesSteps {
		ended := c.current.counts[i] + c.before.counts[i]
		all += ended
		if i > callTimesStepOf(limit) {
			longer += ended
		}
	}
	for began := range c.running {
		if now.Sub(*began) > limit {
			longer++
			all++
		}
	}
	return float64(longer) / float64(max(all, 1))
}
