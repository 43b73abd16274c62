package operation

import "time"

// highest keeps a clock from running backwards. A goroutine may read the
// uptime and be paused before it takes the lock; by then records may have been
// dropped by a later reading, and the older one must not bring their ids back
// to life.
type highest time.Duration

// reach returns the latest reading seen so far, this one included.
func (h *highest) reach(uptime time.Duration) time.Duration {
	*h = max(*h, highest(uptime))
	return time.Duration(*h)
}
