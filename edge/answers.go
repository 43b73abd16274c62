package edge

import (
	"sync"
	"time"
)

// storeContact records when the store (the platform's log of the table and of the list of
// servers) last answered requests for one kind of data, whichever instance sent the request.
type storeContact struct {
	mu sync.Mutex
	// last is the time of the latest answer. It is zero before the first.
	last time.Time
	// confirmedAt is when this instance's data was last known to be all that the store had.
	confirmedAt time.Time
}

// unavailableAfter is how long all instances must be without an answer for the store to count as
// unavailable. The instances together send a request every FreshFor. Entries expire 2.4 s after
// they can no longer be renewed: after three heartbeats of 1,200 ms in the reference workload,
// the first of which may just have been due.
const unavailableAfter = 2 * time.Second

// observe records an answer. complete is set if this instance's data includes everything that
// the answer covers. It returns whether the store had been unavailable before.
func (a *storeContact) observe(at time.Time, complete bool) (recovered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if complete && at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
	if !at.After(a.last) {
		return false
	}
	recovered = !a.last.IsZero() && at.Sub(a.last) >= unavailableAfter
	a.last = at
	return recovered
}

// latest returns the time of the latest answer. It is zero before the first.
func (a *storeContact) latest() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// confirmed returns when the data was last known to be current. It is zero if it never was.
func (a *storeContact) confirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmedAt
}

// age returns how long ago the data was last known to be current, as reported to siblings. It
// is nil if it never was. Siblings can't rely on a later answer: an answer that this instance
// knows of, but whose updates it does not have yet, would make an older list look current.
func (a *storeContact) age(now time.Time) *time.Duration {
	confirmed := a.confirmed()
	if confirmed.IsZero() {
		return nil
	}
	age := now.Sub(confirmed)
	return &age
}
