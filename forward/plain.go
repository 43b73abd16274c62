package forward

import (
	"cmp"
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// call forwards a plain request to one server, and to another only where that
// is allowed.
func (f *flow) call(caller context.Context) *Reply {
	if stopping := f.stopping.Load(); stopping != nil && clock.Until(stopping.ends) < f.config.LastCalls {
		return f.refuse(reason.Stopping, "the instance is stopping")
	}
	ctx, cancel := clock.WithDeadline(caller, f.deadline)
	defer cancel()
	for attempt := 1; ; {
		answer, err := f.callOnce(ctx)
		switch verdict := f.judge(ctx, answer, err, attempt); verdict {
		case again:
			attempt++
		case elsewhere:
		default:
			return f.conclude(ctx, answer, err)
		}
	}
}

// verdict says how a plain request goes on after one try.
type verdict int

const (
	// final: the caller gets what there is.
	final verdict = iota
	// again: another server is tried, at the price of an attempt.
	again
	// elsewhere: another server is tried; the last was not reached at all.
	elsewhere
)

// errNoServer means that there is no server left to try.
var errNoServer = errors.New("no backend server is left to try")

func (f *flow) callOnce(ctx context.Context) (*Answer, error) {
	chosen := f.choose(f.plain, plainPool)
	if chosen == nil {
		return nil, errNoServer
	}
	if err := f.maySend(); err != nil {
		return nil, err
	}
	f.tried = append(f.tried, chosen.Name)
	f.path = append(f.path, chosen.Name)
	defer chosen.Server.Begin(0)()
	defer chosen.Server.Await(clock.Now())()
	f.sent = clock.Now()
	answer, err := f.Backends.Call(ctx, f.entry(chosen), f.request, f.deadline)
	f.decide(stepCall, callResult(answer, err), "server", chosen.Name, "inFlight", chosen.Server.InFlight())
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A caller that left says nothing of the server.
		f.learn(chosen.Server, err)
	}
	f.remember(ctx, chosen, err)
	return answer, err
}

// remember notes what a send to a server says of the request: nothing if the server
// disclaimed it, or if the caller left or the time was up first.
func (f *flow) remember(ctx context.Context, at *route.Rated, err error) {
	var notRun *NotRun
	switch {
	case err == nil:
		f.completed()
	case ctx.Err() == nil && !errors.As(err, &notRun):
		f.broke(at)
	}
}

// callResult is the outcome of a call: the server's status, or why there is
// none.
func callResult(answer *Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return strconv.Itoa(answer.Status)
}

// serverError is the lowest status of a server that failed.
const serverError = 500

// judge decides whether another server is tried.
func (f *flow) judge(ctx context.Context, answer *Answer, err error, attempt int) verdict {
	var notRun *NotRun
	switch {
	case ctx.Err() != nil || errors.Is(err, errNoServer) || errors.Is(err, errPoison) || errors.Is(err, errExpired):
		return final
	case errors.As(err, &notRun) && !notRun.Sent:
		return elsewhere
	case errors.As(err, &notRun):
		return f.spend(attempt, notRun.Why)
	case f.route.Repeat != table.RepeatSafe:
		f.mayRun = true
		return final
	case err != nil:
		f.mayRun = true
		if !f.mayRepeat() {
			f.decide(stepRetry, "no", "why", reason.CrashesServers, "attempt", attempt)
			return final
		}
		return f.spend(attempt, reason.AnswerLost)
	case answer.Status >= serverError:
		f.mayRun = true
		return f.spend(attempt, reason.BackendFailed)
	}
	f.mayRun = true
	return final
}

// spend takes another attempt from the route and the budget.
func (f *flow) spend(attempt int, why reason.Reason) verdict {
	if attempt >= f.route.Attempts {
		return final
	}
	if !f.Budget(f.service.Name).Spend(clock.Now()) {
		f.decide(stepRetry, "no", "why", why, "attempt", attempt, "budgetLeft", 0)
		return final
	}
	f.Metrics.Retried(why)
	f.decide(stepRetry, "yes", "why", why, "attempt", attempt, "budgetLeft", f.Budget(f.service.Name).Left(clock.Now()))
	return again
}

// conclude answers the caller with the result of the last try.
func (f *flow) conclude(ctx context.Context, answer *Answer, err error) *Reply {
	var notRun *NotRun
	switch {
	case err == nil:
		return f.deliver(answer)
	case errors.Is(err, errExpired):
		return f.timeout(err.Error())
	case errors.Is(err, errPoison):
		return f.fail(reason.CrashesServers, err.Error())
	case errors.Is(err, errNoServer):
		return f.refuse(cmp.Or(f.held, reason.NoBackend), err.Error())
	case errors.As(err, &notRun):
		return f.refuse(notRun.Why, notRun.Detail)
	default:
		f.mayRun = true
		return f.lost(ctx, err)
	}
}
