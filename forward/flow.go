package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// flow is one request while it is forwarded.
type flow struct {
	*Gateway
	request *Request
	// servers is the picture that the last choice was made by. Each choice is made
	// by the newest: a request may last longer than a server that leaves may be
	// used for.
	servers  *Servers
	revision uint64
	route    *table.RouteView
	service  *table.ServiceView
	// team is whose request it is; nil if the route needs no key. charged is what was
	// counted against its allotment.
	team    *table.TeamView
	charged float64
	// used is the part of the team's allotment that was used up then, from 0 to 1.
	used float64
	// regions are where it may be served.
	regions regions
	// deadline is when the caller must have its answer.
	deadline time.Time
	// leave takes the request off the count of those in flight.
	leave func()
	// entries holds those of the servers that were chosen, by name.
	entries map[string]*registry.Entry
	// broken names servers at which a run of this request broke off.
	broken []string
	// tried names servers that failed this request.
	tried []string
	// path names the servers that the request was sent to, in order.
	path []string
	// sent is when it was sent to the last of them.
	sent time.Time
	// mayRun is set once a backend server may have run the request.
	mayRun bool
	// held is why the last choice found no server, if that is only since those that are
	// sound would not take the work at that moment; opens is when the first of them will.
	held  reason.Reason
	opens time.Time
	// decisions are what was decided for the request so far.
	decisions []decision
	// prints are the request's fingerprints once somebody asked for them.
	prints poison.Fingerprints
	// admission is how it was admitted; zero if nothing spoke against any request.
	admission poison.Admission
}

// pool picks the servers of a service from a picture of all, and says what is to be sent to
// one of them.
type pool struct {
	pick func(servers *Servers, service string) []*table.BackendView
	work backpressure.Work
}

var (
	prefillPool = pool{pickPrefill, backpressure.PrefillWork}
	decodePool  = pool{pickDecode, backpressure.ReserveWork}
	plainPool   = pool{pickPlain, backpressure.PlainWork}
)

func pickPrefill(servers *Servers, service string) []*table.BackendView {
	return servers.Prefill[service]
}

func pickDecode(servers *Servers, service string) []*table.BackendView {
	return servers.Decode[service]
}

// pickPlain picks the servers of a plain service; a model service's engines answer plain
// requests too.
func pickPlain(servers *Servers, service string) []*table.BackendView {
	if plain := servers.Plain[service]; len(plain) > 0 {
		return plain
	}
	return servers.Decode[service]
}

// errExpired is the error of a step that was not taken since the caller's time is up: the
// instance may have been suspended since the step before.
var errExpired = errors.New("the time is up")

// maySend says whether the request may be sent to a server now.
func (f *flow) maySend() error {
	switch {
	case !clock.Now().Before(f.deadline):
		return errExpired
	case f.blocked():
		return errPoison
	}
	return nil
}

// failedStep is why a step of a generation failed that was not taken for an error of
// maySend.
func failedStep(err error) *stepError {
	if errors.Is(err, errPoison) {
		return &stepError{why: reason.CrashesServers, detail: err.Error()}
	}
	return &stepError{why: reason.DeadlineTooClose, detail: err.Error()}
}

// choose decides by a profile among servers; nil when every one was dropped.
func (f *flow) choose(profile *route.Profile, from pool) *route.Rated {
	return f.chooseBy(f.query(), profile, from)
}

// query is what a decision needs to know of the request.
func (f *flow) query() *route.Query {
	query := &route.Query{RequestID: f.request.ID, Zone: f.Zone, Exclude: append(f.broken[:len(f.broken):len(f.broken)], f.tried...), Now: clock.Now()}
	if f.request.Generation != nil {
		query.PromptTokens = f.request.Generation.PromptTokens
	}
	return query
}

// chooseBy decides as choose does, for a query that says more.
func (f *flow) chooseBy(query *route.Query, profile *route.Profile, from pool) *route.Rated {
	f.servers = f.View.Servers()
	f.held, f.opens = reason.None, time.Time{}
	query.Work = from.work
	all := from.pick(f.servers, f.service.Name)
	within := f.regions.within(all, f.RegionOf)
	if len(within) == 0 && len(all) > 0 {
		f.held = reason.OutsideRegions
		f.decide(stepChoose, "none", "why", f.held)
		return nil
	}
	made := profile.Decide(query, f.Fleet, within)
	outcome := made.Pick
	if made.Chosen == nil {
		outcome = "none"
		f.noteHeld(query, made.Rated)
	}
	if f.probed() && made.Chosen != nil {
		made.Chosen = fewestLost(made.Rated)
		made.Pick = made.Chosen.Name
		outcome = made.Pick
	}
	f.note(decision{at: query.Now, step: stepChoose, outcome: outcome, rated: made.Rated})
	if made.Chosen != nil {
		f.entries[made.Pick] = f.servers.ByRun[made.Pick]
	}
	return made.Chosen
}

