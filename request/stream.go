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

// stream passes the decode engine's tokens to the caller. A stream that breaks
// is taken up again at the same engine, which still has the KV cache, before
// the attempt is given up.
func (m *modelRun) stream(ctx context.Context) attemptEnd {
	target := m.decode
	end := target.Server.Begin(0)
	defer end()
	why := reason.None
	for range maxResumes + 1 {
		before := m.cursor.next
		if why = m.streamOnce(ctx, target); why == reason.None {
			target.Server.Breaker.Success()
			return attemptEnd{delivered: true}
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
	return attemptEnd{why: why}
}

// maxResumes bounds how often a stream is taken up again at one engine.
const maxResumes = 2

// streamOnce reads one stream to its end, or returns why it ended early.
func (m *modelRun) streamOnce(ctx context.Context, target *route.Rated) reason.Reason {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	watchdog := time.AfterFunc(m.config.TokenTimeout, stop)
	defer watchdog.Stop()
	stream, err := m.Engines.Decode(ctx, target.Backend.Address, engine.DecodeOrder{
		Attempt: m.engineAttempt(), From: m.cursor.next, MaxTokens: m.ask.MaxTokens, Priority: m.service.Priority,
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
		if !m.pass(token) {
			return reason.StreamBroken
		}
		if token.Last && m.cursor.next > token.Position {
			return reason.None
		}
	}
}

// pass offers one token to the cursor. It returns false when the stream is of
// no further use.
func (m *modelRun) pass(token engine.Token) bool {
	if !m.config.Protect.Match {
		m.cursor.next = token.Position
		token.RequestID, token.Number = m.ask.ID, m.attempt
	}
	dropped, err := m.cursor.offer(m.attempt, token)
	if err != nil {
		return false
	}
	if dropped != reason.None {
		m.Metrics.Dropped(dropped)
		return true
	}
	m.last = clock.Now()
	if m.record.Tokens == 0 {
		m.first = m.last
	}
	m.record.Tokens++
	return true
}

// decodeFailed cancels what the engine may still hold.
func (m *modelRun) decodeFailed(ctx context.Context, target *route.Rated) {
	if ctx.Err() == nil {
		target.Server.Breaker.Failure(clock.Now())
		m.triedDecode = append(m.triedDecode, target.Name)
	}
	m.cancelLater(target.Backend.Address, m.engineAttempt())
}

// measure feeds the latencies of a delivered answer into the metrics.
func (m *modelRun) measure() {
	m.Metrics.FirstToken.WithLabelValues(m.service.Name).Observe(m.first.Sub(m.record.Arrived).Seconds())
	if m.record.Tokens > 1 {
		between := m.last.Sub(m.first).Seconds() / float64(m.record.Tokens-1)
		m.Metrics.BetweenTokens.WithLabelValues(m.service.Name).Observe(between)
	}
}
