package forward

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forecast"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// flow is the state of one request while it is forwarded.
type flow struct {
	*Gateway
	// stopping holds the shutdowns that may end the request: that of the Gateway, and that of the sibling that handed it over.
	stopping requestShutdown
	// id is the request's ID. Tasks that outlive a step use it, because request is replaced when a stream continues.
	id      string
	request *Request
	// caller ends when the caller disconnects, or at the end of a graceful shutdown.
	caller context.Context
	// askedSiblings is set once siblings were asked to serve the request. handedOverTo is the sibling whose reply its caller
	// got, or whose reply was lost.
	askedSiblings bool
	handedOverTo  string
	// servers is the view that the last choice used. Each choice uses the newest view, because
	// a request may take longer than the time for which a leaving server can still be used.
	servers  *Servers
	revision uint64
	route    *table.RouteView
	service  *table.ServiceView
	// team is the team that owns the request; nil if the route needs no key. charged is the
	// cost that was counted against its allotment.
	team    *table.TeamView
	charged float64
	// allotmentUsed is the fraction of the team's allotment that was used up at admission,
	// from 0 to 1.
	allotmentUsed float64
	// regions are the regions whose servers may serve the request.
	regions regions
	// origin is where the stream began; nil before its caller has an event of it.
	origin atomic.Pointer[origin.Origin]
	// beganAt is the server at which the stream began, if it did so in this request.
	beganAt *registry.Entry
	// deadline is when the caller must have its answer.
	deadline time.Time
	// expected is the number of tokens that a stream is expected to generate; 0 before expectTokens was called.
	expected int
	// release removes the request from the count of requests in flight.
	release func()
	// entries holds the entries of the selected servers, by name.
	entries map[string]*registry.Entry
	// brokenAt names the servers at which a run of this request broke off.
	brokenAt []string
	// tried names the servers that failed this request.
	tried []string
	// sentTo names the servers that the request was sent to, in order.
	sentTo []string
	// sentAt is when the request was sent to the last of them, and writingSince since when that one has been
	// writing events; zero before the first.
	sentAt, writingSince time.Time
	// endedBy is what ended the request if it got no whole answer of a server. cut is set if its caller got a part of
	// an answer, and then a closed connection.
	endedBy reason.Ending
	cut     bool
	// unanswered counts the calls that got no answer: no connection could be opened, it broke off, or it
	// stayed silent.
	unanswered int
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
	// unavailable is the reason why the last choice found no server, if healthy servers exist
	// but none of them accepts the work at that moment. availableAt is when the first of those
	// servers will accept it.
	unavailable reason.Reason
	availableAt time.Time
	// memoryAt is when a decode engine is expected to have memory for the request, if that is
	// later than it can wait; zero if there is no forecast.
	memoryAt time.Time
	// returnAfter is when the caller should come back if no slot was free at the servers.
	returnAfter time.Duration
	// waited is how long the caller is estimated to have waited before this request.
	waited time.Duration
	// decisions are the decisions for the request so far. alwaysLog is set if they are written to
	// the log even if the request was served.
	decisions []decision
	alwaysLog bool
	// cachedFingerprints are the request's fingerprints, computed on first use.
	cachedFingerprints poison.Fingerprints
	// admission is the result of the poison check; zero if no request is under suspicion.
	admission poison.Admission
}

// pool selects the servers of a service from a view of all servers, and names the kind of work
// that is sent to one of them.
type pool struct {
	servers func(servers *Servers, service string) []*table.BackendView
	work    backpressure.Work
}

var (
	prefillPool = pool{prefillServers, backpressure.PrefillWork}
	decodePool  = pool{decodeServers, backpressure.ReserveWork}
	plainPool   = pool{plainServers, backpressure.PlainWork}
)

func prefillServers(servers *Servers, service string) []*table.BackendView {
	return servers.Prefill[service]
}

func decodeServers(servers *Servers, service string) []*table.BackendView {
	return servers.Decode[service]
}

