package request

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// runPrefill prefills the prompt on the engine at which a turn (a place in the
// engine's prefill queue) is reserved.
func (m *modelRun) runPrefill(ctx context.Context) (engine.PrefillResult, attemptResult, bool) {
	selected := m.prefill
	if !selected.Server.Breaker.Allow(clock.Now()) {
		return engine.PrefillResult{}, attemptResult{why: reason.PrefillRefused}, false
	}
	m.step(Send, reason.None, selected.Name)
	result, err := m.orderPrefill(ctx, selected)
	if err == nil {
		selected.Server.Breaker.Success()
		m.step(Prefilled, reason.None, selected.Name)
		return result, attemptResult{}, true
	}
	m.triedPrefill = append(m.triedPrefill, selected.Name)
	return engine.PrefillResult{}, m.prefillFailed(ctx, selected, err), false
}

func (m *modelRun) orderPrefill(ctx context.Context, selected *route.ScoredCandidate) (engine.PrefillResult, error) {
	end := selected.Server.RequestSent(m.query.PromptTokens)
	defer end()
	started := clock.Now()
	alone := selected.Server.InFlight() == 1 && selected.Server.WaitingTokens() <= m.query.PromptTokens
	result, err := m.Engines.Prefill(ctx, selected.Backend.Address, engine.PrefillOrder{
		Attempt: m.engineAttempt(), Model: m.service.Model, Prompt: m.req.Prompt, Priority: m.service.Priority,
	})
	if err == nil && alone {
		selected.Server.Prefills.Measure(result.PromptTokens-result.CachedTokens, clock.Since(started))
	}
	return result, err
}

func (m *modelRun) prefillFailed(ctx context.Context, selected *route.ScoredCandidate, err error) attemptResult {
	notRun := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRefused)
	if notRun {
		m.step(Disclaim, reason.PrefillRefused, selected.Name)
	} else {
		m.cancelInBackground(selected.Backend.Address, m.engineAttempt())
	}
	if ctx.Err() != nil {
		return attemptResult{why: reason.CallerGone}
	}
	if !errors.Is(err, engine.ErrRefused) {
		selected.Server.Breaker.Failure(clock.Now())
	}
	if notRun {
		return attemptResult{why: reason.PrefillRefused}
	}
	return attemptResult{why: reason.PrefillFailed}
}

// transfer sends the KV cache to the decode engine. When that fails, it tries
// another decode engine within the window in which the prefill engine keeps the
// KV cache.
func (m *modelRun) transfer(ctx context.Context, result engine.PrefillResult) (attemptResult, bool) {
	expires := clock.Now().Add(time.Duration(result.WindowMillis) * time.Millisecond)
	for {
		why := m.orderImport(ctx, result)
		if why == reason.None {
			m.step(Imported, reason.None, m.decode.Name)
			return attemptResult{}, true
		}
		if ctx.Err() != nil || why == reason.HandoffExpired || clock.Now().After(expires) {
			return attemptResult{why: why}, false
		}
		if why == reason.HandoffNoMemory && m.waitForMemory(ctx, expires) {
			continue
		}
		m.release(m.decode)
		m.triedDecode = append(m.triedDecode, m.decode.Name)
		m.untilArrival = 0
		if m.reserveDecode(ctx) != reason.None {
			return attemptResult{why: why}, false
		}
		m.Metrics.Retried(why)
		m.step(ReservationGranted, why, m.decode.Name)
	}
}

// waitForMemory pauses for memory that is reserved but not free yet, since the
// request that uses it is expected to end. It returns false when less than
// windowForOtherEngine is left, so that another engine is tried.
func (m *modelRun) waitForMemory(ctx context.Context, expires time.Time) bool {
	if !m.config.Policy.Reserve || clock.Until(expires) < windowForOtherEngine {
		return false
	}
	return m.pause(ctx, m.config.PollEvery)
}

// windowForOtherEngine is the time that is kept for a transfer to another decode engine. It
// is half of the 800 ms for which a prefill engine usually keeps the KV cache.
const windowForOtherEngine = 400 * time.Millisecond

// importTimeoutFactor is the ratio of the timeout of a transfer to its expected
// time.
const importTimeoutFactor = 4

func (m *modelRun) importTimeout(target *route.ScoredCandidate) time.Duration {
	expected, known := target.Server.Transfers.Time(m.query.PromptTokens)
	if !known {
		return m.config.ImportTimeout
	}
	return min(max(importTimeoutFactor*expected, m.config.ShortestImport), m.config.ImportTimeout)
}

func (m *modelRun) orderImport(ctx context.Context, result engine.PrefillResult) reason.Reason {
	target := m.decode
	ctx, cancel := context.WithTimeout(ctx, m.importTimeout(target))
	defer cancel()
	started := clock.Now()
	err := m.Engines.Import(ctx, target.Backend.Address, engine.ImportOrder{
		Attempt: m.engineAttempt(), Source: m.prefill.Backend.Address, Handle: result.Handle, Pieces: m.query.Pieces,
	})
	switch {
	case err == nil:
		target.Server.Breaker.Success()
		target.Server.Transfers.Measure(result.PromptTokens, clock.Since(started))
		return reason.None
	case errors.Is(err, engine.ErrExpired):
		return reason.HandoffExpired
	case errors.Is(err, engine.ErrNoMemory):
		return reason.HandoffNoMemory
	case errors.Is(err, engine.ErrRefused):
		return reason.HandoffRefused
	case errors.Is(err, engine.ErrUnreachable):
		target.Server.Breaker.Failure(clock.Now())
		return reason.HandoffFailed
	default:
		target.Server.Breaker.Failure(clock.Now())
		m.cancelInBackground(target.Backend.Address, m.engineAttempt())
		return reason.HandoffFailed
	}
}
