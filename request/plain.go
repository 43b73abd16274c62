package request

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/table"
)

// Plain is one call to a plain service.
type Plain struct {
	ID      string
	Service string
	Team    string
	Call    service.Call
	// Idempotent says that the call may be repeated after a loss (RFC 9110,
	// section 9.2.2).
	Idempotent bool
	Operation  *operation.ID
}

// plainRun is a plain call while it lives.
type plainRun struct {
	*run
	ask   Plain
	tried []string
}

// RunPlain runs a plain call to its end. The answer is valid when the outcome
// is done.
func (r *Runner) RunPlain(ctx context.Context, ask Plain) (service.Answer, Result) {
	view := r.View()
	row := view.Services[ask.Service]
	p := &plainRun{run: r.begin(ask.ID, row, ask.Team, view), ask: ask}
	if result, ok := p.open(ask.Operation); !ok {
		return p.kept(result)
	}
	if why := r.refusal(row != nil && row.Type == table.TypePlain); why != reason.None {
		return service.Answer{}, p.giveUp(why, 0)
	}
	place, why := r.Admission.Admit(row, view.Teams[ask.Team])
	if why != reason.None {
		return service.Answer{}, p.giveUp(why, retryAfterBusy)
	}
	defer place.Leave()
	p.step(Admit, reason.None, "")
	if why := p.witness(ctx); why != reason.None {
		return service.Answer{}, p.giveUp(why, retryAfterBusy)
	}
	r.budget(row.Name).Earn(row.RetryPercent)
	return p.attempts(ctx)
}

func (p *plainRun) attempts(ctx context.Context) (service.Answer, Result) {
	for {
		answer, end := p.once(ctx)
		if ctx.Err() != nil && !end.delivered {
			return service.Answer{}, p.depart()
		}
		if end.delivered {
			p.step(Deliver, reason.None, "")
			p.keep(ctx, answer)
			return answer, p.finish(reason.None, 0)
		}
		if end.final || p.attempt+1 >= p.config.MaxAttempts {
			return service.Answer{}, p.giveUp(end.why, retryAfterBusy)
		}
		if !p.budget(p.service.Name).Spend() {
			return service.Answer{}, p.giveUp(reason.RetryBudget, retryAfterBusy)
		}
		p.Metrics.Retried(end.why)
		p.attempt++
		p.pause(ctx, p.config.PollEvery)
	}
}

// mostKept bounds an answer that is kept for a caller who comes back, in
// bytes; of a longer one it learns the outcome alone.
const mostKept = 64 << 10

// keep holds the answer for a caller that has gone while the call ran.
func (p *plainRun) keep(ctx context.Context, answer service.Answer) {
	if p.op != nil && ctx.Err() != nil && len(answer.Body) <= mostKept {
		p.Operations.Keep(*p.op, answer)
	}
}

// kept answers a caller that has come back with the id of a call that ended
// while it was gone. Each answer is handed over once.
func (p *plainRun) kept(result Result) (service.Answer, Result) {
	if result.Reason != reason.AlreadyAnswered {
		return service.Answer{}, result
	}
	answer, ok := p.Operations.Take(*p.ask.Operation)
	if !ok {
		return service.Answer{}, result
	}
	result.Outcome, result.Reason = reason.Done, reason.None
	return answer.(service.Answer), result
}

// once sends the call to one backend server.
func (p *plainRun) once(ctx context.Context) (service.Answer, attemptEnd) {
	query := route.Query{RequestID: p.ask.ID, Zone: p.Zone, Exclude: p.tried, Now: clock.Now()}
	decision := p.Runner.plain.Decide(&query, p.Fleet, p.service.Plain)
	p.note(&decision)
	chosen := decision.Chosen
	if chosen == nil {
		return service.Answer{}, attemptEnd{final: true, why: reason.NoBackend}
	}
	if !chosen.Server.Breaker.Allow(query.Now) {
		return service.Answer{}, attemptEnd{why: reason.BackendRefused}
	}
	done := chosen.Server.Begin(0)
	defer done()
	// What was sent runs its course though the caller goes: its answer may be
	// asked for.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.config.PlainTimeout)
	defer cancel()
	p.step(Send, reason.None, chosen.Name)
	answer, err := p.Services.Do(callCtx, chosen.Backend.Address, p.ask.Call)
	if err == nil {
		chosen.Server.Breaker.Success()
		return answer, attemptEnd{delivered: true}
	}
	p.tried = append(p.tried, chosen.Name)
	return service.Answer{}, p.failed(chosen, err)
}

// failed decides what a failed call means. Only a call that did not run, or
// one that may be repeated, is tried again.
func (p *plainRun) failed(chosen *route.Rated, err error) attemptEnd {
	switch {
	case errors.Is(err, service.ErrUnreachable):
		chosen.Server.Breaker.Failure(clock.Now())
		p.step(Disclaim, reason.ConnectFailed, chosen.Name)
		return attemptEnd{why: reason.ConnectFailed}
	case errors.Is(err, service.ErrNotRun):
		p.step(Disclaim, reason.BackendRefused, chosen.Name)
		return attemptEnd{why: reason.BackendRefused}
	case p.ask.Idempotent || !p.config.Protect.Once:
		chosen.Server.Breaker.Failure(clock.Now())
		p.step(Retry, reason.AnswerLost, chosen.Name)
		return attemptEnd{why: reason.AnswerLost}
	default:
		chosen.Server.Breaker.Failure(clock.Now())
		return attemptEnd{final: true, why: reason.AnswerLost}
	}
}
