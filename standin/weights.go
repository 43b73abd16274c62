package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/weightstore"
)

// Weights is a stand-in for the platform's weight store. The fetches in progress
// share its total rate.
type Weights struct {
	// Down makes the store unavailable.
	Down atomic.Bool
	// BytesPerSecond is the total rate. It must be set before the first call.
	BytesPerSecond int64

	mu     sync.Mutex
	sizes  map[string]int64
	used   int64
	ledger WeightsLedger
}

// WeightsLedger is the ledger of the weight store.
type WeightsLedger struct {
	Fetches int   `json:"fetches"`
	Refused int   `json:"refused"`
	Bytes   int64 `json:"bytes"`
}

// weightsRate is the default total rate of the store, in bytes per second.
const weightsRate = 10_000_000_000

// NewWeights returns a store that holds weights of the given sizes, in bytes.
func NewWeights(sizes map[string]int64) *Weights {
	return &Weights{BytesPerSecond: weightsRate, sizes: sizes}
}

// Reserve implements weightstore.Client.
func (w *Weights) Reserve(_ context.Context, name string, bytesPerSecond int64) (weightstore.Ticket, error) {
	if w.Down.Load() {
		return weightstore.Ticket{}, weightstore.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	size, known := w.sizes[name]
	if !known || bytesPerSecond <= 0 {
		return weightstore.Ticket{}, weightstore.ErrUnknown
	}
	if w.used+bytesPerSecond > w.BytesPerSecond {
		w.ledger.Refused++
		return weightstore.Ticket{}, weightstore.ErrBusy
	}
	w.used += bytesPerSecond
	w.ledger.Fetches++
	w.ledger.Bytes += size
	duration := time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
	time.AfterFunc(duration, func() { w.releaseRate(bytesPerSecond) })
	return weightstore.Ticket{
		Weights: weightstore.Weights{Name: name, Bytes: size}, BytesPerSecond: bytesPerSecond,
	}, nil
}

// releaseRate returns the rate of a finished fetch.
func (w *Weights) releaseRate(bytesPerSecond int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used -= bytesPerSecond
}

// Ledger returns a copy of the ledger.
func (w *Weights) Ledger() WeightsLedger {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger
}
