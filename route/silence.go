package route

import (
	"sync/atomic"
	"time"
)

// A server that is cut off from the network or has lost power neither answers nor
// refuses. It is detected by requests that wait there while none is answered.

// silence tracks since when a server with waiting requests has sent nothing.
type silence struct {
	waiting atomic.Int64
	// since is in nanoseconds since epoch. It has no meaning while no request waits.
	since atomic.Int64
}

// epoch is the origin of a monotonic clock that fits into an atomic.
var epoch = time.Now()

// AwaitAnswer records that an answer of the server is awaited from now on. The returned
// function records the end of the wait.
func (s *Server) AwaitAnswer(now time.Time) (end func()) {
	if s.silence.waiting.Add(1) == 1 {
		s.silence.since.Store(int64(now.Sub(epoch)))
	}
	return func() { s.silence.waiting.Add(-1) }
}

// RecordContact records that an answer, or a part of one, was received from the server.
func (s *Server) RecordContact(now time.Time) { s.silence.since.Store(int64(now.Sub(epoch))) }

// SilentFor returns how long the server has sent nothing while requests wait; 0 if
// none waits.
func (s *Server) SilentFor(now time.Time) time.Duration {
	if s.silence.waiting.Load() == 0 {
		return 0
	}
	return now.Sub(epoch) - time.Duration(s.silence.since.Load())
}

// SilentFilter drops servers that have sent nothing for longer than Limit while
// requests wait.
type SilentFilter struct {
	// Limit is the longest normal silence. It is longer than a busy server usually
	// takes to answer.
	Limit time.Duration
}

// Name implements Filter.
func (SilentFilter) Name() string { return "silent" }

// Keep implements Filter.
func (f SilentFilter) Keep(q *Query, c Candidate) bool { return c.Server.SilentFor(q.Now) <= f.Limit }
