package backpressure

import "time"

// cold is the rate that a cold server (one that started recently and can take few requests) can
// handle until it is warm. It works like a rate limit, but it comes from the list of backend
// servers and its end is known.
type cold struct {
	// rate is in requests a second, from all instances together. senders is the number of
	// instances that share it.
	rate      float64
	senders   int
	until     time.Time
	allowance allowance
}

// SetCold sets the rate, in requests a second from all instances together, that a server can
// handle until it is warm. most is the number of requests that it may get in any one second.
func (s *Server) SetCold(rate, most float64, until time.Time, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.cold.until) {
		s.cold.allowance.reset(s.tracker.random(), now)
	}
	// Each instance that shares the rate may send a burst of calls without a pause.
	s.cold.rate, s.cold.until, s.cold.senders = rate, until, max(int((most-rate)/burst), 1)
	s.wasCold.Store(true)
	s.tracker.restricted.Store(true)
}

// IsCold reports whether the server is not warm yet.
func (s *Server) IsCold(now time.Time) bool {
	if s == nil || !s.wasCold.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.cold.until)
}

// refillCold brings the allowance of a cold server up to date, and reports whether the server
// is cold. The caller holds the lock.
func (s *Server) refillCold(now time.Time) bool {
	if !now.Before(s.cold.until) {
		return false
	}
	s.cold.allowance.refill(s.id, s.cold.rate, s.cold.senders, s.tracker.instances.Load(), now)
	return true
}

// consumeCold counts calls that are sent. The caller holds the lock.
func (s *Server) consumeCold(calls float64, now time.Time) {
	if calls > 0 && s.refillCold(now) {
		s.cold.allowance.balance = max(s.cold.allowance.balance-calls, -burst)
	}
}

// exceedsColdRate reports whether the server is cold and its rate leaves no room for calls
// now. The caller holds the lock.
func (s *Server) exceedsColdRate(calls float64, now time.Time) bool {
	return calls > 0 && s.refillCold(now) && s.cold.allowance.balance < calls
}

// coldDelay returns how long it takes until a cold server may get calls from this instance, or
// is warm. The caller holds the lock.
func (s *Server) coldDelay(calls float64, now time.Time) time.Duration {
	if calls == 0 || !s.refillCold(now) {
		return 0
	}
	warm, a := s.cold.until.Sub(now), &s.cold.allowance
	if a.share == 0 {
		return warm
	}
	return min(cappedSeconds((calls-a.balance)/a.share), warm)
}
