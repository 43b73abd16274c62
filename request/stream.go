package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/trace"
)

// stream delivers the tokens of the decode engine to the caller. A broken
// stream is resumed at the same engine, which still has the KV cache, before
// the attempt fails.
func (m *modelRun) stream(ctx context.Context) attemptResult {
	target := m.decode
	end := target.Server.RequestSent(0)
	defer end()
	why := reason.None
	for range maxResumes + 1 {
		before := m.cursor.next
		if why = m.streamOnce(ctx, target); why == reason.None {
			target.Server.Breaker.Success()
			return attemptResult{delivered: true}
		}
		if ctx.Err() != nil || (why == reason.DecodeFailed && before == m.cursor.next) {
			break
		}
		m.Metrics.Retried(reason.StreamResumed)
		m.record.Add(clock.Now(), trace.Step{
			Attempt: m.attempt, State: m.life.State().String(), Reason: reason.StreamResumed, Server: target.Name,
		})
	}
	m.decodeFailed(ctx, target)
	return attemptResult{why: why}
}

// maxResumes bounds how often a stream is resumed at one engine.
const maxResumes = 2

// streamOnce reads one stream to its end, or returns the reason why it ended
// early.
func (m *modelRun) streamOnce(ctx context.Context, target *route.ScoredCandidate) reason.Reason {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watchdog := time.AfterFunc(m.config.TokenTimeout, stop)
	defer watchdog.Stop()
	stream, err := m.Engines.Decode(ctx, target.Backend.Address, engine.DecodeOrder{
		Attempt: m.engineAttempt(), From: m.cursor.next, MaxTokens: m.req.MaxTokens, Priority: m.service.Priority,
	})
	if err != nil {
		return reason.DecodeFailed
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err != nil {
			return reason.StreamBroken
		}
		watchdog.Reset(m.config.TokenTimeout)
		if !m.deliverToken(token) {
			return reason.StreamBroken
		}
		if token.Last && m.cursor.next > token.Position {
			return reason.None
		}
	}
}

// deliverToken offers one token to the cursor. It returns false when the stream
// must not be read further.
func (m *modelRun) deliverToken(token engine.Token) bool {
	if !m.config.Protect.MatchTokens {
		m.cursor.next = token.Position
		token.RequestID, token.Number = m.req.ID, m.attempt
	}
	dropped, err := m.cursor.offer(m.attempt, token)
	if err != nil {
		return false
	}
	if dropped != reason.None {
		m.Metrics.Dropped(dropped)
		return true
	}
	m.lastTokenAt = clock.Now()
	if m.record.Tokens == 0 {
		m.firstTokenAt = m.lastTokenAt
	}
	m.record.Tokens++
	return true
}

// decodeFailed cancels the attempt at an engine that may still work on it.
func (m *modelRun) decodeFailed(ctx context.Context, target *route.ScoredCandidate) {
	if ctx.Err() == nil {
		target.Server.Breaker.Failure(clock.Now())
		m.triedDecode = append(m.triedDecode, target.Name)
	}
	m.cancelInBackground(target.Backend.Address, m.engineAttempt())
}

// observeLatency records the latencies of a delivered answer in the metrics.
func (m *modelRun) observeLatency() {
	m.Metrics.FirstToken.WithLabelValues(m.service.Name).Observe(m.firstTokenAt.Sub(m.record.Arrived).Seconds())
	if m.record.Tokens > 1 {
		between := m.lastTokenAt.Sub(m.firstTokenAt).Seconds() / float64(m.record.Tokens-1)
		m.Metrics.BetweenTokens.WithLabelValues(m.service.Name).Observe(between)
	}
}
