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

// runPrefill reads the prompt on the prefill engine that promised a turn.
func (m *modelRun) runPrefill(ctx context.Context) (engine.PrefillResult, attemptEnd, bool) {
	chosen := m.prefill
	if !chosen.Server.Breaker.Allow(clock.Now()) {
		return engine.PrefillResult{}, attemptEnd{why: reason.PrefillRefused}, false
	}
	m.step(Send, reason.None, chosen.Name)
	result, err := m.orderPrefill(ctx, chosen)
	if err == nil {
		chosen.Server.Breaker.Success()
		m.step(Prefilled, reason.None, chosen.Name)
		return result, attemptEnd{}, true
	}
	m.triedPrefill = append(m.triedPrefill, chosen.Name)
	return engine.PrefillResult{}, m.prefillFailed(ctx, chosen, err), false
}

func (m *modelRun) orderPrefill(ctx context.Context, chosen *route.Rated) (engine.PrefillResult, error) {
	end := chosen.Server.Begin(m.query.PromptTokens)
	defer end()
	started := clock.Now()
	alone := chosen.Server.InFlight() == 1 && chosen.Server.WaitingTokens() <= m.query.PromptTokens
	result, err := m.Engines.Prefill(ctx, chosen.Backend.Address, engine.PrefillOrder{
		Attempt: m.engineAttempt(), Model: m.service.Model, Prompt: m.ask.Prompt, Priority: m.service.Priority,
	})
	if err == nil && alone {
		chosen.Server.Prefills.Measure(result.PromptTokens-result.CachedTokens, clock.Since(started))
	}
	return result, err
}

func (m *modelRun) prefillFailed(ctx context.Context, chosen *route.Rated, err error) attemptEnd {
	notRun := errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRefused)
	if notRun {
		m.step(Disclaim, reason.PrefillRefused, chosen.Name)
	} else {
		m.cancelLater(chosen.Backend.Address, m.engineAttempt())
	}
	if ctx.Err() != nil {
		return attemptEnd{why: reason.CallerGone}
	}
	if !errors.Is(err, engine.ErrRefused) {
		chosen.Server.Breaker.Failure(clock.Now())
	}
	if notRun {
		return attemptEnd{why: reason.PrefillRefused}
	}
	return attemptEnd{why: reason.PrefillFailed}
}

// transfer hands the KV cache to the decode engine, or to another one within
// the window when the first one fails.
func (m *modelRun) transfer(ctx context.Context, result engine.PrefillResult) (attemptEnd, bool) {
	expires := clock.Now().Add(time.Duration(result.WindowMillis) * time.Millisecond)
	for {
		why := m.orderImport(ctx, result)
		if why == reason.None {
			m.step(Imported, reason.None, m.decode.Name)
			return attemptEnd{}, true
		}
		if ctx.Err() != nil || why == reason.HandoffExpired || clock.Now().After(expires) {
			return attemptEnd{why: why}, false
		}
		if why == reason.HandoffNoMemory && m.waitForMemory(ctx, expires) {
			continue
		}
		m.release(m.decode)
		m.triedDecode = append(m.triedDecode, m.decode.Name)
		m.landIn = 0
		if m.reserveDecode(ctx) != reason.None {
			return attemptEnd{why: why}, false
		}
		m.Metrics.Retried(why)
		m.step(Promise, why, m.decode.Name)
	}
}

// waitForMemory waits a little for memory that was promised and is not free
// yet: whoever holds it is expected to end. It returns false when half of the
// window is over and another engine had better be tried.
func (m *modelRun) waitForMemory(ctx context.Context, expires time.Time) bool {
	if !m.config.Policy.Reserve || clock.Until(expires) < memoryPatience {
		return false
	}
	return m.pause(ctx, m.config.PollEvery)
}

// memoryPatience is the part of the window that is left for another engine.
const memoryPatience = 400 * time.Millisecond

// importPatience is how many times its expected length a transfer may take.
const importPatience = 4

func (m *modelRun) importTimeout(target *route.Rated) time.Duration {
	expected, known := target.Server.Transfers.Time(m.query.PromptTokens)
	if !known {
		return m.config.ImportTimeout
	}
	return min(max(importPatience*expected, m.config.ShortestImport), m.config.ImportTimeout)
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
		m.cancelLater(target.Backend.Address, m.engineAttempt())
		return reason.HandoffFailed
	}
}
