// Package clock provides a clock that includes the time for which the machine was
// suspended. During a suspension Go's monotonic clock and all timers stop while the rest
// of the system continues. After a suspension of five seconds an expired lease looked
// valid, an outdated list of servers looked fresh, and a caller that had given up seemed
// to be waiting. Ages, leases, deadlines and times of silence must be computed with this
// package only. A plain timer may be used for a delay without such a meaning.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest suspension that is counted. Shorter differences can
	// result from reading the two system clocks one after the other.
	minSuspension = 20 * time.Millisecond
	// maxReadingAge is the time for which a reading of the system clocks is reused. A
	// reading takes two system calls, and a request needs the time some thirty times.
	maxReadingAge = 2 * time.Millisecond
)

var (
	// epoch is the zero of a monotonic clock in nanoseconds that fits into an atomic.
	epoch = time.Now()
	// initialOffset is the difference of the two system clocks at the start of the process.
	initialOffset = suspensionOffset()
	// suspended is the total time for which the process was suspended, in nanoseconds,
	// according to the last reading of the system clocks. readAt is the time of that
	// reading, in nanoseconds since epoch.
	suspended, readAt atomic.Int64
	// simulated is the total time added by Suspend, in nanoseconds.
	simulated atomic.Int64
)

// suspensionOffset returns how far CLOCK_BOOTTIME, which includes suspension, is ahead of
// CLOCK_MONOTONIC, which doesn't (see clock_gettime(2)). It returns 0 if a clock is
// not available, so that no suspension is counted.
func suspensionOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Now returns the current time. Its difference to other times of this package includes
// suspension and is not affected by changes of the wall clock.
func Now() time.Time {
	now := time.Now()
	return now.Add(suspendedAt(now))
}

// Since returns the time elapsed since at, which must be a time of this package.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until at, which must be a time of this package.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Suspended returns the total time for which the process was suspended since its start.
func Suspended() time.Duration { return suspendedAt(time.Now()) }

// suspendedAt returns the total suspension at now, a reading of Go's clock.
func suspendedAt(now time.Time) time.Duration {
	elapsed := int64(now.Sub(epoch))
	if since := elapsed - readAt.Load(); since < 0 || since >= int64(maxReadingAge) {
		updateSuspended()
		readAt.Store(elapsed)
	}
	return time.Duration(suspended.Load() + simulated.Load())
}

// updateSuspended updates suspended from the system clocks. It ignores increases of less than
// minSuspension.
func updateSuspended() {
	read := int64(suspensionOffset() - initialOffset)
	for before := suspended.Load(); read-before >= int64(minSuspension); before = suspended.Load() {
		if suspended.CompareAndSwap(before, read) {
			return
		}
	}
}

// Suspend advances the clock as a suspension would do. It is for tests and trials.
func Suspend(duration time.Duration) { simulated.Add(int64(duration)) }

// deadlines holds the deadlines of the contexts of WithDeadline that have not ended,
// with their cancel functions.
var deadlines = struct {
	sync.Mutex
	cancel map[*deadline]context.CancelFunc
}{cancel: make(map[*deadline]context.CancelFunc)}

// deadline is the deadline of one context. Its address identifies the context.
type deadline struct{ at time.Time }

// WithDeadline is like context.WithDeadline, for a time of this package. Its timer stops
// during a suspension and would end the context too late. Check ends it in time.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, Until(at))
	entry := &deadline{at: at}
	deadlines.Lock()
	defer deadlines.Unlock()
	deadlines.cancel[entry] = cancel
	return ctx, func() {
		cancel()
		deadlines.Lock()
		defer deadlines.Unlock()
		delete(deadlines.cancel, entry)
	}
}

// Check ends the contexts whose deadline passed during a suspension. It must be called
// several times a second.
func Check() {
	now := Now()
	deadlines.Lock()
	var passed []context.CancelFunc
	for entry, cancel := range deadlines.cancel {
		if !now.Before(entry.at) {
			passed = append(passed, cancel)
			delete(deadlines.cancel, entry)
		}
	}
	deadlines.Unlock()
	for _, cancel := range passed {
		cancel()
	}
}
