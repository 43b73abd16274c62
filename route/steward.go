package route

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// HoldKey names the memory that one attempt of a request holds.
type HoldKey struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// Ask is a request for decode memory.
type Ask struct {
	HoldKey
	// Home is the asking instance with its incarnation.
	Home   string
	Pieces int
	// TTL is how long the reservation stands unless it is renewed or lands.
	TTL time.Duration
}

// Grant answers an Ask. Refused is reason.None when the memory is promised.
type Grant struct {
	Refused reason.Reason
	// Free is what is left, in pieces.
	Free int
}

// EngineReport is what a decode engine says it holds.
type EngineReport struct {
	// TakenAt is when the steward asked: whatever happened later is not in it.
	TakenAt time.Time
	Pieces  int
	Held    map[HoldKey]int
}

// Steward promises the memory of the decode engines that one instance looks
// after. It is soft state: a new steward starts from the engine's own report,
// and the engine has the last word. Safe for concurrent use.
type Steward struct {
	mu      sync.Mutex
	workers map[string]*workerLedger
}

// hold is memory promised to an attempt.
type hold struct {
	pieces  int
	granted time.Time
	expires time.Time
	// released is set when the home gave it back; the engine's report may
	// still show it if taken earlier.
	released time.Time
}

type workerLedger struct {
	report EngineReport
	holds  map[HoldKey]hold
}

// NewSteward returns a steward with no workers.
func NewSteward() *Steward { return &Steward{workers: make(map[string]*workerLedger)} }

// Observe takes an engine's report.
func (s *Steward) Observe(worker string, report EngineReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger(worker)
	ledger.report = report
	for key, h := range ledger.holds {
		_, held := report.Held[key]
		finished := !h.released.IsZero() && h.released.Before(report.TakenAt)
		if finished || (!held && h.expires.Before(report.TakenAt)) {
			delete(ledger.holds, key)
		}
	}
}

// Reserve promises memory for an attempt, or renews what it already has.
func (s *Steward) Reserve(worker string, ask Ask, now time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger(worker)
	if ledger.report.Pieces == 0 {
		return Grant{Refused: reason.StewardUnreached}
	}
	if h, ok := ledger.holds[ask.HoldKey]; ok && h.released.IsZero() {
		h.expires = now.Add(ask.TTL)
		ledger.holds[ask.HoldKey] = h
		return Grant{Free: ledger.free(now)}
	}
	free := ledger.free(now)
	if free < ask.Pieces {
		return Grant{Refused: reason.ReserveRefused, Free: free}
	}
	ledger.holds[ask.HoldKey] = hold{pieces: ask.Pieces, granted: now, expires: now.Add(ask.TTL)}
	return Grant{Free: free - ask.Pieces}
}

// Release gives back what an attempt holds, landed or not.
func (s *Steward) Release(worker string, key HoldKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger(worker)
	h := ledger.holds[key]
	h.released = now
	ledger.holds[key] = h
}

// Free returns the pieces that could be promised at now.
func (s *Steward) Free(worker string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger(worker).free(now)
}

// Holds returns the number of promises kept for all workers.
func (s *Steward) Holds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, ledger := range s.workers {
		total += len(ledger.holds)
	}
	return total
}

// Retain forgets every worker that keep does not name.
func (s *Steward) Retain(keep func(worker string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for worker := range s.workers {
		if !keep(worker) {
			delete(s.workers, worker)
		}
	}
}

func (s *Steward) ledger(worker string) *workerLedger {
	ledger, ok := s.workers[worker]
	if !ok {
		ledger = &workerLedger{holds: make(map[HoldKey]hold)}
		s.workers[worker] = ledger
	}
	return ledger
}

// free counts what neither the engine's report nor a promise made since takes.
func (l *workerLedger) free(now time.Time) int {
	used := 0
	for key, pieces := range l.report.Held {
		if l.holds[key].released.IsZero() {
			used += pieces
		}
	}
	for key, h := range l.holds {
		if _, landed := l.report.Held[key]; landed {
			continue
		}
		if h.released.IsZero() && h.expires.After(now) {
			used += h.pieces
		}
	}
	return l.report.Pieces - used
}
