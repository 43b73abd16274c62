package standin

import (
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// Order starts to load weights. If fencing is on, the engine refuses an order
// with a lower fencing token than an earlier one. Otherwise it accepts every
// order.
func (e *Engine) Order(order engine.WeightsOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := order.Token < e.token
	if stale && e.config.Fences {
		e.ledger.StaleRefused++
		return engine.ErrStale
	}
	if stale {
		e.ledger.StaleAccepted++
	}
	e.token = max(e.token, order.Token)
	e.ledger.Orders++
	e.loading = order.Weights
	seconds := float64(e.config.WeightsBytes) / float64(max(order.BytesPerSecond, 1))
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() { e.finishLoading(order.Weights) })
	return nil
}

// finishLoading marks weights as loaded unless a later order replaced them.
func (e *Engine) finishLoading(weights string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading == weights {
		e.weights, e.loading = weights, ""
	}
}

// Weights returns the loaded version of the weights.
func (e *Engine) Weights() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// SetFences sets whether the engine refuses orders with an outdated fencing
// token.
func (e *Engine) SetFences(fences bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.Fences = fences
}
