package slots

import (
	"slices"
	"time"
)

// Waiter is a call that waits in an instance's queue.
type Waiter struct {
	call  Call
	since time.Time
	// returned is set if the call is a repetition.
	returned bool
	// displaced is set if the queue was full and a more urgent call took the place of this one.
	displaced bool
}

// queue holds the waiting calls of an instance, the more urgent first.
type queue struct {
	waiting []*Waiter
	bytes   int
}

// push adds a call.
func (q *queue) push(w *Waiter) {
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(other, w *Waiter) int {
		if w.before(other) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, i, w)
	q.bytes += w.call.Bytes
}

// exceeds reports whether the queue is longer or larger than allowed.
func (q *queue) exceeds(calls, bytes int) bool { return len(q.waiting) > calls || q.bytes > bytes }

// before reports whether a call is more urgent than another: by priority, then by deadline.
func (w *Waiter) before(other *Waiter) bool {
	if w.call.Priority != other.call.Priority {
		return w.call.Priority < other.call.Priority
	}
	return w.call.Deadline.Before(other.call.Deadline)
}

// remove removes a call, if it still waits.
func (q *queue) remove(w *Waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.bytes -= w.call.Bytes
	}
}

// ahead returns the number of calls of a kind that are more urgent than a waiting one.
func (q *queue) ahead(w *Waiter, kind func(*Waiter) bool) int {
	ahead := 0
	for _, other := range q.waiting {
		if other == w {
			break
		}
		if kind(other) {
			ahead++
		}
	}
	return ahead
}

// first returns the most urgent call. Calls that can end in time come before late ones.
func (q *queue) first(late func(*Waiter) bool) *Waiter {
	var first *Waiter
	for _, w := range q.waiting {
		if !late(w) {
			return w
		}
		if first == nil {
			first = w
		}
	}
	return first
}

// last returns the least urgent call: a late one if there is any.
func (q *queue) last(late func(*Waiter) bool) *Waiter {
	for _, w := range slices.Backward(q.waiting) {
		if late(w) {
			return w
		}
	}
	return q.waiting[len(q.waiting)-1]
}
