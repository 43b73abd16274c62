package route

import (
	"sync/atomic"
	"time"
)

// A server that was cut off or has lost its power answers nothing and refuses
// nothing. What shows it is that requests wait there and nobody is answered.

// silence tracks since when a server with waiting requests has said nothing.
type silence struct {
	waiting atomic.Int64
	// since is in nanoseconds on the clock of epoch; meaningless when nothing
	// waits.
	since atomic.Int64
}

// epoch anchors a monotonic clock that fits into an atomic.
var epoch = time.Now()

// Await notes that an answer is awaited from now on; the returned function
// notes that it no longer is.
func (s *Server) Await(now time.Time) (end func()) {
	if s.silence.waiting.Add(1) == 1 {
		s.silence.since.Store(int64(now.Sub(epoch)))
	}
	return func() { s.silence.waiting.Add(-1) }
}

// Heard notes a sign of life.
func (s *Server) Heard(now time.Time) { s.silence.since.Store(int64(now.Sub(epoch))) }

// SilentFor returns for how long the server has left everybody waiting; 0 when
// nobody waits.
func (s *Server) SilentFor(now time.Time) time.Duration {
	if s.silence.waiting.Load() == 0 {
		return 0
	}
	return now.Sub(epoch) - time.Duration(s.silence.since.Load())
}

// SilentFilter drops servers that have left everybody waiting for long.
type SilentFilter struct {
	// Limit is the silence that is still ordinary: longer than the usual
	// answer of a busy server.
	Limit time.Duration
}

// Name implements Filter.
func (SilentFilter) Name() string { return "silent" }

// Keep implements Filter.
func (f SilentFilter) Keep(q *Query, c Candidate) bool { return c.Server.SilentFor(q.Now) <= f.Limit }
