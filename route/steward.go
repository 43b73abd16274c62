package route

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// HoldKey names what one attempt of a request holds.
type HoldKey struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
}

// Ask is a request for a place at a worker: for decode memory, or for a turn
// at a prefill engine.
type Ask struct {
	HoldKey
	// Pieces is the memory that a decode engine is asked for; 0 at a prefill
	// engine.
	Pieces int
	// LandIn is when the KV cache is expected to arrive, and HoldFor how long
	// the memory is then expected to be held.
	LandIn  time.Duration
	HoldFor time.Duration
	// Headroom is the memory, in pieces, that must stay free: requests that
	// should yield to others ask with more of it.
	Headroom int
	// Tokens is what a prefill engine is asked to read; 0 at a decode engine.
	Tokens int
	// MostAhead is how many tokens may be ahead in the prefill engine's queue.
	MostAhead int
	// TTL is how long the promise stands unless it is renewed or lands.
	TTL time.Duration
}

// Grant answers an Ask. Refused is reason.None when the place is promised.
type Grant struct {
	Refused reason.Reason
	// Free is the memory left, in pieces.
	Free int
	// Ahead counts the tokens ahead in the prefill engine's queue.
	Ahead int
}

// EngineReport is what an engine says it holds.
type EngineReport struct {
	// TakenAt is when the steward asked: whatever happened later is not in it.
	TakenAt time.Time
	Pieces  int
	// WaitingTokens counts prompt tokens that the engine has not read.
	WaitingTokens int
	Held          map[HoldKey]int
}

// Steward promises places at the workers that one instance looks after. It is
// soft state: a new steward starts from the engine's own report, and the
// engine has the last word. Safe for concurrent use.
type Steward struct {
	mu      sync.Mutex
	workers map[string]*workerLedger
}

// hold is a place promised to an attempt.
type hold struct {
	pieces  int
	tokens  int
	expires time.Time
	// until is when the memory is expected to be free again.
	until time.Time
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

// Reserve promises a place to an attempt, or renews what it already has.
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
		return Grant{Free: ledger.free(now), Ahead: ledger.ahead(now) - h.tokens}
	}
	landing := now.Add(ask.LandIn)
	grant := Grant{Free: ledger.free(landing), Ahead: ledger.ahead(now)}
	if grant.Free < ask.Pieces+ask.Headroom {
		grant.Refused = reason.ReserveRefused
		return grant
	}
	if ask.Tokens > 0 && grant.Ahead > ask.MostAhead {
		grant.Refused = reason.DeadlineTooClose
		return grant
	}
	ledger.holds[ask.HoldKey] = hold{
		pieces: ask.Pieces, tokens: ask.Tokens, expires: now.Add(ask.TTL), until: landing.Add(ask.HoldFor),
	}
	grant.Free -= ask.Pieces
	return grant
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

// Ahead returns the tokens in a prefill engine's queue, promises included.
func (s *Steward) Ahead(worker string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger(worker).ahead(now)
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

// untilSlack is how much later than expected memory may become free without
// having been promised to somebody else.
const untilSlack = 50 * time.Millisecond

// free counts the pieces that are expected to be free at a moment: neither
// reported as held nor promised beyond it. What overstays its time counts as
// held for as long as it is reported.
func (l *workerLedger) free(at time.Time) int {
	used := 0
	for key, pieces := range l.report.Held {
		h, known := l.holds[key]
		ends := known && !h.until.IsZero() && h.until.Add(untilSlack).Before(at) && at.After(l.report.TakenAt) &&
			h.until.After(l.report.TakenAt)
		if h.released.IsZero() && !ends {
			used += pieces
		}
	}
	for key, h := range l.holds {
		if _, landed := l.report.Held[key]; landed {
			continue
		}
		if h.released.IsZero() && h.expires.After(l.report.TakenAt) && !h.until.Add(untilSlack).Before(at) {
			used += h.pieces
		}
	}
	return l.report.Pieces - used
}

// ahead counts the tokens promised a turn and not yet read. What the engine
// reports beyond that was promised by an earlier steward, or by nobody.
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
