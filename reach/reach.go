// Package reach decides, from the results of calls, whether an instance has lost its links to the
// backend servers of a service. It does no I/O and reads no clock.
package reach

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minFailed is how many servers must have failed, and none answered since, before the links of the
	// instance are suspected. The failure of one server says more about that server.
	minFailed = 2
	// excusedFor is how long the servers that could not be reached before a successful probe are no
	// evidence of lost links. They are down themselves, and come back after some seconds if at all.
	excusedFor = 5 * time.Second
)

// Service tracks one service. The zero value has had no failure.
type Service struct {
	// failing is set while failed or unreached is not empty, so that an answer costs one load otherwise.
	failing atomic.Bool
	cutOff  atomic.Bool
	probing atomic.Bool

	mu sync.Mutex
	// failed holds the servers that have failed since the last answer of any server, with the time of
	// the last failure.
	failed map[string]time.Time
	// unreached holds the servers to which no connection could be opened since a probe last opened one.
	// Answers do not clear it, because open connections may live on where no new one can be opened.
	unreached map[string]time.Time
	// excused holds the servers that were in unreached when a probe opened connections to others.
	excused map[string]time.Time
	// since is the time of the first of these failures.
	since time.Time
	// openWork is set if an answer was the last result over an open connection since then, and openFail
	// if a failure was.
	openWork, openFail bool
	// linked ends when all links are lost, the open connections too.
	linked context.Context
	unlink context.CancelFunc
}

// Answered records that a server of the service answered, maybe over a connection that had been open
// for long. It reports whether the service was cut off until then.
func (s *Service) Answered() (restored bool) {
	if !s.failing.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.failed)
	s.openWork, s.openFail = true, false
	s.relink()
	if len(s.unreached) > 0 {
		return false
	}
	s.failing.Store(false)
	return s.cutOff.Swap(false)
}

// Connected records that a probe of the service was answered over a new connection, or that the
// service has no servers. It reports whether the service was cut off until then.
func (s *Service) Connected(now time.Time) (restored bool) {
	if !s.failing.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excused = maps.Clone(s.unreached)
	for server := range s.excused {
		s.excused[server] = now
	}
	clear(s.failed)
	clear(s.unreached)
	s.openWork, s.openFail = false, false
	s.relink()
	s.failing.Store(false)
	return s.cutOff.Swap(false)
}

// Failed records that a connection to a server broke off or stayed silent.
func (s *Service) Failed(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail(server, now)
	s.openWork, s.openFail = false, true
	s.unlinkIfLost()
}

// ConnectFailed records that no connection to a server could be opened.
func (s *Service) ConnectFailed(server string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail(server, now)
	if at, excused := s.excused[server]; excused && now.Sub(at) < excusedFor {
		return
	}
	if s.unreached == nil {
		s.unreached = make(map[string]time.Time)
	}
	s.unreached[server] = now
}

// fail records a failure of a server. The caller holds the lock.
func (s *Service) fail(server string, now time.Time) {
	if s.failed == nil {
		s.failed = make(map[string]time.Time)
	}
	if len(s.failed)+len(s.unreached) == 0 {
		s.since = now
	}
	s.failed[server] = now
	s.failing.Store(true)
}

// Suspected reports whether enough of a number of servers have failed since the last answer, or could
// not be reached since the last new connection, that the links of this instance may be the cause.
func (s *Service) Suspected(servers int) bool {
	if !s.failing.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(len(s.failed), len(s.unreached)) >= max(min(minFailed, servers), 1)
}

// ConfirmCutOff records that a probe found no server either. It changes nothing if a server has
// answered meanwhile and none has failed since, and reports whether the service is cut off from now on
// and was not before.
func (s *Service) ConfirmCutOff() (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	began = len(s.failed)+len(s.unreached) > 0 && !s.cutOff.Swap(true)
	s.unlinkIfLost()
	return began
}

// BeginProbe reports whether a probe may begin, which is if none is under way. EndProbe ends it.
func (s *Service) BeginProbe() bool { return s.probing.CompareAndSwap(false, true) }

// EndProbe ends a probe.
func (s *Service) EndProbe() { s.probing.Store(false) }

// IsCutOff reports whether this instance can open no connection to a server of the service.
func (s *Service) IsCutOff() bool { return s.cutOff.Load() }

// OpenConnectionsWork reports whether, since the first failure, answers have come over connections
// that were open, and no failure after them.
func (s *Service) OpenConnectionsWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openWork
}

// Linked returns a context that ends once the service is cut off and its open connections fail too.
func (s *Service) Linked() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linked == nil {
		s.linked, s.unlink = context.WithCancel(context.Background())
		s.unlinkIfLost()
	}
	return s.linked
}

// unlinkIfLost ends the context of Linked if all links are lost. The caller holds the lock.
func (s *Service) unlinkIfLost() {
	if s.unlink != nil && s.cutOff.Load() && s.openFail {
		s.unlink()
	}
}

// relink replaces the context of Linked if it has ended. The caller holds the lock.
func (s *Service) relink() {
	if s.linked != nil && s.linked.Err() != nil {
		s.linked, s.unlink = nil, nil
	}
}

// State returns how many servers have failed since the last answer, or could not be reached since the
// last new connection, and since when.
func (s *Service) State() (failed int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(len(s.failed), len(s.unreached)), s.since
}
