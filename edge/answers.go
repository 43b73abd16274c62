package edge

import (
	"sync"
	"time"
)

// storeContact records when the store (the platform's log of the table and of the list of
// servers) last answered requests for one kind of data, whichever instance sent the request.
type storeContact struct {
	mu sync.Mutex
	// last is the time of the latest answer, as far as known. It is zero before the first. An answer that
	// waited on its way, or in this instance, is older.
	last time.Time
	// certainAt is a time up to which the store certainly answered an instance: the latest time at which a
	// request was sent that the store answered.
	certainAt time.Time
	// confirmedAt is a time at which this instance's data certainly was all that the store had.
	confirmedAt time.Time
}

// unavailableAfter is how long all instances must be without an answer for the store to count as
// unavailable. The instances together send a request every FreshFor. Entries expire 2.4 s after
// they can no longer be renewed: after three heartbeats of 1,200 ms in the reference workload,
// the first of which may just have been due.
const unavailableAfter = 2 * time.Second

// storeAnswer is an answer of the store to any instance.
type storeAnswer struct {
	// at is the time of the answer, as far as known. It is zero if that does not matter.
	at time.Time
	// requested is a time at or before which the answered request was sent. The answer has all that the
	// store had then. It is zero if unknown.
	requested time.Time
}

// answerAt returns an answer by its ages in a message. sentAt is a time at or before which the message was
// not sent, zero if unknown.
func answerAt(age, requestAge time.Duration, sentAt, now time.Time) storeAnswer {
	answer := storeAnswer{at: now.Add(-age)}
	if !sentAt.IsZero() {
		answer.requested = sentAt.Add(-requestAge)
	}
	return answer
}

// observe records an answer. complete is set if this instance's data includes everything that
// the answer covers. It returns whether the store had been unavailable before.
func (a *storeContact) observe(answer storeAnswer, complete bool) (recovered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.requested.After(a.certainAt) {
		a.certainAt = answer.requested
	}
	if complete && answer.requested.After(a.confirmedAt) {
		a.confirmedAt = answer.requested
	}
	if !answer.at.After(a.last) {
		return false
	}
	recovered = !a.last.IsZero() && answer.at.Sub(a.last) >= unavailableAfter
	a.last = answer.at
	return recovered
}

// latest returns the time of the latest answer. It is zero before the first.
func (a *storeContact) latest() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// certain returns the latest time up to which the store certainly answered an instance. It is zero if
// there is none.
func (a *storeContact) certain() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.certainAt
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
	age := max(now.Sub(confirmed), 0)
	return &age
}
