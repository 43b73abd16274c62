package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
)

// cancelInBackground cancels an attempt at an engine without delaying the
// request. The cancel is repeated until the engine confirms it or
// Config.CancelFor has passed.
func (r *Runner) cancelInBackground(address string, attempt engine.Attempt) {
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

// retryAfterBusy is the Retry-After of a refusal for lack of capacity. It is
// about the time in which a decode engine frees the memory of one request.
const retryAfterBusy = time.Second
