package operation

import "time"

// monotonicClock holds the highest uptime seen so far. A goroutine may read the
// uptime and be paused before it acquires the lock. Meanwhile another goroutine
// may have dropped expired records by a later uptime. With the older uptime, the
// ids of these records would count as valid again.
type monotonicClock time.Duration

// advance records an uptime and returns the highest one seen so far.
func (h *monotonicClock) advance(uptime time.Duration) time.Duration {
	*h = max(*h, monotonicClock(uptime))
	return time.Duration(*h)
}
