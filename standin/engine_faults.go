package standin

import (
	"sync/atomic"
	"time"
)

// Faults are the switches that inject faults into one engine.
type Faults struct {
	// Down makes the engine unreachable.
	Down atomic.Bool
	// Draining makes the engine report a drain.
	Draining atomic.Bool
	// LoseCancelReplies is how many of the next cancels take effect without an
	// answer.
	LoseCancelReplies atomic.Int64
	// StallImports is how many of the next KV transfers hang.
	StallImports atomic.Int64
	// BreakStreams is how many of the next streams end early.
	BreakStreams atomic.Int64
	// RepeatTokens is how many of the next tokens are sent twice.
	RepeatTokens atomic.Int64
	// ForeignTokens is how many of the next tokens are preceded by a token with
	// another request's id.
	ForeignTokens atomic.Int64
	// Slow is the duration of every step, in percent of the normal one. 0 and
	// 100 change nothing.
	Slow atomic.Int64
}

// consume decrements the remaining count of a fault. It returns false if the
// count was 0.
func consume(count *atomic.Int64) bool {
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

// Crash discards everything in memory and breaks every stream, like a restart of
// the engine.
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
