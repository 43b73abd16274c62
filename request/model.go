package request

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
)

// Model is one request to a model service.
type Model struct {
	ID        string
	Model     string
	Team      string
	Prompt    string
	MaxTokens int
	// Operation is the caller's operation id, or nil.
	Operation *operation.ID
}

// modelRun is a model request while it lives.
type modelRun struct {
	*run
	ask      Model
	query    route.Query
	cursor   cursor
	deadline time.Time
	first    time.Time
	last     time.Time
	// decode is the engine whose memory is promised to the attempt.
	decode *route.Rated
	// triedPrefill and triedDecode failed this request before.
	triedPrefill []string
	triedDecode  []string
}

// attemptEnd says how an attempt ended: delivered, or why not.
type attemptEnd struct {
	delivered bool
	// final means that no further attempt would help or is allowed.
	final bool
	why   reason.Reason
}

// RunModel runs a model request to its end. ctx ends when the caller departs.
func (r *Runner) RunModel(ctx context.Context, ask Model, sink Sink) Result {
	view := r.View()
	service := view.Models[ask.Model]
	m := &modelRun{
		run:    r.begin(ask.ID, service, ask.Team, view),
		ask:    ask,
		cursor: cursor{requestID: ask.ID, sink: sink},
	}
	if result, ok := m.open(ask.Operation); !ok {
		return result
	}
	if why := r.refusal(service != nil); why != reason.None {
		return m.giveUp(why, 0)
	}
	m.query = m.newQuery()
	m.record.Prompt = m.query.PromptTokens
	m.deadline = m.record.Arrived.Add(service.TTFT)
	leave, why := r.Admission.Admit(service, view.Teams[ask.Team])
	if why != reason.None {
		return m.giveUp(why, retryAfterBusy)
	}
	defer leave()
	m.step(Admit, reason.None, "")
	r.budget(service.Name).Earn(service.RetryPercent)
	return m.attempts(ctx)
}

func (m *modelRun) newQuery() route.Query {
	tokens := engine.EstimateTokens(len(m.ask.Prompt))
	return route.Query{
		RequestID:    m.ask.ID,
		Zone:         m.Zone,
		PromptTokens: tokens,
		Pieces:       engine.PiecesFor(tokens, m.ask.MaxTokens),
		Prefixes:     route.PrefixHashes(m.ask.Prompt),
	}
}

// attempts tries until the answer is delivered or nothing more may be done.
func (m *modelRun) attempts(ctx context.Context) Result {
	for {
		end := m.once(ctx)
		if ctx.Err() != nil && !end.delivered {
			return m.depart()
		}
		if end.delivered {
			m.step(Deliver, reason.None, "")
			m.measure()
			return m.finish(reason.None, 0)
		}
		if end.final || m.attempt+1 >= m.config.MaxAttempts {
			return m.giveUp(end.why, retryAfterBusy)
		}
		if !m.budget(m.service.Name).Spend() {
			return m.giveUp(reason.RetryBudget, retryAfterBusy)
		}
		m.Metrics.Retried(end.why)
		m.step(Retry, end.why, "")
		m.attempt++
	}
}

// once makes one attempt: reserve, prefill, transfer, decode.
func (m *modelRun) once(ctx context.Context) attemptEnd {
	m.claims.hold(m.holdKey())
	if end, ok := m.reserve(ctx); !ok {
		return end
	}
	release := m.decode
	defer func() { m.Stewards.Release(release.Name, m.holdKey()) }()
	if why := m.witness(ctx); why != reason.None {
		return attemptEnd{final: true, why: why}
	}
	prefill, result, end := m.runPrefill(ctx)
	if prefill == nil {
		return end
	}
	end, ok := m.transfer(ctx, prefill, result)
	release = m.decode
	if !ok {
		m.cancelLater(prefill.Backend.Address, m.engineAttempt())
		return end
	}
	return m.stream(ctx)
}

func (m *modelRun) holdKey() route.HoldKey {
	return route.HoldKey{RequestID: m.ask.ID, Attempt: m.attempt}
}

func (m *modelRun) engineAttempt() engine.Attempt {
	return engine.Attempt{RequestID: m.ask.ID, Number: m.attempt, Home: m.Home}
}