// plainServers returns the servers of a plain service (without models). The engines of a model
// service also answer plain requests.
func plainServers(servers *Servers, service string) []*table.BackendView {
	if plain := servers.Plain[service]; len(plain) > 0 {
		return plain
	}
	return servers.Decode[service]
}

// errDeadlinePassed is the error of a step that was skipped because the request's deadline has
// passed. The instance may have been suspended since the step before.
var errDeadlinePassed = errors.New("the request's deadline has passed")

// checkSend returns an error if the request must not be sent to a server now.
func (f *flow) checkSend() error {
	switch {
	case !clock.Now().Before(f.deadline):
		return errDeadlinePassed
	case f.blocked():
		return errPoison
	}
	return nil
}

// sendStepError converts an error of checkSend to the error of a generation's step.
func sendStepError(err error) *stepError {
	if errors.Is(err, errPoison) {
		return &stepError{why: reason.CrashesServers, detail: err.Error()}
	}
	return &stepError{why: reason.DeadlineTooClose, detail: err.Error()}
}

// recordSent records that the request is sent to a server now.
func (f *flow) recordSent(now time.Time) { f.sentAt, f.writingSince = now, time.Time{} }

// choose selects one of the servers by a scheduling profile (the filters, scorers and picker
// for one kind of request); nil if all servers were dropped.
func (f *flow) choose(profile *route.Profile, from pool) *route.ScoredCandidate {
	return f.chooseFor(f.query(), profile, from)
}

// query returns the properties of the request that a choice depends on.
func (f *flow) query() *route.Query {
	query := &route.Query{RequestID: f.request.ID, Zone: f.Zone, Exclude: append(f.brokenAt[:len(f.brokenAt):len(f.brokenAt)], f.tried...), Now: clock.Now()}
	if f.request.Generation != nil {
		query.PromptTokens = f.request.Generation.PromptTokens
	}
	return query
}

// chooseFor is like choose, for a query with additional constraints.
func (f *flow) chooseFor(query *route.Query, profile *route.Profile, from pool) *route.ScoredCandidate {
	made, possible := f.rate(query, profile, from)
	if !possible {
		return nil
	}
	return f.recordChoice(query, &made)
}

// rate runs a profile over the servers of a pool that may serve the request. It returns false if
// none of them is in a region where the request may be served, or none runs the release at which the
// stream began.
func (f *flow) rate(query *route.Query, profile *route.Profile, from pool) (made route.Decision, possible bool) {
	f.servers = f.View.Servers()
	f.unavailable, f.availableAt = reason.None, time.Time{}
	query.Work = from.work
	all := from.servers(f.servers, f.service.Name)
	within := f.regions.filter(all, f.RegionOf)
	if len(within) == 0 && len(all) > 0 {
		f.unavailable = reason.OutsideRegions
		f.record(stepChoose, "none", "why", f.unavailable)
		return route.Decision{}, false
	}
	fitting := f.atOrigin(f.servers, within)
	if len(fitting) == 0 && len(within) > 0 {
		f.unavailable = reason.VersionGone
		f.record(stepChoose, "none", "why", f.unavailable, "version", f.origin.Load().Release)
		return route.Decision{}, false
	}
	if from.work == decodePool.work {
		if fitting = f.withoutNewReleases(query, fitting); len(fitting) == 0 && len(within) > 0 {
			return route.Decision{}, false
		}
	}
	made = profile.Decide(query, f.Fleet, fitting)
	f.countSpeedChoice(profile, made.Rated)
	return made, true
}

// withoutNewReleases returns the engines at which the stream may begin. If there are none, it records when
// there will be.
func (f *flow) withoutNewReleases(query *route.Query, engines []*table.BackendView) []*table.BackendView {
	fitting, after := f.beginsAt(f.servers, engines)
	if len(fitting) == 0 && len(engines) > 0 {
		f.unavailable, f.availableAt = reason.VersionNew, query.Now.Add(after)
		f.record(stepChoose, "none", "why", f.unavailable, "availableMillis", after.Milliseconds())
	}
	return fitting
}

