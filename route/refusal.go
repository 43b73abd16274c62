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
	// firstUnreached is how long a server is left alone that could not be
	// connected to: its process is down, and comes back in seconds if at all.
	firstUnreached = 200 * time.Millisecond
	// firstLostHandoff is how long a prefill engine is left alone after one of
	// its results could not be used: each costs a whole prompt.
	firstLostHandoff = 200 * time.Millisecond
)

// refusals tracks failures in a row that leave a server alone for a while. Of
// two at the same time, one may be lost; it is only a hint.
type refusals struct {
	inRow atomic.Int64
	// until is in nanoseconds on the clock of epoch.
	until atomic.Int64
}

// add notes one more, which counts for first, doubled for each in a row.
func (r *refusals) add(now time.Time, first time.Duration) {
	shun := first << min(r.inRow.Add(1)-1, 10)
	r.until.Store(int64(now.Add(min(shun, longestShun)).Sub(epoch)))
}

// end begins the row anew.
func (r *refusals) end() {
	if r.inRow.Load() != 0 {
		r.inRow.Store(0)
	}
}

// active says whether the server is to be left alone.
func (r *refusals) active(now time.Time) bool { return int64(now.Sub(epoch)) < r.until.Load() }

// Refused notes that the server refused work.
func (s *Server) Refused(now time.Time) { s.refusals.add(now, firstShun) }

// Accepted notes that the server took work.
func (s *Server) Accepted() { s.refusals.end() }

// Unreached notes that no connection to the server could be opened. Five such
// requests in a row would open the breaker; each is a caller kept waiting or
// refused.
func (s *Server) Unreached(now time.Time) { s.unreached.add(now, firstUnreached) }

// Reached notes that the server was connected to.
func (s *Server) Reached() { s.unreached.end() }

// HandoffLost notes that a prefill result of the server could not be used.
func (s *Server) HandoffLost(now time.Time) { s.handoffs.add(now, firstLostHandoff) }

// HandoffDone notes that one was.
func (s *Server) HandoffDone() { s.handoffs.end() }

// misdirectedFor is how long a server is left alone that is not the one, or not
// in the role, that the list of servers says: the list lags by a second, and the
// entry of a server that has ended lapses after three of its heartbeats (source:
// the users' settings, 1.2 s each).
const misdirectedFor = 3600 * time.Millisecond

// Misdirected notes that another server answered in its place, or that it has
// changed its role.
func (s *Server) Misdirected(now time.Time) {
	until := now.Add(misdirectedFor)
	if !s.IsChanging(until) {
		s.Changing(until)
	}
}

// Changing notes that the server changes its role until then, and takes no
// work before.
func (s *Server) Changing(until time.Time) { s.changing.Store(int64(until.Sub(epoch))) }

// IsChanging says whether the server is changing its role.
func (s *Server) IsChanging(now time.Time) bool { return int64(now.Sub(epoch)) < s.changing.Load() }

// RefusingFilter drops servers that have just refused, that could not be reached,
// whose results could not be used, or that change their role.
type RefusingFilter struct{}

// Name implements Filter.
func (RefusingFilter) Name() string { return "refusing" }

// Keep implements Filter.
func (RefusingFilter) Keep(q *Query, c Candidate) bool {
	server := c.Server
	left := server.refusals.active(q.Now) || server.handoffs.active(q.Now) || server.unreached.active(q.Now)
	return !left && !server.IsChanging(q.Now)
}
