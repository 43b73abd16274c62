package backpressure

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Verdict says whether a call may be sent to a server, and what holds it back.
type Verdict uint8

// Verdicts.
const (
	// Clear: nothing holds it back.
	Clear Verdict = iota
	// OverLimit: the server's rate limit leaves no room for it here.
	OverLimit
	// Leaving: the server has said that it leaves.
	Leaving
	// Resting: the server wants nothing from this instance for a while.
	Resting
)

// String names the verdict, for the log.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case OverLimit:
		return "limit"
	case Leaving:
		return "leaving"
	case Resting:
		return "resting"
	}
	return "unknown"
}

// Server is what is known of one run of a backend server. A nil *Server is one that has
// said nothing.
type Server struct {
	tracker *Tracker
	id      ID
	// name, known and listed are guarded by the tracker: known is when it was last on the
	// list of servers, or was heard of before that, and listed whether it is there.
	name   string
	known  time.Time
	listed bool
	// said is set once the server has said anything that may hold calls back: until then
	// requests pass without a lock.
	said atomic.Bool

	// bounded is set once the server was cold.
	bounded atomic.Bool

	mu sync.Mutex
	state
	cold      cold
	allowance allowance
	// hurried is when siblings were last to hear of a change at once.
	hurried time.Time
}

// state is what a server has said.
type state struct {
	limit limit
	drain drain
	rest  rest
}

// describe says what a server has said, for the log.
func (s *state) describe(now time.Time) string {
	text := s.limit.String()
	if s.drain.leaving {
		text += ", leaving"
	}
	if now.Before(s.rest.until) {
		text += fmt.Sprintf(", rests for %.1f s", s.rest.until.Sub(now).Seconds())
	}
	return text
}

// Limit returns the requests a second that the server takes, if it names a limit.
func (s *Server) Limit() (rate float64, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.rate, s.limit.named
}

// takesAll says whether nothing is known that may hold calls back.
func (s *Server) takesAll() bool { return s == nil || (!s.said.Load() && !s.bounded.Load()) }

// Look says whether work may be sent to the server now, as far as is known.
func (s *Server) Look(work Work, now time.Time) Verdict {
	if s.takesAll() {
		return Clear
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge(work, now)
}

// Send says whether work may be sent now, and counts it if so.
func (s *Server) Send(work Work, now time.Time) Verdict {
	if s.takesAll() {
		return Clear
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.judge(work, now)
	if verdict == Clear {
		s.spend(work.Calls, now)
		s.rest.sent(now)
	}
	return verdict
}

// judge says what holds work back. The caller holds the lock.
func (s *Server) judge(work Work, now time.Time) Verdict {
	switch {
	case work.Owed && work.Kind == Decode:
		// Without, a stream that was stopped there would be lost.
		return Clear
	case s.rest.holdsBack(now):
		return Resting
	case work.Owed:
		return Clear
	case s.drain.leaving:
		return Leaving
	case s.holdsBack(work.Calls, now) || s.coldHoldsBack(work.Calls, now):
		return OverLimit
	}
	return Clear
}

// IsLeaving says whether the server has said that it leaves.
func (s *Server) IsLeaving() bool {
	if s == nil || !s.said.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain.leaving
}

// IsResting says whether the server has asked this instance to leave it alone.
func (s *Server) IsResting(now time.Time) bool {
	if s == nil || !s.said.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.rest.until)
}

// WantsNothing says whether the server is to be left alone by this instance now, since it
// has asked for that, or has just been sent the first request since.
func (s *Server) WantsNothing(now time.Time) bool {
	if s == nil || !s.said.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rest.holdsBack(now)
}

// RoomIn is how long it takes until work may be sent to the server, as far as is known.
func (s *Server) RoomIn(work Work, now time.Time) time.Duration {
	if s.takesAll() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.roomIn(work.Calls, now), s.coldRoomIn(work.Calls, now), s.rest.roomIn(now))
}

// Heard takes in what an answer says to a call that was sent then.
func (s *Server) Heard(said Statement, sent, now time.Time) {
	if !said.says() && !s.said.Load() {
		return
	}
	s.mu.Lock()
	before := s.state
	s.hearLimit(said, sent, now)
	limited := s.limit.differs(&before.limit)
	if limited {
		s.limit.freshUntil = now.Add(freshFor)
	}
	drains := said.Leaving && s.drain.begin(now, now.Add(freshFor))
	rests := s.hearRest(said, now)
	s.speaks()
	after := s.state
	hurry := (limited || drains) && now.Sub(s.hurried) >= hurryGap
	if hurry {
		s.hurried = now
	}
	s.mu.Unlock()
	if limited || drains || rests {
		s.tracker.tell(Change{Server: s.tracker.nameOf(s), Before: before.describe(now), Now: after.describe(now)})
	}
	if hurry {
		s.tracker.hurry()
	}
}

// hurryGap is the least pause between two changes of a server that siblings hear of at
// once: one may change its mind with each answer.
const hurryGap = 100 * time.Millisecond

// speaks notes that the server has said something. The caller holds the lock.
func (s *Server) speaks() {
	if s.said.CompareAndSwap(false, true) {
		s.tracker.holds.Store(true)
		s.tracker.addSpeaking(s)
	}
}

// hearRest takes in whether the server wants to be left alone, and says whether that
// begins. The caller holds the lock.
func (s *Server) hearRest(said Statement, now time.Time) (begins bool) {
	if said.Backoff > 0 {
		return s.rest.extend(said.Backoff, s.tracker.random(), now)
	}
	if !said.Refused && !now.Before(s.rest.until) {
		s.rest.recovering = false
	}
	return false
}

// hearLimit takes in what an answer says of a limit. One without a limit ends it, unless
// the call was sent before the limit was last named: answers overtake each other. The
// caller holds the lock.
func (s *Server) hearLimit(said Statement, sent, now time.Time) {
	next := limit{at: now, observation: s.tracker.nextObservation(), freshUntil: s.limit.freshUntil}
	switch {
	case said.Limited:
		next.named, next.rate, next.kinds = true, said.Limit, Kinds(0).with(said.Kind)
		s.adopt(next, now)
	case s.limit.named && said.ends(s.limit.kinds) && sent.After(s.limit.at):
		s.adopt(next, now)
	}
}

// adopt takes a limit in place of the one before. The caller holds the lock.
func (s *Server) adopt(next limit, now time.Time) {
	if next.named && !s.limit.named {
		s.allowance.begin(s.tracker.random(), now)
	}
	if next.named {
		next.kinds |= s.limit.kinds
	}
	s.limit = next
	s.speaks()
}
