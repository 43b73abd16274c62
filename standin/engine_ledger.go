package standin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/engine"
)

// Ledger counts the operations that took effect at one engine.
type Ledger struct {
	Prefills      int64 `json:"prefills"`
	PrefillTokens int64 `json:"prefill_tokens"`
	// WastedTokens counts prompt tokens whose prefill was wasted, by cause.
	WastedTokens  map[string]int64 `json:"wasted_tokens"`
	Imports       int64            `json:"imports"`
	ImportRefused int64            `json:"import_refused"`
	Tokens        int64            `json:"tokens"`
	Finished      int64            `json:"finished"`
	Cancelled     int64            `json:"cancelled"`
	HeldPieces    int              `json:"held_pieces"`
	HeldRequests  []engine.Held    `json:"held_requests"`
	// OverCommitted counts orders that were refused for lack of memory.
	OverCommitted int64 `json:"over_committed"`
	// LateOrders counts new work that arrived more than DrainGrace after the
	// engine started to report a drain.
	LateOrders int64 `json:"late_orders"`
	// Orders counts the accepted orders to load weights. StaleAccepted counts
	// accepted orders with a fencing token lower than an earlier one, and
	// StaleRefused orders that were refused for that reason.
	Orders        int64 `json:"orders"`
	StaleAccepted int64 `json:"stale_taken"`
	StaleRefused  int64 `json:"stale_refused"`
}

// DrainGrace is the time after the first report of a drain in which an engine
// may still be sent new work (the guarantee says "after a few seconds").
const DrainGrace = 3 * time.Second

// Causes of wasted prefill.
const (
	wasteExpired   = "expired"
	wasteCancelled = "cancelled"
	wasteLost      = "lost_in_crash"
	wasteNoAnswer  = "no_answer"
)

// Reservation is the reservation of one request in an engine's memory. Until is zero
// until the memory is released.
type Reservation struct {
	Prompt uint64
	Pieces int
	From   time.Time
	Until  time.Time
}

// PromptHash returns the hash that identifies a prompt in the history of
// reservations.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Reservations returns the history of the engine's memory reservations.
func (e *Engine) Reservations() []Reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Reservation(nil), e.holds...)
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	ledger := e.ledger
	ledger.WastedTokens = make(map[string]int64, len(e.ledger.WastedTokens))
	for cause, tokens := range e.ledger.WastedTokens {
		ledger.WastedTokens[cause] = tokens
	}
	ledger.HeldRequests = e.heldLocked()
	ledger.HeldPieces = e.config.Pieces - e.freeLocked()
	return ledger
}

// Ran reports whether the engine started to run a request.
func (e *Engine) Ran(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[requestID]
}

func (e *Engine) wasteLocked(cause string, j *job) { e.ledger.WastedTokens[cause] += int64(j.tokens) }
