package backpressure

import "time"

// cold is what a server that has just started bears until it is warm: like a rate limit, but
// the list of servers tells it, and its end is known.
type cold struct {
	// rate is in requests a second, from all instances together, and senders is how many
	// of them share it.
	rate      float64
	senders   int
	until     time.Time
	allowance allowance
}

// Cold notes that a server bears some requests a second until it is warm, from all instances
// together; most is how many it may get in any one second.
func (s *Server) Cold(rate, most float64, until time.Time, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.cold.until) {
		s.cold.allowance.begin(s.tracker.random(), now)
	}
	// Each of those that share the rate may send a burst at once.
	s.cold.rate, s.cold.until, s.cold.senders = rate, until, max(int((most-rate)/burst), 1)
	s.bounded.Store(true)
	s.tracker.holds.Store(true)
}

// IsCold says whether the server bears few requests.
func (s *Server) IsCold(now time.Time) bool {
	if s == nil || !s.bounded.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.cold.until)
}

// settleCold brings the allowance of a cold server up to date, and says whether it is cold.
// The caller holds the lock.
func (s *Server) settleCold(now time.Time) bool {
	if !now.Before(s.cold.until) {
		return false
	}
	s.cold.allowance.settle(s.id, s.cold.rate, s.cold.senders, s.tracker.instances.Load(), now)
	return true
}

// spendCold notes that so many calls are sent. The caller holds the lock.
func (s *Server) spendCold(calls float64, now time.Time) {
	if calls > 0 && s.settleCold(now) {
		s.cold.allowance.level = max(s.cold.allowance.level-calls, -burst)
	}
}

// coldHoldsBack says whether a cold server is not to get so many calls now. The caller holds
// the lock.
func (s *Server) coldHoldsBack(calls float64, now time.Time) bool {
	return calls > 0 && s.settleCold(now) && s.cold.allowance.level < calls
}

// coldRoomIn is how long it takes until a cold server may get so many calls from here, or is
// warm. The caller holds the lock.
func (s *Server) coldRoomIn(calls float64, now time.Time) time.Duration {
	if calls == 0 || !s.settleCold(now) {
		return 0
	}
	warm, a := s.cold.until.Sub(now), &s.cold.allowance
	if a.part == 0 {
		return warm
	}
	return min(seconds((calls-a.level)/a.part), warm)
}
