package route

import (
	"sync/atomic"
	"time"
)

// A server that has just refused work will refuse again for a while: it is
// full, or it is changing its role. Asking it at once costs a round trip, or
// a prompt read for nothing.

const (
	// firstShun is how long a server is left alone after one refusal: about
	// the time in which a full engine ends a request at the peak, twenty a
	// second over seven engines (source: the users' sheets).
	firstShun = 50 * time.Millisecond
	// longestShun bounds the time after many refusals in a row.
	longestShun = 1600 * time.Millisecond
)

// refusals tracks a server's refusals in a row. Of two at the same time, one
// may be lost; it is only a hint.
type refusals struct {
	inRow atomic.Int64
	// until is in nanoseconds on the clock of epoch.
	until atomic.Int64
	// changing is until when the server is changing its role, on that clock.
	changing atomic.Int64
}

// Refused notes that the server refused work.
func (s *Server) Refused(now time.Time) {
	shun := firstShun << min(s.refusals.inRow.Add(1)-1, 10)
	s.refusals.until.Store(int64(now.Add(min(shun, longestShun)).Sub(epoch)))
}

// Accepted notes that the server took work.
func (s *Server) Accepted() {
	if s.refusals.inRow.Load() != 0 {
		s.refusals.inRow.Store(0)
	}
}

// Changing notes that the server changes its role until then, and takes no
// work before.
func (s *Server) Changing(until time.Time) { s.refusals.changing.Store(int64(until.Sub(epoch))) }

// IsChanging says whether the server is changing its role.
func (s *Server) IsChanging(now time.Time) bool {
	return int64(now.Sub(epoch)) < s.refusals.changing.Load()
}

// RefusingFilter drops servers that have just refused, and those that change
// their role.
type RefusingFilter struct{}

// Name implements Filter.
func (RefusingFilter) Name() string { return "refusing" }

// Keep implements Filter.
func (RefusingFilter) Keep(q *Query, c Candidate) bool {
	if c.Server.IsChanging(q.Now) {
		return false
	}
	return int64(q.Now.Sub(epoch)) >= c.Server.refusals.until.Load()
}
