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

// call forwards a plain request to one server, and to another server only if nextStep allows
// it.
func (f *flow) call(caller context.Context) *Reply {
	ctx, cancel := clock.WithDeadline(caller, f.deadline)
	defer cancel()
	// failed is the last answer of a failed server.
	var failed *Answer
	for attempt, spent := 1, false; ; {
		sends := len(f.sentTo)
		answer, err := f.callOnce(ctx)
		if spent && len(f.sentTo) == sends {
			f.Budget(f.service.Name).Refund(clock.Now())
		}
		spent = false
		if answer != nil {
			if failed != nil {
				failed.Held.Release()
			}
			failed = answer
		}
		switch verdict := f.nextStep(ctx, answer, err, attempt); verdict {
		case retryFromBudget:
			attempt++
			spent = true
		case retryUnreached:
		default:
			if failed != nil && isNotRun(err) {
				// The last try did not run, so the caller gets the answer of the one before.
				return f.deliver(failed)
			}
			reply := f.conclude(ctx, answer, err)
			if failed != nil && reply.Held != failed.Held {
				failed.Held.Release()
			}
			return reply
		}
	}
}

// isNotRun reports whether the error says that the try did not run: no server accepted it, or the
// instance did not send it.
func isNotRun(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun) || errors.Is(err, errNoSlot) || errors.Is(err, errNoServer) ||
		errors.Is(err, errStopping) || errors.Is(err, errDeadlinePassed)
}

// verdict is the next step of a plain request after one try.
type verdict int

const (
	// final: the caller gets the result.
	final verdict = iota
	// retryFromBudget: another server is tried, which uses up an attempt (one try of a
	// request).
	retryFromBudget
	// retryUnreached: another server is tried, because the last one was not reached at all.
	retryUnreached
)

// errNoServer is the error if no server is left to try.
var errNoServer = errors.New("no backend server is left to try")

// choosePlain selects the server of a plain request. release records the result of the call, and
// must be called with it.
func (f *flow) choosePlain(ctx context.Context) (chosen *route.ScoredCandidate, release func(*Answer, error), err error) {
	if !f.hasFewSlots() {
		if chosen = f.choose(f.plain, plainPool); chosen == nil {
			return nil, nil, errNoServer
		}
		return chosen, func(*Answer, error) {}, nil
	}
	if chosen, err = f.chooseBySlots(ctx); err != nil {
		return nil, nil, err
	}
	send := &slotSend{
		at: f.slotsOf(f.service.Name), chosen: chosen, slots: f.slotsAt(chosen.Name), sent: clock.Now(),
		before: knownInFlight(chosen.Server) + 1,
	}
	return chosen, func(answer *Answer, err error) { f.slotEnded(send, answer, err) }, nil
}

func (f *flow) callOnce(ctx context.Context) (answer *Answer, err error) {
	if err := f.errorAtRepeat(); err != nil {
		return nil, err
	}
	chosen, release, err := f.choosePlain(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { release(answer, err) }()
	if err := f.checkSend(); err != nil {
		return nil, err
	}
	f.tried = append(f.tried, chosen.Name)
	f.sentTo = append(f.sentTo, chosen.Name)
	defer chosen.Server.RequestSent(0)()
	defer chosen.Server.AwaitAnswer(clock.Now())()
	f.recordSent(clock.Now())
	ended := f.callTimesOf(f.service.Name).began(clock.Now())
	answer, err = f.Backends.Call(ctx, f.entry(chosen), f.request, f.deadline)
	ended(clock.Now())
	f.record(stepCall, callResult(answer, err), "server", chosen.Name, "inFlight", chosen.Server.InFlight())
	if !errors.Is(ctx.Err(), context.Canceled) {
		// If the caller disconnected, the failed call says nothing about the server.
		f.updateServer(chosen.Server, err)
	}
	if err == nil && answer.Status < serverError {
		chosen.Server.RecordCall(clock.Since(f.sentAt), clock.Now())
	}
	f.recordSend(ctx, chosen, err)
	return answer, err
}

// recordSend records the result of a send to a server for the poison check. It records nothing
// if the server reports that it did not run the request, or if the caller left or the deadline
// passed first.
func (f *flow) recordSend(ctx context.Context, at *route.ScoredCandidate, err error) {
	var notRun *NotRunError
	switch {
	case err == nil:
		f.recordCompleted()
	case ctx.Err() == nil && !errors.As(err, &notRun):
		f.recordBroken(at)
	}
}

// callResult returns the outcome of a call: the server's status, or the error if there is
// none.
func callResult(answer *Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return strconv.Itoa(answer.Status)
}

// serverError is the lowest status of an answer that reports a failed server.
const serverError = 500

// nextStep decides whether another server is tried.
func (f *flow) nextStep(ctx context.Context, answer *Answer, err error, attempt int) verdict {
	var notRun *NotRunError
	switch {
	case ctx.Err() != nil || errors.Is(err, errNoServer) || errors.Is(err, errPoison) || errors.Is(err, errDeadlinePassed):
		return final
	case errors.Is(err, errNoSlot) || errors.Is(err, errStopping):
		return final
	case errors.As(err, &notRun) && !notRun.Sent:
		return retryUnreached
	case errors.As(err, &notRun):
		return f.spendRetry(attempt, notRun.Why)
	case f.route.Repeat != table.RepeatSafe:
		f.mayHaveRun = true
		return final
	case err != nil:
		f.mayHaveRun = true
		if !f.mayRepeat() {
			f.record(stepRetry, "no", "why", reason.CrashesServers, "attempt", attempt)
			return final
		}
		return f.spendRetry(attempt, reason.AnswerLost)
	case answer.Status >= serverError:
		f.mayHaveRun = true
		return f.spendRetry(attempt, reason.BackendFailed)
	}
	f.mayHaveRun = true
	return final
}

// spendRetry takes one attempt from the route's limit and from the retry budget.
func (f *flow) spendRetry(attempt int, why reason.Reason) verdict {
	if attempt >= f.route.Attempts {
		return final
	}
	if !f.Budget(f.service.Name).Spend(clock.Now()) {
		f.record(stepRetry, "no", "why", why, "attempt", attempt, "budgetLeft", 0)
		return final
	}
	f.Metrics.Retried(why)
	f.record(stepRetry, "yes", "why", why, "attempt", attempt, "budgetLeft", f.Budget(f.service.Name).Left(clock.Now()))
	return retryFromBudget
}

// conclude answers the caller with the result of the last try.
func (f *flow) conclude(ctx context.Context, answer *Answer, err error) *Reply {
	var notRun *NotRunError
	switch {
	case err == nil:
		return f.deliver(answer)
	case f.endedByStop():
		f.mayHaveRun = f.mayHaveRun || !isNotRun(err)
		return f.endAtStop(err.Error())
	case errors.Is(err, errDeadlinePassed):
		return f.timeout(err.Error())
	case errors.Is(err, errPoison):
		return f.fail(reason.CrashesServers, err.Error())
	case errors.Is(err, errNoSlot):
		return f.refuse(reason.NoFreeSlot, err.Error())
	case errors.Is(err, errStopping):
		return f.refuse(reason.Stopping, err.Error())
	case errors.Is(err, errNoServer):
		return f.refuse(cmp.Or(f.unavailable, reason.NoBackend), err.Error())
	case errors.As(err, &notRun):
		return f.refuse(notRun.Why, notRun.Detail)
	default:
		f.mayHaveRun = true
		return f.endWithoutAnswer(ctx, err)
	}
}
