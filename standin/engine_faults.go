package standin

import (
	"sync/atomic"
	"time"
)

// Faults are switches that make one engine misbehave.
type Faults struct {
	// Down makes the engine unreachable.
	Down atomic.Bool
	// Leaving makes it report that it is about to stop.
	Leaving atomic.Bool
	// LoseCancelReplies makes that many cancels take effect with no answer.
	LoseCancelReplies atomic.Int64
	// StallImports makes that many transfers hang.
	StallImports atomic.Int64
	// BreakStreams makes that many streams end early.
	BreakStreams atomic.Int64
	// RepeatTokens makes that many tokens arrive twice.
	RepeatTokens atomic.Int64
	// ForeignTokens makes that many tokens arrive under another request's id
	// before the right one.
	ForeignTokens atomic.Int64
	// Slow stretches every step, in percent; 0 and 100 change nothing.
	Slow atomic.Int64
}

// take uses up one of a counted fault.
func take(count *atomic.Int64) bool {
	for {
		left := count.Load()
		if left <= 0 {
			return false
		}
		if count.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// Crash loses everything in memory and breaks every stream, as a restart of
// the engine would.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, j := range e.results {
		e.wasteLocked(wasteLost, j)
		delete(e.results, key)
		j.cancel()
	}
	for key, j := range e.held {
		e.dropHeldLocked(key, j, wasteLost)
	}
	e.cached = make(map[uint64]bool)
}

func (e *Engine) stretch(d time.Duration) time.Duration {
	if slow := e.Faults.Slow.Load(); slow > 0 {
		return d * time.Duration(slow) / 100
	}
	return d
}
