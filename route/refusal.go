package route

import (
	"sync/atomic"
	"time"
)

// A server that has just refused work is full or changes its role, and refuses again for a
// while. Sending to it again immediately costs a round trip, or a prompt is read in vain.

const (
	// initialRefusalBackoff is the backoff after one refusal. It is about the time in which a
	// full engine finishes a request at the peak, twenty requests a second over seven engines
	// (source: the reference workload).
	initialRefusalBackoff = 50 * time.Millisecond
	// maxBackoff limits the backoff after many failures in a row.
	maxBackoff = 1600 * time.Millisecond
	// initialConnectBackoff is the backoff after a connection could not be opened.
	// The server's process is down, and restarts within seconds if at all.
	initialConnectBackoff = 200 * time.Millisecond
	// initialHandoffBackoff is the backoff after a decode engine could not use a prefill
	// engine's result. Each such result costs a whole prompt.
	initialHandoffBackoff = 200 * time.Millisecond
)

// failureBackoff tracks a server's failures in a row and the backoff that they cause.
// Of two concurrent failures, one may be lost, since it is only a hint.
type failureBackoff struct {
	consecutive atomic.Int64
	// until is in nanoseconds since epoch.
	until atomic.Int64
}

// fail records one more failure. The backoff is initial, doubled for each further
// failure in a row.
func (r *failureBackoff) fail(now time.Time, initial time.Duration) {
	backoff := initial << min(r.consecutive.Add(1)-1, 10)
	r.until.Store(int64(now.Add(min(backoff, maxBackoff)).Sub(epoch)))
}

// reset ends the row of failures.
func (r *failureBackoff) reset() {
	if r.consecutive.Load() != 0 {
		r.consecutive.Store(0)
	}
}

// end ends the row of failures and the present backoff.
func (r *failureBackoff) end() {
	r.consecutive.Store(0)
	r.until.Store(0)
}

// active reports whether the server is in backoff at now.
func (r *failureBackoff) active(now time.Time) bool { return int64(now.Sub(epoch)) < r.until.Load() }

// Refused records that the server refused work.
func (s *Server) Refused(now time.Time) { s.refusalBackoff.fail(now, initialRefusalBackoff) }

// RefusedWithFreeSlots records that the server refused work although fewer requests than its slots
// were known there, so that its queue was not full.
func (s *Server) RefusedWithFreeSlots(now time.Time) {
	s.freeSlotsBackoff.fail(now, initialRefusalBackoff)
}

// Accepted records that the server accepted work.
func (s *Server) Accepted() {
	s.refusalBackoff.reset()
	s.freeSlotsBackoff.reset()
}

// Unreached records that no connection to the server could be opened. Without this
// backoff it would take five such requests in a row to open the breaker, and each of
// them keeps a caller waiting or is refused.
func (s *Server) Unreached(now time.Time) { s.connectBackoff.fail(now, initialConnectBackoff) }

// Reached records that a connection to the server was opened.
func (s *Server) Reached() { s.connectBackoff.reset() }

// IsUnreached reports whether a connection to the server could not be opened recently.
func (s *Server) IsUnreached(now time.Time) bool { return s.connectBackoff.active(now) }

// HandoffLost records that a prefill result of the server could not be used.
func (s *Server) HandoffLost(now time.Time) { s.handoffBackoff.fail(now, initialHandoffBackoff) }

// HandoffDone records that a prefill result of the server was used.
func (s *Server) HandoffDone() { s.handoffBackoff.reset() }

// misdirectedBackoff is the backoff after another server than the listed one answered at an
// address, or the listed one in another role. The list of backend servers lags by a second, and
// the entry of a server whose process has exited expires after three of its heartbeats (source:
// the reference deployments, 1.2 s each).
const misdirectedBackoff = 3600 * time.Millisecond

// Misdirected records that another server answered in place of this one, or that this
// one has changed its role.
func (s *Server) Misdirected(now time.Time) {
	until := now.Add(misdirectedBackoff)
	if !s.IsChanging(until) {
		s.SetRoleChangeUntil(until)
	}
}

// SetRoleChangeUntil records that the server changes its role and accepts no work before until.
func (s *Server) SetRoleChangeUntil(until time.Time) { s.changeEnd.Store(int64(until.Sub(epoch))) }

// IsChanging reports whether the server is changing its role.
func (s *Server) IsChanging(now time.Time) bool { return int64(now.Sub(epoch)) < s.changeEnd.Load() }

// RefusingFilter drops servers that have just refused work, that could not be
// reached, whose prefill results could not be used, or that are changing their role.
type RefusingFilter struct{}

// Name implements Filter.
func (RefusingFilter) Name() string { return "refusing" }

// Keep implements Filter.
func (RefusingFilter) Keep(q *Query, c Candidate) bool {
	server := c.Server
	backingOff := server.refusalBackoff.active(q.Now) || server.handoffBackoff.active(q.Now)
	return !backingOff && UnreachableFilter{}.Keep(q, c)
}

// UnreachableFilter drops servers that could not be reached or that are changing their role. It
// keeps servers that have refused work. It is used where a refusal only shows that a server's
// queue was full at that moment (see package slots). With RefusingFilter, three servers with a
// queue of 24 were all dropped in a burst, and 657 requests in 6 s found no server.
type UnreachableFilter struct{}

// Name implements Filter.
func (UnreachableFilter) Name() string { return "unreachable" }

// Keep implements Filter.
func (UnreachableFilter) Keep(q *Query, c Candidate) bool {
	return !c.Server.connectBackoff.active(q.Now) && !c.Server.IsChanging(q.Now)
}

// RefusingWithFreeSlotsFilter drops servers that have just refused work although they had free
// slots as far as was known. Such a server has no calls in flight, so that it would get the most
// calls. What is known of other instances is late, and a full server may be dropped too, so the
// filter must not be applied where it drops all servers (Profile.Avoid).
type RefusingWithFreeSlotsFilter struct{}

// Name implements Filter.
func (RefusingWithFreeSlotsFilter) Name() string { return "refusing_with_free_slots" }

// Keep implements Filter.
func (RefusingWithFreeSlotsFilter) Keep(q *Query, c Candidate) bool {
	return !c.Server.freeSlotsBackoff.active(q.Now)
}
