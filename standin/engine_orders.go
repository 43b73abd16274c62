package standin

import (
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// Order begins to load weights. An engine that fences refuses an order with a
// lower token than it has seen; another takes whatever comes last.
func (e *Engine) Order(order engine.WeightsOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Token < e.token
	if stale && e.config.Fences {
		e.ledger.StaleRefused++
		return engine.ErrStale
	}
	if stale {
		e.ledger.StaleTaken++
	}
	e.token = max(e.token, order.Token)
	e.ledger.Orders++
	e.loading = order.Weights
	seconds := float64(e.config.WeightsBytes) / float64(max(order.BytesPerSecond, 1))
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { e.loaded(order.Weights) })
	return nil
}

func (e *Engine) loaded(weights string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading == weights {
		e.weights, e.loading = weights, ""
	}
}

// Weights returns the version that is loaded.
func (e *Engine) Weights() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// SetFences says whether the engine refuses orders with an old fencing token.
func (e *Engine) SetFences(fences bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.Fences = fences
}
