package request

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
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
	ask    Model
	query  route.Query
	cursor cursor
	place  *route.Place
	// below is how many steps the priority is below the highest.
	below    int
	deadline time.Time
	first    time.Time
	last     time.Time
	// prefill is the engine that promised a turn, and decode the one whose
	// memory is promised to the attempt.
	prefill *route.Rated
	decode  *route.Rated
	turn    turn
	// refused is the last choice whose steward did not promise a place.
	refused *route.Decision
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
	team := view.Teams[ask.Team]
	place, why := r.Admission.Admit(service, team)
	if why != reason.None {
		return m.giveUp(why, retryAfterBusy)
	}
	defer place.Leave()
	m.place = place
	m.below = view.TopPriority - service.Priority
	if team != nil {
		m.below -= team.Priority
	}
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
	defer func() { m.release(m.decode) }()
	if why := m.witness(ctx); why != reason.None {
		m.release(m.prefill)
		return attemptEnd{final: true, why: why}
	}
	result, end, ok := m.runPrefill(ctx)
	m.release(m.prefill)
	if !ok {
		return end
	}
	if end, ok := m.transfer(ctx, result); !ok {
		m.cancelLater(m.prefill.Backend.Address, m.engineAttempt())
		return end
	}
	return m.stream(ctx)
}

// release gives promised memory back.
func (m *modelRun) release(worker *route.Rated) {
	if m.config.Policy.Reserve {
		m.Stewards.Release(worker.Name, m.holdKey())
	}
}

func (m *modelRun) holdKey() route.HoldKey {
	return route.HoldKey{RequestID: m.ask.ID, Attempt: m.attempt}
}

func (m *modelRun) engineAttempt() engine.Attempt {
	return engine.Attempt{RequestID: m.ask.ID, Number: m.attempt, Home: m.Home}
}

// reserve waits for a turn at a prefill engine and a promise of decode memory
// for as long as the first token can still come in time, and refuses as soon
// as it cannot.
func (m *modelRun) reserve(ctx context.Context) (attemptEnd, bool) {
	waited := reason.None
	for {
		if ctx.Err() != nil {
			return attemptEnd{why: reason.CallerGone}, false
		}
		why := m.tryReserve(ctx)
		if why == reason.None {
			m.step(Promise, reason.None, m.decode.Name)
			return attemptEnd{}, true
		}
		if m.giveUpWaiting(why, time.Now()) {
			m.noteRefused(why)
			return attemptEnd{final: true, why: lateReason(why, waited)}, false
		}
		waited = why
		m.pause(ctx, m.config.PollEvery)
	}
}

// noteRefused records the last choice in vain, for the operator to see.
func (m *modelRun) noteRefused(why reason.Reason) {
	if m.refused == nil {
		return
	}
	m.record.Add(time.Now(), trace.Step{
		Attempt: m.attempt, State: m.life.State().String(), Reason: why, Server: m.refused.Pick, Choice: m.refused,
	})
}

// tryReserve asks once for both places. The turn at the prefill engine comes
// first, since it says when the memory will be needed.
func (m *modelRun) tryReserve(ctx context.Context) reason.Reason {
	if why := m.reservePrefill(ctx); why != reason.None {
		return why
	}
	why := m.reserveDecode(ctx)
	if why != reason.None {
		m.release(m.prefill)
	}
	return why
}

// lateReason names what a request that ran out of time had waited for.
func lateReason(why, waited reason.Reason) reason.Reason {
	if why == reason.ReserveRefused || waited == reason.ReserveRefused {
		return reason.NoDecodeMemory
	}
	return why
}

// giveUpWaiting says whether waiting for places is of no more use. A turn
// that comes too late only comes later still. A request that has already
// begun its answer goes on for a while longer.
func (m *modelRun) giveUpWaiting(why reason.Reason, now time.Time) bool {
	if why == reason.NoBackend {
		// Servers that failed once may be better than none.
		m.triedDecode, m.triedPrefill = nil, nil
	}
	if m.cursor.next > 0 {
		return now.After(m.last.Add(resumePatience))
	}
	if why == reason.DeadlineTooClose && m.config.Policy.RefuseEarly {
		return true
	}
	return now.After(m.deadline)
}

// resumePatience is how long a begun answer waits for a place to resume.
const resumePatience = 10 * time.Second

// turn is a place in a prefill engine's queue.
type turn struct {
	// landIn is when the KV cache is expected at the decode engine.
	landIn time.Duration
}

// reservePrefill asks the stewards of prefill engines for a turn, in the
// order of preference.
func (m *modelRun) reservePrefill(ctx context.Context) reason.Reason {
	query := m.query
	query.Now = time.Now()
	query.Exclude = append([]string(nil), m.triedPrefill...)
	query.Partner = nil
	why := reason.NoBackend
	for range m.service.Prefill {
		decision := m.Runner.prefill.Decide(&query, m.Fleet, m.service.Prefill)
		chosen := decision.Chosen
		if chosen == nil {
			break
		}
		if why = m.askTurn(ctx, chosen, &query); why == reason.None {
			m.note(&decision)
			m.prefill = chosen
			return reason.None
		}
		m.refused = &decision
		query.Exclude = append(query.Exclude, chosen.Name)
	}
	return why
}

