package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/weightstore"
)

// Weights is the stand-in of the platform's weight store. Its whole rate is
// shared by the fetches under way.
type Weights struct {
	// Down makes the store answer nothing.
	Down atomic.Bool
	// BytesPerSecond is the whole rate; set it before use.
	BytesPerSecond int64

	mu     sync.Mutex
	sizes  map[string]int64
	used   int64
	ledger WeightsLedger
}

// WeightsLedger is what really happened at the weight store.
type WeightsLedger struct {
	Fetches int   `json:"fetches"`
	Refused int   `json:"refused"`
	Bytes   int64 `json:"bytes"`
}

// weightsRate is the usual whole rate of the store, in bytes a second.
const weightsRate = 10_000_000_000

// NewWeights returns a store that holds weights of these sizes, in bytes.
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
	took := time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
	time.AfterFunc(took, func() { w.end(bytesPerSecond) })
	return weightstore.Ticket{
		Weights: weightstore.Weights{Name: name, Bytes: size}, BytesPerSecond: bytesPerSecond,
	}, nil
}

func (w *Weights) end(bytesPerSecond int64) {
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
