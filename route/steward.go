package route

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// ReservationKey identifies the reservation of one attempt (one try) of a request.
type ReservationKey struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// Demand requests a reservation at a worker: for decode memory, or for a turn in a
// prefill engine's queue.
type Demand struct {
	ReservationKey
	// Pieces is the memory requested from a decode engine, in memory pieces (the unit
	// of KV cache memory, 2,000 tokens); 0 for a prefill engine.
	Pieces int
	// ArrivesIn is the time until the KV cache is expected to arrive. HoldFor is how
	// long the memory is then expected to be held.
	ArrivesIn time.Duration
	HoldFor   time.Duration
	// Headroom is the memory, in pieces, that must stay free. It is larger for requests that
	// should yield to others.
	Headroom int
	// Tokens is the number of tokens that a prefill engine is to read; 0 for a decode
	// engine.
	Tokens int
	// MaxTokensAhead is the maximum number of tokens ahead in the prefill engine's queue.
	MaxTokensAhead int
	// TTL is how long the reservation lasts unless it is renewed or the KV cache
	// arrives.
	TTL time.Duration
}

// Grant answers a Demand. Refused is reason.None if the reservation is granted.
type Grant struct {
	Refused reason.Reason
	// Free is the memory left, in pieces.
	Free int
	// Ahead counts the tokens ahead in the prefill engine's queue.
	Ahead int
}

// EngineReport is what an engine reports that it holds.
type EngineReport struct {
	// TakenAt is when the steward requested the report. Later events are not in it.
	TakenAt time.Time
	Pieces  int
	// WaitingTokens counts prompt tokens that the engine has not read.
	WaitingTokens int
	Held          map[ReservationKey]int
}

// Steward grants reservations at the workers that one instance is responsible for.
// Its state is soft: a new steward starts from the engine's own report, and the
// engine makes the final decision. Safe for concurrent use.
type Steward struct {
	mu      sync.Mutex
	workers map[string]*workerLedger
}

// hold is the reservation of an attempt.
type hold struct {
	pieces  int
	tokens  int
	expires time.Time
	// freeAt is when the memory is expected to be free again.
	freeAt time.Time
	// released is when the home (the instance that the caller is connected to) released
	// the reservation. The engine's report may still show it if it was taken earlier.
	released time.Time
}

type workerLedger struct {
	report EngineReport
	holds  map[ReservationKey]hold
}

// NewSteward returns a steward with no workers.
func NewSteward() *Steward { return &Steward{workers: make(map[string]*workerLedger)} }

// Observe applies an engine's report.
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

// Reserve grants a reservation to an attempt, or renews the one that it already has.
func (s *Steward) Reserve(worker string, demand Demand, now time.Time) Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger(worker)
	if ledger.report.Pieces == 0 {
		return Grant{Refused: reason.StewardUnreached}
	}
	if h, ok := ledger.holds[demand.ReservationKey]; ok && h.released.IsZero() {
		h.expires = now.Add(demand.TTL)
		ledger.holds[demand.ReservationKey] = h
		return Grant{Free: ledger.free(now), Ahead: ledger.ahead(now) - h.tokens}
	}
	arrival := now.Add(demand.ArrivesIn)
	grant := Grant{Free: ledger.free(arrival), Ahead: ledger.ahead(now)}
	if grant.Free < demand.Pieces+demand.Headroom {
		grant.Refused = reason.ReserveRefused
		return grant
	}
	if demand.Tokens > 0 && grant.Ahead > demand.MaxTokensAhead {
		grant.Refused = reason.DeadlineTooClose
		return grant
	}
	ledger.holds[demand.ReservationKey] = hold{
		pieces: demand.Pieces, tokens: demand.Tokens, expires: now.Add(demand.TTL), freeAt: arrival.Add(demand.HoldFor),
	}
	grant.Free -= demand.Pieces
	return grant
}

// Release releases the reservation of an attempt, whether its KV cache has arrived or
// not.
func (s *Steward) Release(worker string, key ReservationKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ledger := s.ledger(worker)
	h := ledger.holds[key]
	h.released = now
	ledger.holds[key] = h
}

// Ahead returns the tokens in a prefill engine's queue, including reservations.
func (s *Steward) Ahead(worker string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger(worker).ahead(now)
}

// Retain removes every worker for which keep returns false.
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
		ledger = &workerLedger{holds: make(map[ReservationKey]hold)}
		s.workers[worker] = ledger
	}
	return ledger
}

// freeAtSlack is how much later than expected memory may become free: until then it is not
// promised to another attempt.
const freeAtSlack = 50 * time.Millisecond

// free counts the pieces that are expected to be free at a moment: neither held, by the
// engine's report, nor promised to an attempt beyond that moment. Memory that is held longer
// than expected counts as held for as long as it is reported.
func (l *workerLedger) free(at time.Time) int {
	used := 0
	for key, pieces := range l.report.Held {
		h, known := l.holds[key]
		freed := known && !h.freeAt.IsZero() && h.freeAt.Add(freeAtSlack).Before(at) && at.After(l.report.TakenAt) &&
			h.freeAt.After(l.report.TakenAt)
		if h.released.IsZero() && !freed {
			used += pieces
		}
	}
	for key, h := range l.holds {
		if _, landed := l.report.Held[key]; landed {
			continue
		}
		if h.released.IsZero() && h.expires.After(l.report.TakenAt) && !h.freeAt.Add(freeAtSlack).Before(at) {
			used += h.pieces
		}
	}
	return l.report.Pieces - used
}

// ahead counts the prompt tokens that have a promised turn in the engine's queue and are not
// yet read. Tokens that the engine reports beyond them were promised by an earlier steward, or
// by no steward. They count only while nothing is promised.
func (l *workerLedger) ahead(now time.Time) int {
	promised := 0
	for _, h := range l.holds {
		if h.released.IsZero() && h.expires.After(now) {
			promised += h.tokens
		}
	}
	if promised == 0 {
		return l.report.WaitingTokens
	}
	return promised
}