// recordChoice records a choice and returns the selected server; nil if there is none.
func (f *flow) recordChoice(query *route.Query, made *route.Decision) *route.ScoredCandidate {
	outcome := made.Pick
	if made.Selected == nil {
		outcome = "none"
		f.recordUnavailable(query, made.Rated)
	}
	if f.isProbe() && made.Selected != nil {
		made.Selected = fewestRunning(made.Rated)
		made.Pick = made.Selected.Name
		outcome = made.Pick
	}
	chosen := decision{at: query.Now, step: stepChoose, outcome: outcome, rated: made.Rated}
	if made.Selected == nil {
		if failed, since := f.reachOf(f.service.Name).State(); failed > 0 {
			chosen.inputs = []any{"failedServers", failed, "noAnswerMillis", query.Now.Sub(since).Milliseconds()}
		}
	}
	f.recordDecision(chosen)
	if made.Selected != nil {
		f.entries[made.Pick] = f.servers.ByRun[made.Pick]
	}
	return made.Selected
}

// countSpeedChoice counts a choice among servers whose speeds differ.
func (f *flow) countSpeedChoice(profile *route.Profile, rated []route.ScoredCandidate) {
	uneven, overdue := false, 0
	for i := range rated {
		uneven = uneven || rated[i].Speed.Rated()
		if rated[i].DroppedBy == route.OverdueFilterName {
			overdue++
		}
	}
	if uneven {
		f.Metrics.ChosenBySpeed(profile.Speed.String(), overdue)
	}
}

// recordUnavailable records whether a choice found no server only because of limits and
// backoff that the servers reported.
func (f *flow) recordUnavailable(query *route.Query, rated []route.ScoredCandidate) {
	why, opens := route.BackpressureRefusal(query, rated)
	if f.unavailable = why; why != reason.None {
		f.availableAt = query.Now.Add(opens)
	}
}

// entry returns the registry entry that a selected server had when it was selected. The server
// may be gone from the list of backend servers by now.
func (f *flow) entry(chosen *route.ScoredCandidate) *registry.Entry { return f.entries[chosen.Name] }

// retryAfter returns the delay after which a refused caller should come back.
func (f *flow) retryAfter(why reason.Reason) time.Duration {
	switch why {
	case reason.Stopping, reason.VersionUnknown:
		return f.config.StoppingRetryDelay
	case reason.VersionGone:
		// No instance can continue the stream later either.
		return 0
	}
	if why == reason.NoFreeSlot {
		return f.returnAfter
	}
	left := float64(clock.Until(f.request.Deadline))
	spread := f.Random() * (f.config.RetryLatest - f.config.RetryEarliest)
	usual := time.Duration((f.config.RetryEarliest + spread) * left)
	if why == reason.NoDecodeMemory && !f.memoryAt.IsZero() {
		return f.retryWithMemory(time.Duration(left))
	}
	if why == f.unavailable && !f.availableAt.IsZero() {
		return max(usual, clock.Until(f.availableAt)+time.Duration(spread*left))
	}
	return usual
}

// retryWithMemory returns the delay after which a caller should come back that was refused for lack
// of memory.
func (f *flow) retryWithMemory(left time.Duration) time.Duration {
	return forecast.ReturnAfter(left, clock.Until(f.memoryAt), f.config.RetryLatest, f.Random())
}

// refuse ends a request that has not run. Its status guarantees that it has not run.
func (f *flow) refuse(why reason.Reason, detail string) *Reply {
	if f.mayHaveRun {
		return f.fail(why, detail)
	}
	if f.mayHandOver(why) {
		if reply := f.handOver(); reply != nil {
			return reply
		}
	}
	if f.request.HandedOver != "" && f.linksMayCause(why) {
		// The sibling that handed the request over asks another one.
		why = reason.CutOff
	}
	return f.end(&Reply{Status: statusUnavailable, Reason: why, RetryAfter: f.retryAfter(why)}, detail)
}

// giveUp ends a request at which a step failed.
func (f *flow) giveUp(why reason.Reason, detail string) *Reply {
	if why == reason.CrashesServers {
		return f.fail(why, detail)
	}
	return f.refuse(why, detail)
}

