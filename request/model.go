package request

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
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
	// landIn is when, from the promise of a turn on, the KV cache is expected
	// at the decode engine.
	landIn time.Duration
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

func (m *modelRun) engineAttempt() engine.Attempt {
	return engine.Attempt{RequestID: m.ask.ID, Number: m.attempt, Home: m.Home}
}
