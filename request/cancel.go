package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// cancelLater cancels an attempt at an engine, again and again until the
// engine confirms it. The request does not wait for that.
func (r *Runner) cancelLater(address string, attempt engine.Attempt) {
	if !r.config.Protect.Cancel {
		return
	}
	r.Metrics.CancelsPending.Inc()
	r.cancels.Go(func() {
		defer r.Metrics.CancelsPending.Dec()
		r.cancelUntilConfirmed(address, attempt)
	})
}

func (r *Runner) cancelUntilConfirmed(address string, attempt engine.Attempt) {
	ctx, stop := context.WithTimeout(context.Background(), r.config.CancelFor)
	defer stop()
	for {
		r.Metrics.CancelTries.Inc()
		if r.cancelOnce(ctx, address, attempt) == nil || !r.pause(ctx, r.config.CancelEvery) {
			return
		}
	}
}

func (r *Runner) cancelOnce(ctx context.Context, address string, attempt engine.Attempt) error {
	ctx, stop := context.WithTimeout(ctx, min(engine.CancelTimeout, r.config.CancelFor))
	defer stop()
	return r.Engines.Cancel(ctx, address, attempt)
}

// retryAfterBusy is when a caller may come back after a refusal for want of
// room: about the time in which a decode engine frees a place.
const retryAfterBusy = time.Second
