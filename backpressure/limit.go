package backpressure

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Server is what is known of one run of a backend server.
type Server struct {
	tracker *Tracker
	name    string
	// known is when the server was last on the list of servers; guarded by the tracker.
	known time.Time

	mu    sync.Mutex
	limit limit
}

// limit is the rate limit that a server has named.
type limit struct {
	named bool
	// rate is in requests a second, from all instances together.
	rate float64
	// at is when the server said so, and kind the kind of call in whose answer.
	at   time.Time
	kind Kind
}

// String says what the limit is, for the log.
func (l limit) String() string {
	if !l.named {
		return "not limited"
	}
	return fmt.Sprintf("limited to %.3g/s", l.rate)
}

// Limit returns the requests a second that the server takes, if it names a limit.
func (s *Server) Limit() (rate float64, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.rate, s.limit.named
}

// Heard takes in what an answer says to a call that was sent then.
func (s *Server) Heard(said Statement, sent, now time.Time) {
	s.mu.Lock()
	before := s.limit
	s.hearLimit(said, sent, now)
	after := s.limit
	s.mu.Unlock()
	if differs(before, after) && s.tracker.changed != nil {
		s.tracker.changed(Change{Server: s.name, Before: before.String(), Now: after.String()})
	}
}

// hearLimit takes in what an answer says of a limit. One without a limit ends it, unless
// the call was sent before the limit was last named, or answers of its kind may not name
// limits at all. The caller holds the lock.
func (s *Server) hearLimit(said Statement, sent, now time.Time) {
	switch {
	case said.Limited:
		s.limit = limit{named: true, rate: said.Limit, at: now, kind: said.Kind}
	case s.limit.named && !said.Refused && said.Kind == s.limit.kind && sent.After(s.limit.at):
		s.limit = limit{at: now}
	}
}

// noticed is the part by which a limit must change for that to be logged.
const noticed = 0.1

// differs says whether a limit differs from the one before so that it should be noticed.
func differs(before, after limit) bool {
	return before.named != after.named || math.Abs(after.rate-before.rate) > noticed*before.rate
}
