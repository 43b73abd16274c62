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

// Plain is one call to a plain service (without models).
type Plain struct {
	ID      string
	Service string
	Team    string
	Call    service.Call
	// Idempotent means that the call may be repeated after its answer was lost
	// (RFC 9110, section 9.2.2).
	Idempotent bool
	Operation  *operation.ID
}

// plainRun is a call to a plain service in progress.
type plainRun struct {
	*run
	req   Plain
	tried []string
}

// RunPlain runs a call to a plain service to its end. The answer is valid when
// the outcome is reason.Done.
func (r *Runner) RunPlain(ctx context.Context, req Plain) (service.Answer, Result) {
	view := r.View()
	row := view.Services[req.Service]
	p := &plainRun{run: r.newRun(req.ID, row, req.Team, view), req: req}
	if result, ok := p.beginOperation(req.Operation); !ok {
		return p.takeKeptAnswer(result)
	}
	if why := r.refusal(row != nil && row.Type == table.TypePlain); why != reason.None {
		return service.Answer{}, p.giveUp(why, 0)
	}
	slot, why := r.Admission.Admit(row, view.Teams[req.Team])
	if why != reason.None {
		return service.Answer{}, p.giveUp(why, retryAfterBusy)
	}
	defer slot.Release()
	p.step(Admit, reason.None, "")
	if why := p.recordIntent(ctx); why != reason.None {
		return service.Answer{}, p.giveUp(why, retryAfterBusy)
	}
	r.budget(row.Name).Earn(row.RetryPercent)
	return p.runAttempts(ctx)
}

func (p *plainRun) runAttempts(ctx context.Context) (service.Answer, Result) {
	for {
		answer, end := p.runAttempt(ctx)
		if ctx.Err() != nil && !end.delivered {
			return service.Answer{}, p.depart()
		}
		if end.delivered {
			p.step(Deliver, reason.None, "")
			p.keepAnswer(ctx, answer)
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

// maxKeptAnswerBytes bounds the body of an answer that is kept for a caller
// that reconnects. For a longer answer that caller learns only the outcome.
const maxKeptAnswerBytes = 64 << 10

// keepAnswer stores the answer for a caller that disconnected while the call
// ran.
func (p *plainRun) keepAnswer(ctx context.Context, answer service.Answer) {
	if p.op != nil && ctx.Err() != nil && len(answer.Body) <= maxKeptAnswerBytes {
		p.Operations.StoreAnswer(*p.op, answer)
	}
}

// takeKeptAnswer returns the stored answer to a caller that repeats the
// operation ID of a call which ended while that caller was disconnected. Each
// answer is returned once.
func (p *plainRun) takeKeptAnswer(result Result) (service.Answer, Result) {
	if result.Reason != reason.AlreadyAnswered {
		return service.Answer{}, result
	}
	answer, ok := p.Operations.TakeAnswer(*p.req.Operation)
	if !ok {
		return service.Answer{}, result
	}
	result.Outcome, result.Reason = reason.Done, reason.None
	return answer.(service.Answer), result
}

// runAttempt sends the call to one backend server.
func (p *plainRun) runAttempt(ctx context.Context) (service.Answer, attemptResult) {
	query := route.Query{RequestID: p.req.ID, Zone: p.Zone, Exclude: p.tried, Now: clock.Now()}
	decision := p.Runner.plainProfile.Decide(&query, p.Fleet, p.service.Plain)
	p.recordDecision(&decision)
	selected := decision.Selected
	if selected == nil {
		return service.Answer{}, attemptResult{final: true, why: reason.NoBackend}
	}
	if !selected.Server.Breaker.Allow(query.Now) {
		return service.Answer{}, attemptResult{why: reason.BackendRefused}
	}
	done := selected.Server.RequestSent(0)
	defer done()
	// A call that was sent continues after the caller disconnects, since the
	// caller may query its answer later.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.config.PlainTimeout)
	defer cancel()
	p.step(Send, reason.None, selected.Name)
	answer, err := p.Services.Do(callCtx, selected.Backend.Address, p.req.Call)
	if err == nil {
		selected.Server.Breaker.Success()
		return answer, attemptResult{delivered: true}
	}
	p.tried = append(p.tried, selected.Name)
	return service.Answer{}, p.classifyFailure(selected, err)
}

// classifyFailure decides how to go on after a failed call. Only a call that
// did not run, or that may be repeated, is retried.
func (p *plainRun) classifyFailure(selected *route.ScoredCandidate, err error) attemptResult {
	switch {
	case errors.Is(err, service.ErrUnreachable):
		selected.Server.Breaker.Failure(clock.Now())
		p.step(Disclaim, reason.ConnectFailed, selected.Name)
		return attemptResult{why: reason.ConnectFailed}
	case errors.Is(err, service.ErrNotRun):
		p.step(Disclaim, reason.BackendRefused, selected.Name)
		return attemptResult{why: reason.BackendRefused}
	case p.req.Idempotent || !p.config.Protect.NoDuplicateCalls:
		selected.Server.Breaker.Failure(clock.Now())
		p.step(Retry, reason.AnswerLost, selected.Name)
		return attemptResult{why: reason.AnswerLost}
	default:
		selected.Server.Breaker.Failure(clock.Now())
		return attemptResult{final: true, why: reason.AnswerLost}
	}
}
