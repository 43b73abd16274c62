package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// Model holds the parameters of one caller's request for a completion by a model service (a
// service whose engines run a model).
type Model struct {
	ID        string
	Model     string
	Team      string
	Prompt    string
	MaxTokens int
	// Operation is the caller's operation ID, or nil.
	Operation *operation.ID
}

// modelRun is a model request in progress.
type modelRun struct {
	*run
	req    Model
	query  route.Query
	cursor cursor
	slot   *route.AdmissionSlot
	// stepsBelowTop is how far the request's priority (that of its service plus that of its
	// team) is below the highest priority in the table.
	stepsBelowTop int
	deadline      time.Time
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	// prefill is the engine at which a turn (a place in the engine's prefill
	// queue) is reserved. decode is the engine at which memory is reserved for
	// the attempt (one try of the request).
	prefill *route.ScoredCandidate
	decode  *route.ScoredCandidate
	// untilArrival is the expected time from the reservation of a turn until
	// the KV cache is at the decode engine.
	untilArrival time.Duration
	// refusedDecision is the last decision after which the steward (the
	// instance that grants reservations at an engine) refused the reservation,
	// or in which every candidate was filtered out.
	refusedDecision *route.Decision
	// triedPrefill and triedDecode name the engines that have failed this
	// request.
	triedPrefill []string
	triedDecode  []string
}

// attemptResult is how an attempt ended: delivered, or the reason why not.
type attemptResult struct {
	delivered bool
	// final means that a further attempt would not help or is not allowed.
	final bool
	why   reason.Reason
}

// RunModel runs a model request to its end. ctx is cancelled when the caller
// disconnects.
func (r *Runner) RunModel(ctx context.Context, req Model, sink Sink) Result {
	view := r.View()
	service := view.Models[req.Model]
	m := &modelRun{
		run:    r.newRun(req.ID, service, req.Team, view),
		req:    req,
		cursor: cursor{requestID: req.ID, sink: sink},
	}
	if result, ok := m.beginOperation(req.Operation); !ok {
		return result
	}
	if why := r.refusal(service != nil); why != reason.None {
		return m.giveUp(why, 0)
	}
	m.query = m.newQuery()
	m.record.Prompt = m.query.PromptTokens
	m.deadline = m.record.Arrived.Add(service.TTFT)
	team := view.Teams[req.Team]
	slot, why := r.Admission.Admit(service, team)
	if why != reason.None {
		return m.giveUp(why, retryAfterBusy)
	}
	defer slot.Release()
	m.slot = slot
	m.stepsBelowTop = view.TopPriority - service.Priority
	if team != nil {
		m.stepsBelowTop -= team.Priority
	}
	m.step(Admit, reason.None, "")
	r.budget(service.Name).Earn(service.RetryPercent)
	return m.runAttempts(ctx)
}

func (m *modelRun) newQuery() route.Query {
	tokens := engine.EstimateTokens(len(m.req.Prompt))
	return route.Query{
		RequestID:    m.req.ID,
		Zone:         m.Zone,
		PromptTokens: tokens,
		Pieces:       engine.PiecesFor(tokens, m.req.MaxTokens),
		Prefixes:     route.PrefixHashes(m.req.Prompt),
	}
}

// runAttempts makes attempts until the answer is delivered or no further
// attempt is allowed.
func (m *modelRun) runAttempts(ctx context.Context) Result {
	for {
		end := m.runAttempt(ctx)
		if ctx.Err() != nil && !end.delivered {
			return m.depart()
		}
		if end.delivered {
			m.step(Deliver, reason.None, "")
			m.observeLatency()
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

// runAttempt makes one attempt: reserve, prefill, transfer, decode.
func (m *modelRun) runAttempt(ctx context.Context) attemptResult {
	m.claims.set(m.holdKey())
	if end, ok := m.reserve(ctx); !ok {
		return end
	}
	defer func() { m.release(m.decode) }()
	if why := m.recordIntent(ctx); why != reason.None {
		m.release(m.prefill)
		return attemptResult{final: true, why: why}
	}
	result, end, ok := m.runPrefill(ctx)
	m.release(m.prefill)
	if !ok {
		return end
	}
	if end, ok := m.transfer(ctx, result); !ok {
		m.cancelInBackground(m.prefill.Backend.Address, m.engineAttempt())
		return end
	}
	return m.stream(ctx)
}

func (m *modelRun) engineAttempt() engine.Attempt {
	return engine.Attempt{RequestID: m.req.ID, Number: m.attempt, Home: m.Home}
}