// fail ends a request that may have run. Its status guarantees nothing.
func (f *flow) fail(why reason.Reason, detail string) *Reply {
	if f.mayHaveRun {
		f.endedBy = cmp.Or(f.endedBy, reason.EndedByServer)
	}
	return f.end(&Reply{Status: statusBadGateway, Reason: why}, detail)
}

// timeout ends a request whose deadline has passed.
func (f *flow) timeout(detail string) *Reply {
	if !f.mayHaveRun {
		return f.refuse(reason.DeadlineTooClose, detail)
	}
	f.endedBy = reason.EndedByDeadline
	return f.end(&Reply{Status: statusTimeout, Reason: reason.AnswerLost}, detail)
}

// endWithoutAnswer ends a request that got no answer: its caller left, its deadline passed, the
// instance stops, or the server failed. ctx is the request's context with its deadline.
func (f *flow) endWithoutAnswer(ctx context.Context, err error) *Reply {
	switch f.interruption(ctx) {
	case reason.EndedByStop:
		return f.endAtStop(err.Error())
	case reason.EndedByDeadline:
		return f.timeout(err.Error())
	case reason.EndedByCaller:
		f.endedBy = reason.EndedByCaller
		return f.end(&Reply{Status: statusBadGateway, Reason: reason.CallerGone}, err.Error())
	}
	f.endedBy = cmp.Or(f.endedBy, reason.EndedByServer)
	return f.fail(reason.AnswerLost, err.Error())
}

// interruption returns what ended a request's context, which is f.caller with the deadline: the end of a graceful shutdown, the
// deadline, or the caller. What came first decides: a caller often leaves within milliseconds of the deadline, and the
// end may be noticed later. It returns NotEnded if the context goes on.
func (f *flow) interruption(ctx context.Context) reason.Ending {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return reason.NotEnded
	case errors.Is(cause, errEnded):
		return reason.EndedByStop
	case f.caller.Err() != nil && errors.Is(cause, context.Cause(f.caller)):
		return reason.EndedByCaller
	}
	return reason.EndedByDeadline
}

// deliver ends a request with a backend server's own answer.
func (f *flow) deliver(answer *Answer) *Reply {
	return f.end(&Reply{Status: answer.Status, Fields: answer.Fields, Body: answer.Body, Held: answer.Held, Reason: answerReason(answer.Status)}, "")
}

// answerReason returns the reason that goes with a backend server's own answer: none, unless
// the answer reports that the server failed.
func answerReason(status int) reason.Reason {
	if status >= serverError {
		return reason.BackendFailed
	}
	return reason.None
}

// isLate reports whether the request's caller has waited longer than the route's first-token target.
// An answer that begins late is worth a fraction of one in time, so a late request does not take what
// others need.
func (f *flow) isLate() bool { return f.waited > f.route.TTFT }

// end finishes a request whose answer is complete.
func (f *flow) end(reply *Reply, detail string) *Reply {
	if f.release != nil {
		f.release()
	}
	f.close(reply.Status, reply.Reason, detail)
	return reply
}

// close counts and logs the end of a request.
func (f *flow) close(status int, why reason.Reason, detail string) {
	service := ""
	if f.service != nil {
		service = f.service.Name
	}
	outcome := f.outcome(why)
	f.refund(outcome)
	f.Metrics.Ended(service, outcome, why)
	if f.team != nil {
		f.Metrics.TeamEnded(f.team.Name, outcome, why)
	}
	if f.endedBy != reason.NotEnded {
		f.Metrics.EndedWithoutAnswer(f.endedBy, f.cut)
	}
	f.Metrics.ObserveDuration(service, clock.Since(f.request.Arrived))
	f.log(service, outcome, status, why, detail)
}

func (f *flow) outcome(why reason.Reason) reason.Outcome {
	switch {
	case why == reason.None:
		return reason.Done
	case f.mayHaveRun:
		return reason.Unknown
	default:
		return reason.NotRun
	}
}

// logServedVerbosity is the verbosity at which every served request is logged.
const logServedVerbosity = 2