// askTurn asks for a turn that ends before the first token is due.
func (m *modelRun) askTurn(ctx context.Context, chosen *route.Rated, query *route.Query) reason.Reason {
	unread := query.Unread(chosen.Candidate)
	reading := chosen.Server.ReadTime(unread)
	transfer := m.transferTime()
	if !m.config.Policy.Reserve {
		m.turn.landIn = reading + transfer
		return reason.None
	}
	mostAhead := anyAhead
	if m.cursor.next == 0 {
		slack := m.deadline.Sub(query.Now) - reading - transfer - firstStep
		if slack < 0 {
			return reason.DeadlineTooClose
		}
		mostAhead = chosen.Server.ReadTokens(slack)
	}
	grant := m.askSteward(ctx, chosen.Name, route.Ask{
		HoldKey: m.holdKey(), Tokens: max(unread, 1), MostAhead: mostAhead, TTL: reservationTTL,
	})
	m.turn.landIn = chosen.Server.ReadTime(grant.Ahead+unread) + transfer
	return grant.Refused
}

const (
	// anyAhead lets a begun answer resume however long the queue is.
	anyAhead = 1 << 40
	// firstStep is the time of the first decode step.
	firstStep = 40 * time.Millisecond
	// reservationTTL outlasts a prefill and a transfer within the targets.
	reservationTTL = 3 * time.Second
)

// transferTime estimates the transfer by what was measured at any engine.
func (m *modelRun) transferTime() time.Duration {
	for _, backend := range m.service.Decode {
		server := m.Fleet.Server(backend.Name)
		if server == nil {
			continue
		}
		if estimate, known := server.Transfers.Time(m.query.PromptTokens); known {
			return estimate
		}
	}
	return 0
}

// reserveDecode asks the stewards of decode engines for memory, in the order
// of preference.
func (m *modelRun) reserveDecode(ctx context.Context) reason.Reason {
	query := m.query
	query.Now = time.Now()
	query.Exclude = append([]string(nil), m.triedDecode...)
	query.Partner = m.prefill.Backend
	why := reason.NoBackend
	for range m.service.Decode {
		decision := m.Runner.decode.Decide(&query, m.Fleet, m.service.Decode)
		if decision.Chosen == nil {
			break
		}
		if why = m.askMemory(ctx, decision.Chosen.Name); why == reason.None {
			m.note(&decision)
			m.decode = decision.Chosen
			return reason.None
		}
		m.refused = &decision
		query.Exclude = append(query.Exclude, decision.Chosen.Name)
	}
	return why
}

func (m *modelRun) askMemory(ctx context.Context, worker string) reason.Reason {
	if !m.config.Policy.Reserve {
		return reason.None
	}
	return m.askSteward(ctx, worker, route.Ask{
		HoldKey: m.holdKey(), Pieces: m.query.Pieces, TTL: m.turn.landIn + reservationTTL,
		LandIn: m.turn.landIn, HoldFor: m.holdTime(), Headroom: m.headroom(),
	}).Refused
}

// headroom is the memory that must stay free for others. A begun answer
// yields to nobody.
func (m *modelRun) headroom() int {
	if m.cursor.next > 0 {
		return 0
	}
	return route.Headroom(m.place.OverShare(), m.below)
}

// holdTime is how long the decode engine is expected to hold the request, at
// the pace that the target allows. The pace that was measured is a little
// quicker, and promising by it ends in transfers that find no memory.
func (m *modelRun) holdTime() time.Duration {
	return time.Duration(m.ask.MaxTokens-m.cursor.next) * m.service.TBT
}

func (m *modelRun) askSteward(ctx context.Context, worker string, ask route.Ask) route.Grant {
	ctx, cancel := context.WithTimeout(ctx, m.config.ReserveTimeout)
	defer cancel()
	return m.Stewards.Reserve(ctx, worker, ask)
}

// runPrefill reads the prompt on the prefill engine that promised a turn.
func (m *modelRun) runPrefill(ctx context.Context) (engine.PrefillResult, attemptEnd, bool) {
	chosen := m.prefill
	if !chosen.Server.Breaker.Allow(time.Now()) {
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
	started := time.Now()
	alone := chosen.Server.InFlight() == 1 && chosen.Server.WaitingTokens() <= m.query.PromptTokens
	result, err := m.Engines.Prefill(ctx, chosen.Backend.Address, engine.PrefillOrder{
		Attempt: m.engineAttempt(), Model: m.service.Model, Prompt: m.ask.Prompt, Priority: m.service.Priority,
	})
	if err == nil && alone {
		chosen.Server.Prefills.Measure(result.PromptTokens-result.CachedTokens, time.Since(started))
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
func (m *modelRun) transfer(ctx context.Context, result engine.PrefillResult) (attemptEnd, bool) {
	expires := time.Now().Add(time.Duration(result.WindowMillis) * time.Millisecond)
	for {
		why := m.orderImport(ctx, result)
		if why == reason.None {
			m.step(Imported, reason.None, m.decode.Name)
			return attemptEnd{}, true
		}
		if ctx.Err() != nil || why == reason.HandoffExpired || time.Now().After(expires) {
			return attemptEnd{why: why}, false
		}
		if why == reason.HandoffNoMemory && m.waitForMemory(ctx, expires) {
			continue
		}
		m.release(m.decode)
		m.triedDecode = append(m.triedDecode, m.decode.Name)
		m.turn.landIn = 0
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
	if !m.config.Policy.Reserve || time.Until(expires) < memoryPatience {
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
	started := time.Now()
	err := m.Engines.Import(ctx, target.Backend.Address, engine.ImportOrder{
		Attempt: m.engineAttempt(), Source: m.prefill.Backend.Address, Handle: result.Handle, Pieces: m.query.Pieces,
	})
	switch {
	case err == nil:
		target.Server.Breaker.Success()
		target.Server.Transfers.Measure(result.PromptTokens, time.Since(started))
		return reason.None
	case errors.Is(err, engine.ErrExpired):
		return reason.HandoffExpired
	case errors.Is(err, engine.ErrNoMemory):
		return reason.HandoffNoMemory
	case errors.Is(err, engine.ErrRefused):
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
