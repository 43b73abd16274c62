package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/wait"
)

const (
	// lapseInterval is the pause between two checks for lapses.
	lapseInterval = 50 * time.Millisecond
	// minLapse is the shortest lapse that counts. The reserves of a graceful shutdown cover shorter ones.
	minLapse = 150 * time.Millisecond
)

// lapses tracks the times in which the process got no processor time, or was suspended. A signal that was sent in a lapse is
// seen at its end.
type lapses struct {
	mu sync.Mutex
	// ranAt is when the process ran last. The last lapse had a length and an end.
	ranAt, end time.Time
	length     time.Duration
}

// watch tracks lapses until ctx is done.
func (l *lapses) watch(ctx context.Context) {
	for l.ran(clock.Now()); wait.For(ctx, lapseInterval); {
		l.ran(clock.Now())
	}
}

// ran records that the process runs at a time.
func (l *lapses) ran(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since := now.Sub(l.ranAt); !l.ranAt.IsZero() && since >= minLapse {
		l.length, l.end = since, now
	}
	l.ranAt = now
}

// recent returns the length of a lapse that has just ended; 0 if there was none.
func (l *lapses) recent(now time.Time) time.Duration {
	l.ran(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.end) >= minLapse {
		return 0
	}
	return l.length
}
