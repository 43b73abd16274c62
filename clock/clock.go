// Package clock tells the time with suspension counted. While the machine of an instance
// is suspended, Go's clock and all timers stand still, and the rest of the system goes
// on: after five seconds of it a lease still seemed to hold, a list of servers to be
// fresh and a caller to be waiting. Ages, leases, deadlines and silences are taken from
// here, and from nowhere else; what is only a pause may be a timer.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resolution is the least suspension that counts: the two clocks of the system are
	// read one after the other.
	resolution = 20 * time.Millisecond
	// rereadAfter is how long a reading of the system's clocks holds. Each takes two
	// calls of the system, and a request some thirty readings.
	rereadAfter = 2 * time.Millisecond
)

var (
	// epoch anchors a monotonic clock that fits into an atomic.
	epoch = time.Now()
	// atStart is what the two clocks of the system were apart when the process started.
	atStart = apart()
	// suspended is for how long the process has been suspended, in nanoseconds, as read
	// at readAt on the clock of epoch.
	suspended, readAt atomic.Int64
	// simulated is added by Suspend.
	simulated atomic.Int64
)

// apart is by how much the clock that counts suspension is ahead of the one that does
// not (clock_gettime(2)). A system without the former counts none.
func apart() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Now returns the time. Its difference to other times of this package counts suspension,
// and a step of the time of day does not change it.
func Now() time.Time {
	now := time.Now()
	return now.Add(lost(now))
}

// Since returns the time since a time of this package.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Until returns the time until a time of this package.
func Until(at time.Time) time.Duration { return at.Sub(Now()) }

// Suspended returns for how long the process has been suspended since it started.
func Suspended() time.Duration { return lost(time.Now()) }

// lost is Suspended at a reading of Go's clock.
func lost(now time.Time) time.Duration {
	elapsed := int64(now.Sub(epoch))
	if since := elapsed - readAt.Load(); since < 0 || since >= int64(rereadAfter) {
		reread()
		readAt.Store(elapsed)
	}
	return time.Duration(suspended.Load() + simulated.Load())
}

func reread() {
	read := int64(apart() - atStart)
	for before := suspended.Load(); read-before >= int64(resolution); before = suspended.Load() {
		if suspended.CompareAndSwap(before, read) {
			return
		}
	}
}

// Suspend has the clock go on as after a suspension of that length, for tests and trials.
func Suspend(lasts time.Duration) { simulated.Add(int64(lasts)) }

// deadlines are those of contexts that have not ended.
var deadlines = struct {
	sync.Mutex
	cancel map[*deadline]context.CancelFunc
}{cancel: make(map[*deadline]context.CancelFunc)}

// deadline is that of one context.
type deadline struct{ at time.Time }

// WithDeadline is as that of package context, for a time of this package. A timer alone
// would end it later by what it was suspended for; Check does not.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, Until(at))
	one := &deadline{at: at}
	deadlines.Lock()
	defer deadlines.Unlock()
	deadlines.cancel[one] = cancel
	return ctx, func() {
		cancel()
		deadlines.Lock()
		defer deadlines.Unlock()
		delete(deadlines.cancel, one)
	}
}

// Check ends the contexts whose deadline has passed during a suspension. It is to be
// called several times a second.
func Check() {
	now := Now()
	deadlines.Lock()
	var passed []context.CancelFunc
	for one, cancel := range deadlines.cancel {
		if !now.Before(one.at) {
			passed = append(passed, cancel)
			delete(deadlines.cancel, one)
		}
	}
	deadlines.Unlock()
	for _, cancel := range passed {
		cancel()
	}
}
