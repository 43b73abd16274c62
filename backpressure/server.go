package backpressure

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Verdict is whether a call may be sent to a server, and if not, what withholds it.
type Verdict uint8

const (
	// Clear: the call may be sent.
	Clear Verdict = iota
	// OverLimit: this instance's share of the server's rate limit is used up.
	OverLimit
	// Leaving: the server has reported that it is draining.
	Leaving
	// BackingOff: the server asked this instance to back off.
	BackingOff
)

// String returns the verdict as it is written to the log.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case OverLimit:
		return "limit"
	case Leaving:
		return "leaving"
	case BackingOff:
		return "resting"
	}
	return "unknown"
}

// Server is the state of one run of a backend server's process, as this instance knows it. A
// nil *Server stands for a server that has reported nothing.
type Server struct {
	tracker *Tracker
	id      ID
	// name, lastKnown and listed are guarded by the tracker's mutex. lastKnown is when the
	// server was last on the list of backend servers or, before it is listed, when a sibling
	// first reported it. listed is whether it is on that list now.
	name      string
	lastKnown time.Time
	listed    bool
	// reported is set once the server has reported a limit, a drain or a backoff, each of which
	// can withhold calls. Until then requests pass without taking the lock.
	reported atomic.Bool

	// wasCold is set once SetCold has been called.
	wasCold atomic.Bool

	mu sync.Mutex
	state
	cold      cold
	allowance allowance
	// lastUrgent is when a change of this server was last sent to siblings immediately.
	lastUrgent time.Time
}

// state is what a server has reported.
type state struct {
	limit   limit
	drain   drain
	backoff backoff
}

// describe returns the state as text for the log.
func (s *state) describe(now time.Time) string {
	text := s.limit.String()
	if s.drain.leaving {
		text += ", leaving"
	}
	if now.Before(s.backoff.until) {
		text += fmt.Sprintf(", backing off for %.1f s", s.backoff.until.Sub(now).Seconds())
	}
	return text
}

// Limit returns the requests a second that the server accepts, if it has reported a limit.
func (s *Server) Limit() (rate float64, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.rate, s.limit.named
}

// unrestricted reports whether nothing is known that can withhold calls.
func (s *Server) unrestricted() bool { return s == nil || (!s.reported.Load() && !s.wasCold.Load()) }

// Check reports whether work may be sent to the server now, without counting it.
func (s *Server) Check(work Work, now time.Time) Verdict {
	if s.unrestricted() {
		return Clear
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.check(work, now)
}

// Send reports whether work may be sent now, and counts it if so.
func (s *Server) Send(work Work, now time.Time) Verdict {
	if s.unrestricted() {
		return Clear
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.check(work, now)
	if verdict == Clear {
		s.consume(work.Calls, now)
		s.backoff.recordSend(now)
	}
	return verdict
}

// check reports what withholds work. The caller holds the lock.
func (s *Server) check(work Work, now time.Time) Verdict {
	switch {
	case work.FollowUp && work.Kind == Decode:
		// Withholding this call would lose a stream that was stopped at the server.
		return Clear
	case s.backoff.blocks(now):
		return BackingOff
	case work.FollowUp:
		return Clear
	case s.drain.leaving:
		return Leaving
	case s.exceedsLimit(work.Calls, now) || s.exceedsColdRate(work.Calls, now):
		return OverLimit
	}
	return Clear
}

// IsLeaving reports whether the server has reported that it is draining.
func (s *Server) IsLeaving() bool {
	if s == nil || !s.reported.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.leaving
}

// IsBackingOff reports whether the server has asked this instance to back off for a time that is
// not over.
func (s *Server) IsBackingOff(now time.Time) bool {
	if s == nil || !s.reported.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.backoff.until)
}

// BlockedByBackoff reports whether calls to the server are withheld by a backoff: either the
// backoff lasts, or the first request after it was sent a moment ago and has not been
// answered.
func (s *Server) BlockedByBackoff(now time.Time) bool {
	if s == nil || !s.reported.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoff.blocks(now)
}

// Delay returns how long it takes until work may be sent to the server, as far as is known.
func (s *Server) Delay(work Work, now time.Time) time.Duration {
	if s.unrestricted() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.limitDelay(work.Calls, now), s.coldDelay(work.Calls, now), s.backoff.delay(now))
}

// Observe applies the server status report in an answer to a call. sent is when the call was
// sent.
func (s *Server) Observe(report StatusReport, sent, now time.Time) {
	if !report.restricts() && !s.reported.Load() {
		return
	}
	s.mu.Lock()
	before := s.state
	s.observeLimit(report, sent, now)
	limitChanged := s.limit.differsSignificantly(&before.limit)
	if limitChanged {
		s.limit.freshUntil = now.Add(freshFor)
	}
	drainStarted := report.Leaving && s.drain.start(now, now.Add(freshFor))
	backoffStarted := s.observeBackoff(report, now)
	s.markReported()
	after := s.state
	urgent := (limitChanged || drainStarted) && now.Sub(s.lastUrgent) >= urgentInterval
	if urgent {
		s.lastUrgent = now
	}
	s.mu.Unlock()
	if limitChanged || drainStarted || backoffStarted {
		s.tracker.notifyChange(Change{Server: s.tracker.nameOf(s), Before: before.describe(now), Now: after.describe(now)})
	}
	if urgent {
		s.tracker.notifyUrgent()
	}
}

// urgentInterval is the minimum time between two changes of a server that are sent to siblings
// immediately: a server may report a change with each answer.
const urgentInterval = 100 * time.Millisecond

// markReported notes that the server has reported a limit, a drain or a backoff. The caller
// holds the lock.
func (s *Server) markReported() {
	if s.reported.CompareAndSwap(false, true) {
		s.tracker.restricted.Store(true)
		s.tracker.addReporting(s)
	}
}

// observeBackoff applies a requested backoff and reports whether it starts with this answer.
// The caller holds the lock.
func (s *Server) observeBackoff(report StatusReport, now time.Time) (started bool) {
	if report.Backoff > 0 {
		return s.backoff.extend(report.Backoff, s.tracker.random(), now)
	}
	if !report.Rejected && !now.Before(s.backoff.until) {
		s.backoff.recovering = false
	}
	return false
}

// observeLimit applies what an answer reports of the rate limit. An answer without a limit
// ends the limit, unless the call was sent before the limit was last reported: answers
// overtake each other. The caller holds the lock.
func (s *Server) observeLimit(report StatusReport, sent, now time.Time) {
	next := limit{at: now, observation: s.tracker.nextObservation(), freshUntil: s.limit.freshUntil}
	switch {
	case report.Limited:
		next.named, next.rate, next.kinds = true, report.Limit, Kinds(0).with(report.Kind)
		s.setLimit(next, now)
	case s.limit.named && report.endsLimit(s.limit.kinds) && sent.After(s.limit.at):
		s.setLimit(next, now)
	}
}

// setLimit replaces the limit. The caller holds the lock.
func (s *Server) setLimit(next limit, now time.Time) {
	if next.named && !s.limit.named {
		s.allowance.reset(s.tracker.random(), now)
	}
	if next.named {
		next.kinds |= s.limit.kinds
	}
	s.limit = next
	s.markReported()
}