// reserve waits for a promise of decode memory for as long as the first token
// can still come in time, and refuses as soon as it cannot.
func (m *modelRun) reserve(ctx context.Context) (attemptEnd, bool) {
	for {
		if ctx.Err() != nil {
			return attemptEnd{why: reason.CallerGone}, false
		}
		why := m.tryReserve(ctx, m.service.Decode, m.triedDecode)
		if why == reason.None {
			m.step(Promise, reason.None, m.decode.Name)
			return attemptEnd{}, true
		}
		if why == reason.NoBackend && len(m.triedDecode) > 0 {
			m.triedDecode = nil
		}
		if m.tooLate(time.Now()) {
			return attemptEnd{final: true, why: lateReason(why)}, false
		}
		m.pause(ctx, m.config.PollEvery)
	}
}

// lateReason names what a request that ran out of time had waited for.
func lateReason(why reason.Reason) reason.Reason {
	if why == reason.ReserveRefused {
		return reason.NoDecodeMemory
	}
	return why
}

// tooLate says whether the first token can no longer come in time. A request
// that has already begun its answer goes on for a while longer.
func (m *modelRun) tooLate(now time.Time) bool {
	if m.cursor.next > 0 {
		return now.After(m.last.Add(resumePatience))
	}
	return now.Add(m.quickestPrefill(now)).After(m.deadline)
}

// resumePatience is how long a begun answer waits for a place to resume.
const resumePatience = 10 * time.Second

// quickestPrefill estimates the shortest prefill that any engine offers.
func (m *modelRun) quickestPrefill(now time.Time) time.Duration {
	m.query.Now = now
	quickest := time.Duration(0)
	for i, backend := range m.service.Prefill {
		server := m.Fleet.Server(backend.Name)
		if server == nil || server.Breaker.State(now) == route.BreakerOpen {
			continue
		}
		estimate := server.PrefillTime(m.query.PromptTokens)
		if i == 0 || quickest == 0 || estimate < quickest {
			quickest = estimate
		}
	}
	return quickest
}

// tryReserve asks the stewards of decode engines in the order of preference.
func (m *modelRun) tryReserve(ctx context.Context, pool []*table.BackendView, tried []string) reason.Reason {
	query := m.query
	query.Now = time.Now()
	query.Exclude = append([]string(nil), tried...)
	why := reason.NoBackend
	for range pool {
		decision := m.Runner.decode.Decide(&query, m.Fleet, pool)
		if decision.Chosen == nil {
			break
		}
		name := decision.Chosen.Name
		why = m.askSteward(ctx, name)
		if why == reason.None {
			m.note(&decision)
			m.decode = decision.Chosen
			return reason.None
		}
		query.Exclude = append(query.Exclude, name)
	}
	return why
}

func (m *modelRun) askSteward(ctx context.Context, worker string) reason.Reason {
	ctx, cancel := context.WithTimeout(ctx, m.config.ReserveTimeout)
	defer cancel()
	ask := route.Ask{HoldKey: m.holdKey(), Home: m.Home, Pieces: m.query.Pieces, TTL: reservationTTL}
	return m.Stewards.Reserve(ctx, worker, ask).Refused
}

// reservationTTL outlasts a prefill and a transfer within the targets. A
// longer prefill renews it by asking again for the same attempt.
const reservationTTL = 3 * time.Second

// runPrefill reads the prompt on a prefill engine. On failure the first
// result is nil.
func (m *modelRun) runPrefill(ctx context.Context) (*route.Rated, engine.PrefillResult, attemptEnd) {
	query := m.query
	query.Now = time.Now()
	query.Exclude = m.triedPrefill
	query.Partner = m.decode.Backend
	decision := m.Runner.prefill.Decide(&query, m.Fleet, m.service.Prefill)
	m.note(&decision)
	chosen := decision.Chosen
	if chosen == nil {
		return nil, engine.PrefillResult{}, attemptEnd{final: true, why: reason.NoBackend}
	}
	if m.cursor.next == 0 && query.Now.Add(chosen.Server.PrefillTime(query.PromptTokens)).After(m.deadline) {
		return nil, engine.PrefillResult{}, attemptEnd{final: true, why: reason.DeadlineTooClose}
	}
	if !chosen.Server.Breaker.Allow(query.Now) {
		return nil, engine.PrefillResult{}, attemptEnd{why: reason.PrefillRefused}
	}
	m.step(Send, reason.None, chosen.Name)
	result, err := m.orderPrefill(ctx, chosen)
	if err == nil {
		chosen.Server.Breaker.Success()
		m.step(Prefilled, reason.None, chosen.Name)
		return chosen, result, attemptEnd{}
	}
	m.triedPrefill = append(m.triedPrefill, chosen.Name)
	return nil, engine.PrefillResult{}, m.prefillFailed(ctx, chosen, err)
}