// noteHeld notes whether a choice found no server only for what these have said of
// themselves.
func (f *flow) noteHeld(query *route.Query, rated []route.Rated) {
	why, opens := route.HeldBack(query, rated)
	if f.held = why; why != reason.None {
		f.opens = query.Now.Add(opens)
	}
}

// entry returns the entry of a server that was chosen, as it was then: the
// server may be gone from the list by now.
func (f *flow) entry(chosen *route.Rated) *registry.Entry { return f.entries[chosen.Name] }

// retryAfter is when a refused caller should come back.
func (f *flow) retryAfter(why reason.Reason) time.Duration {
	if why == reason.Stopping {
		return f.config.RetryElsewhere
	}
	left := float64(clock.Until(f.request.Deadline))
	spread := f.Random() * (f.config.RetryLatest - f.config.RetryEarliest)
	usual := time.Duration((f.config.RetryEarliest + spread) * left)
	if why == f.held && !f.opens.IsZero() {
		return max(usual, clock.Until(f.opens)+time.Duration(spread*left))
	}
	return usual
}

// refuse ends a request that has not run. Its status promises just that.
func (f *flow) refuse(why reason.Reason, detail string) *Reply {
	if f.mayRun {
		return f.fail(why, detail)
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

// fail ends a request that may have run. Its status promises nothing.
func (f *flow) fail(why reason.Reason, detail string) *Reply {
	return f.end(&Reply{Status: statusBadGateway, Reason: why}, detail)
}

// timeout ends a request whose time is up.
func (f *flow) timeout(detail string) *Reply {
	if !f.mayRun {
		return f.refuse(reason.DeadlineTooClose, detail)
	}
	return f.end(&Reply{Status: statusTimeout, Reason: reason.AnswerLost}, detail)
}

// lost ends a request whose answer did not come: its caller went, its time is
// up, or the server failed.
func (f *flow) lost(ctx context.Context, err error) *Reply {
	if ctx.Err() != nil && !clock.Now().Before(f.deadline) {
		return f.timeout(err.Error())
	}
	if ctx.Err() != nil {
		return f.end(&Reply{Status: statusBadGateway, Reason: reason.CallerGone}, err.Error())
	}
	return f.fail(reason.AnswerLost, err.Error())
}

// deliver ends a request with a backend server's own answer.
func (f *flow) deliver(answer *Answer) *Reply {
	return f.end(&Reply{Status: answer.Status, Fields: answer.Fields, Body: answer.Body, Reason: served(answer.Status)}, "")
}

// served is the reason to end with a backend server's own answer: none, unless
// the answer is that it failed.
func served(status int) reason.Reason {
	if status >= serverError {
		return reason.BackendFailed
	}
	return reason.None
}

// end closes the books on a request that is answered whole.
func (f *flow) end(reply *Reply, detail string) *Reply {
	if f.leave != nil {
		f.leave()
	}
	f.close(reply.Status, reply.Reason, detail)
	return reply
}

// close counts and logs how a request ended.
func (f *flow) close(status int, why reason.Reason, detail string) {
	service := ""
	if f.service != nil {
		service = f.service.Name
	}
	outcome := f.outcome(why)
	f.discharge(outcome)
	f.Metrics.Ended(service, outcome, why)
	if f.team != nil {
		f.Metrics.TeamEnded(f.team.Name, outcome, why)
	}
	f.Metrics.Took(service, clock.Since(f.request.Arrived))
	f.log(service, outcome, status, why, detail)
}

func (f *flow) outcome(why reason.Reason) reason.Outcome {
	switch {
	case why == reason.None:
		return reason.Done
	case f.mayRun:
		return reason.Unknown
	default:
		return reason.NotRun
	}
}

// logServed is the verbosity at which every served request is logged.
const logServed = 2
