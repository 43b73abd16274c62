// Package wait provides sleeps that a context can interrupt.
package wait

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/clock"
)

// For sleeps for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until sleeps until at, a time of package clock. It returns false if ctx ended
// first.
func Until(ctx context.Context, at time.Time) bool { return For(ctx, clock.Until(at)) }
