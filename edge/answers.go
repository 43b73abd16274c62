package edge

import (
	"sync"
	"time"
)

// answers is what this instance knows of when the store answered about one
// thing, whichever instance it was that asked.
type answers struct {
	mu sync.Mutex
	// last is the latest answer; zero before the first.
	last time.Time
	// current is when what this instance believes was last known to be all that
	// the store had.
	current time.Time
}

// awayAfter is how long nobody must have had an answer for the store to count as
// away: the instances together ask every FreshFor, and entries lapse 2.4 s after
// they can no longer be renewed (source: the users' sheets, three heartbeats of
// 1,200 ms, the first of which may just have been due).
const awayAfter = 2 * time.Second

// heard notes an answer, and whether this instance believes all that it said.
// It returns whether the store had been away before.
func (a *answers) heard(at time.Time, all bool) (returned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if all && at.After(a.current) {
		a.current = at
	}
	if !at.After(a.last) {
		return false
	}
	returned = !a.last.IsZero() && at.Sub(a.last) >= awayAfter
	a.last = at
	return returned
}

// latest returns the latest answer; zero before the first.
func (a *answers) latest() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// confirmed returns when the belief was last known to be current; zero if it
// never was.
func (a *answers) confirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// age is how long ago the belief was last known to be current, for siblings; nil
// if it never was. Others can rely on no later answer: one that this instance heard
// of, but whose updates it does not have yet, would make an older list look current.
func (a *answers) age(now time.Time) *time.Duration {
	confirmed := a.confirmed()
	if confirmed.IsZero() {
		return nil
	}
	age := now.Sub(confirmed)
	return &age
}
