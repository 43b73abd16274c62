package standin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/engine"
)

// Ledger is what really happened at one engine.
type Ledger struct {
	Prefills      int64 `json:"prefills"`
	PrefillTokens int64 `json:"prefill_tokens"`
	// WastedTokens counts prompt tokens that were read for nothing, by cause.
	WastedTokens  map[string]int64 `json:"wasted_tokens"`
	Imports       int64            `json:"imports"`
	ImportRefused int64            `json:"import_refused"`
	Tokens        int64            `json:"tokens"`
	Finished      int64            `json:"finished"`
	Cancelled     int64            `json:"cancelled"`
	HeldPieces    int              `json:"held_pieces"`
	HeldRequests  []engine.Held    `json:"held_requests"`
	// OverCommitted counts orders that found too little memory.
	OverCommitted int64 `json:"over_committed"`
	// LateOrders counts new work that arrived more than LeavingGrace after the
	// engine began to say that it is leaving.
	LateOrders int64 `json:"late_orders"`
	// Orders counts orders to load weights that were taken, StaleTaken those
	// with an older fencing token than one seen before, and StaleRefused those
	// that were refused for it.
	Orders       int64 `json:"orders"`
	StaleTaken   int64 `json:"stale_taken"`
	StaleRefused int64 `json:"stale_refused"`
}

// LeavingGrace is how long after its first word a leaving engine may still be
// sent new work ("after a few seconds", says the promise).
const LeavingGrace = 3 * time.Second

// Causes of wasted prefill.
const (
	wasteExpired   = "expired"
	wasteCancelled = "cancelled"
	wasteLost      = "lost_in_crash"
	wasteNoAnswer  = "no_answer"
)

// Hold is one stay of a request in an engine's memory. Until is zero while it
// lasts.
type Hold struct {
	Prompt uint64
	Pieces int
	From   time.Time
	Until  time.Time
}

// PromptHash names a prompt in the history of holds.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Holds returns the history of the engine's memory.
func (e *Engine) Holds() []Hold {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Hold(nil), e.holds...)
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

// Ran says whether the engine began to work on a request.
func (e *Engine) Ran(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[requestID]
}

func (e *Engine) wasteLocked(cause string, j *job) { e.ledger.WastedTokens[cause] += int64(j.tokens) }
