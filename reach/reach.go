// Package reach decides, from the results of calls, whether an instance has lost its links to the
// backend servers of a service. It does no I/O and reads no clock.
package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// minFailed is how many servers must have failed, and none answered since, before the links of the
// instance are suspected. The failure of one server says more about that server.
const minFailed = 2

// Service tracks one service. The zero value has had no failure.
type Service struct {
	// failing is set while failed is not empty, so that an answer costs one load otherwise.
	failing atomic.Bool
	cutOff  atomic.Bool
	probing atomic.Bool

	mu sync.Mutex
	// failed holds the servers that have failed since the last answer of any server, with the time of
	// the last failure.
	failed map[string]time.Time
	// since is the time of the first of these failures.
	since time.Time
}

// Answered records that a server of the service answered. It reports whether the service was cut
// off until then.
func (s *Service) Answered() (restored bool) {
	if !s.failing.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing.Store(false)
	clear(s.failed)
	return s.cutOff.Swap(false)
}

// Failed records that a connection to a server could not be opened, broke off or stayed silent.
func (s *Service) Failed(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[string]time.Time)
	}
	if len(s.failed) == 0 {
		s.since = now
	}
	s.failed[server] = now
	s.failing.Store(true)
}

// Suspected reports whether enough of a number of servers have failed since the last answer that the
// links of this instance may be the cause.
func (s *Service) Suspected(servers int) bool {
	if !s.failing.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failed) >= max(min(minFailed, servers), 1)
}

// ConfirmCutOff records that a probe found no server either. It changes nothing if a server has
// answered meanwhile and none has failed since, and reports whether the service is cut off from now on
// and was not before.
func (s *Service) ConfirmCutOff() (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failed) > 0 && !s.cutOff.Swap(true)
}

// BeginProbe reports whether a probe may begin, which is if none is under way. EndProbe ends it.
func (s *Service) BeginProbe() bool { return s.probing.CompareAndSwap(false, true) }

// EndProbe ends a probe.
func (s *Service) EndProbe() { s.probing.Store(false) }

// IsCutOff reports whether no server of the service can be reached from this instance.
func (s *Service) IsCutOff() bool { return s.cutOff.Load() }

// State returns how many servers have failed since the last answer, and since when.
func (s *Service) State() (failed int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.failed), s.since
}
