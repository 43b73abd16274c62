package standin

import (
	"context"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// EngineConfig configures the speed and size of one model engine.
type EngineConfig struct {
	Name string
	// Pieces is the KV cache memory, in memory pieces (units) of engine.PieceTokens tokens.
	Pieces int
	// TokenRate is the prefill speed, in tokens per second.
	TokenRate float64
	// StepBase and StepEach determine the duration of one decode step: StepBase
	// plus StepEach for every request in the batch.
	StepBase time.Duration
	StepEach time.Duration
	// LinkBytesPerSecond and BytesPerToken determine the duration of a KV transfer.
	LinkBytesPerSecond float64
	BytesPerToken      float64
	// ResultLifetime is the lifetime of a prefill result.
	ResultLifetime time.Duration
	// ReportLag is the maximum age of a load report.
	ReportLag time.Duration
	// CachedPrefixes is the maximum number of entries in the prefix cache.
	CachedPrefixes int
	// Fences makes the engine refuse orders with an outdated fencing token.
	Fences bool
	// WeightsBytes is the size of the weights, the same for every version.
	WeightsBytes int64
}

// DefaultEngine returns the configuration of the reference workload: a decode
// engine holds about twenty requests, a prefill costs as much as many tens of
// output tokens, and its result expires in less than a second.
func DefaultEngine(name string) EngineConfig {
	return EngineConfig{
		Name:               name,
		Pieces:             40,
		TokenRate:          20_000,
		StepBase:           18 * time.Millisecond,
		StepEach:           800 * time.Microsecond,
		LinkBytesPerSecond: 10e9,
		BytesPerToken:      100_000,
		ResultLifetime:     800 * time.Millisecond,
		ReportLag:          200 * time.Millisecond,
		CachedPrefixes:     512,
		Fences:             true,
		WeightsBytes:       20_000_000_000,
	}
}

// job is one attempt (one try of a request) at an engine.
type job struct {
	attempt engine.Attempt
	prompt  string
	tokens  int
	pieces  int
	// cancel ends ctx, and with it the work in progress for the attempt.
	ctx    context.Context
	cancel context.CancelFunc
	// imported is set when the KV cache has arrived completely, answered when
	// the first token was generated.
	imported bool
	answered bool
	// holdIndex is the index of the job's entry in Engine.holds.
	holdIndex int
	// stream is the number of the latest decode stream. A new stream ends the
	// previous one.
	stream int
}

type jobKey struct {
	requestID string
	attempt   int
}

func keyOf(a engine.Attempt) jobKey { return jobKey{a.RequestID, a.Number} }

// Engine is a stand-in for a model engine, for both prefill and decode.
type Engine struct {
	config EngineConfig
	farm   *Farm
	Faults Faults

	prefillGate gate
	linkGate    gate

	mu        sync.Mutex
	results   map[jobKey]*job // prefill results that are not yet exported
	held      map[jobKey]*job // requests in decode memory
	cancelled map[jobKey]bool
	waiting   int
	ledger    Ledger
	report    engine.Load
	reported  time.Time
	events    []engine.CacheEvent
	cached    map[uint64]bool
	// ran is the set of ids of the requests that the engine started to run.
	ran map[string]bool
	// holds is the history of memory reservations.
	holds []Reservation
	// weights is the loaded version of the weights, loading the version that is
	// being loaded, and token the highest fencing token received.
	weights string
	loading string
	token   uint64
	// drainingSince is the time at which Draining was first observed as set.
	drainingSince time.Time
}

func newEngine(farm *Farm, config EngineConfig) *Engine {
	return &Engine{
		config:    config,
		farm:      farm,
		results:   make(map[jobKey]*job),
		held:      make(map[jobKey]*job),
		cancelled: make(map[jobKey]bool),
		cached:    make(map[uint64]bool),
		ran:       make(map[string]bool),
		ledger:    Ledger{WastedTokens: make(map[string]int64)},
	}
}

func (e *Engine) heldLocked() []engine.Held {
	held := make([]engine.Held, 0, len(e.held))
	for _, j := range e.held {
		held = append(held, engine.Held{Attempt: j.attempt, Pieces: j.pieces})
	}
	return held
}

func (e *Engine) freeLocked() int {
	free := e.config.Pieces
	for _, j := range e.held {
		free -= j.pieces
	}
	return free
}

// Cancel ends an attempt and frees its memory. An attempt that arrives later is
// refused.
func (e *Engine) Cancel(attempt engine.Attempt) error {
	key := keyOf(attempt)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled[key] = true
	if j, ok := e.results[key]; ok {
		delete(e.results, key)
		e.wasteLocked(wasteCancelled, j)
		j.cancel()
		e.ledger.Cancelled++
	}
	if j, ok := e.held[key]; ok {
		e.dropHeldLocked(key, j, wasteNoAnswer)
		e.ledger.Cancelled++
	}
	if consume(&e.Faults.LoseCancelReplies) {
		return engine.ErrBroken
	}
	return nil
}

// Load returns a load report that may be up to ReportLag old.
func (e *Engine) Load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.noteDrainingLocked(now)
	if e.reported.IsZero() || now.Sub(e.reported) >= e.config.ReportLag {
		e.reported = now
		e.report = engine.Load{
			Running: len(e.held) + len(e.results), WaitingTokens: e.waiting,
			Pieces: e.config.Pieces, FreePieces: e.freeLocked(),
			Draining: e.Faults.Draining.Load(), Held: e.heldLocked(), Weights: e.weights, Loading: e.loading,
		}
	}
	return e.report
}