func (m *modelRun) orderPrefill(ctx context.Context, chosen *route.Rated) (engine.PrefillResult, error) {
	end := chosen.Server.Begin(m.query.PromptTokens)
	defer end()
	started := time.Now()
	waiting := chosen.Server.WaitingTokens()
	result, err := m.Engines.Prefill(ctx, chosen.Backend.Address, engine.PrefillOrder{
		Attempt: m.engineAttempt(), Model: m.service.Model, Prompt: m.ask.Prompt, Priority: m.service.Priority,
	})
	if err == nil {
		chosen.Server.Prefills.Measure(waiting-result.CachedTokens, time.Since(started))
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
		chosen.Server.Breaker.Failure(time.Now())
	}
	if notRun {
		return attemptEnd{why: reason.PrefillRefused}
	}
	return attemptEnd{why: reason.PrefillFailed}
}

// transfer hands the KV cache to the decode engine, or to another one within
// the window when the first one fails.
func (m *modelRun) transfer(ctx context.Context, prefill *route.Rated, result engine.PrefillResult) (attemptEnd, bool) {
	expires := time.Now().Add(time.Duration(result.WindowMillis) * time.Millisecond)
	for {
		why := m.orderImport(ctx, prefill, result)
		if why == reason.None {
			m.step(Imported, reason.None, m.decode.Name)
			return attemptEnd{}, true
		}
		if ctx.Err() != nil || why == reason.HandoffExpired || time.Now().After(expires) {
			return attemptEnd{why: why}, false
		}
		m.Stewards.Release(m.decode.Name, m.holdKey())
		m.triedDecode = append(m.triedDecode, m.decode.Name)
		if m.tryReserve(ctx, m.service.Decode, m.triedDecode) != reason.None {
			return attemptEnd{why: why}, false
		}
		m.Metrics.Retried(why)
		m.step(Promise, why, m.decode.Name)
	}
}

// importPatience is how many times its expected length a transfer may take.
const importPatience = 4

func (m *modelRun) importTimeout(target *route.Rated) time.Duration {
	expected, known := target.Server.Transfers.Time(m.query.PromptTokens)
	if !known {
		return m.config.ImportTimeout
	}
	return min(max(importPatience*expected, m.config.ShortestImport), m.config.ImportTimeout)
}

func (m *modelRun) orderImport(ctx context.Context, prefill *route.Rated, result engine.PrefillResult) reason.Reason {
	target := m.decode
	ctx, cancel := context.WithTimeout(ctx, m.importTimeout(target))
	defer cancel()
	started := time.Now()
	err := m.Engines.Import(ctx, target.Backend.Address, engine.ImportOrder{
		Attempt: m.engineAttempt(), Source: prefill.Backend.Address, Handle: result.Handle, Pieces: m.query.Pieces,
	})
	switch {
	case err == nil:
		target.Server.Breaker.Success()
		target.Server.Transfers.Measure(result.PromptTokens, time.Since(started))
		return reason.None
	case errors.Is(err, engine.ErrExpired):
		return reason.HandoffExpired
	case errors.Is(err, engine.ErrNoMemory), errors.Is(err, engine.ErrRefused):
		return reason.HandoffRefused
	case errors.Is(err, engine.ErrUnreachable):
		target.Server.Breaker.Failure(time.Now())
		return reason.HandoffFailed
	default:
		target.Server.Breaker.Failure(time.Now())
		m.cancelLater(target.Backend.Address, m.engineAttempt())
		return reason.HandoffFailed
	}
}

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
		m.record.Add(time.Now(), trace.Step{
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
	m.last = time.Now()
	if m.record.Tokens == 0 {
		m.first = m.last
	}
	m.record.Tokens++
	return true
}

// decodeFailed cancels what the engine may still hold.
func (m *modelRun) decodeFailed(ctx context.Context, target *route.Rated) {
	if ctx.Err() == nil {
		target.Server.Breaker.Failure(time.Now())
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
