package request

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
	"github.com/mastwheel/mastwheel/wait"
)

// Stewards sends requests to the steward of any engine (the instance that grants
// reservations at it).
type Stewards interface {
	Reserve(ctx context.Context, server string, req route.Demand) route.Grant
	// Release returns immediately. If the message is lost, the reservation expires by
	// itself.
	Release(server string, key route.ReservationKey)
}

// Witnesses sends requests to the witness that an operation ID names (the instance in
// another zone that acknowledges an intent).
type Witnesses interface {
	Intent(ctx context.Context, id operation.ID) reason.Reason
	// ReportOutcome returns immediately. If the message is lost, the outcome stays unknown
	// at the witness.
	ReportOutcome(id operation.ID, status operation.Status)
}

// Config holds the limits and the policy of one request.
type Config struct {
	// PollEvery is the mean pause between two tries to reserve decode memory.
	PollEvery time.Duration
	// TokenTimeout is the time without a token after which a stream counts as
	// broken. It must exceed an ordinary pause of an engine. A longer timeout
	// delays the resume.
	TokenTimeout time.Duration
	// ImportTimeout bounds one transfer, and is the timeout when no rate is known yet.
	// ShortestImport is the lower bound of the timeout when the known rate predicts a
	// quick transfer. A stalled transfer must leave time for another decode engine
	// within the window in which the prefill engine keeps the KV cache. A timeout
	// below the ordinary jitter of the links would abort healthy transfers.
	ImportTimeout  time.Duration
	ShortestImport time.Duration
	// PlainTimeout bounds one call to a backend server of a plain service (without
	// models).
	PlainTimeout time.Duration
	// ReserveTimeout bounds one request to a steward or a witness.
	ReserveTimeout time.Duration
	// MaxAttempts bounds the attempts (tries) of one request.
	MaxAttempts int
	// CancelEvery is the mean pause between two tries to cancel an attempt at an
	// engine.
	CancelEvery time.Duration
	// CancelFor is how long a cancel is repeated. After that the engine is
	// considered dead, so that it holds no memory any more.
	CancelFor time.Duration
	// Protect selects the protections. All are on, except in trials that show
	// what each one prevents.
	Protect Protections
	// Policy selects the servers of model requests.
	Policy route.Policy
}

// DefaultConfig returns the defaults for engines of the reference workload (the load
// and machine figures that the service is designed for).
func DefaultConfig() Config {
	return Config{
		PollEvery:      20 * time.Millisecond,
		TokenTimeout:   2 * time.Second,
		ImportTimeout:  600 * time.Millisecond,
		ShortestImport: 150 * time.Millisecond,
		PlainTimeout:   10 * time.Second,
		ReserveTimeout: 300 * time.Millisecond,
		MaxAttempts:    4,
		CancelEvery:    100 * time.Millisecond,
		CancelFor:      time.Minute,
		Protect:        AllProtections(),
		Policy:         route.DefaultPolicy(),
	}
}

// Deps are the dependencies of a Runner.
type Deps struct {
	// Home identifies this instance, with its incarnation, as the home of its requests (the
	// instance that their callers are connected to), in the form in which it is sent to
	// engines.
	Home      string
	Zone      string
	View      func() *table.View
	Fleet     *route.Fleet
	Admission *route.Admission
	Engines   engine.Client
	Services  service.Client
	Stewards  Stewards
	Witnesses Witnesses
	// Operations and Uptime may be nil when no operation IDs are used.
	Operations *operation.Home
	Uptime     func() time.Duration
	// Stale reports whether the table is too old to accept requests. It may be
	// nil.
	Stale   func() bool
	Metrics *metrics.Set
	Traces  *trace.Ring
	// Random returns a number in [0,1) for the jitter of pauses.
	Random func() float64
}

// Runner runs the requests whose home (the instance that the caller is connected to)
// is this instance.
type Runner struct {
	Deps
	config         Config
	prefillProfile *route.Profile
	decodeProfile  *route.Profile
	plainProfile   *route.Profile
	budgets        sync.Map // service name -> *route.Budget
	claims         claims
	// cancels tracks the cancels that outlive their requests.
	cancels sync.WaitGroup
}

// NewRunner returns a Runner.
func NewRunner(deps Deps, config Config) *Runner {
	r := &Runner{
		Deps:           deps,
		config:         config,
		prefillProfile: config.Policy.Prefill,
		decodeProfile:  config.Policy.Decode,
		plainProfile:   route.PlainProfile(),
	}
	if !config.Protect.AvoidDraining {
		leaving := route.DrainingFilter{}.Name()
		r.prefillProfile, r.decodeProfile, r.plainProfile = r.prefillProfile.Without(leaving), r.decodeProfile.Without(leaving), r.plainProfile.Without(leaving)
	}
	return r
}

// Wait blocks until every cancel of an attempt was confirmed by the engine or given up.
func (r *Runner) Wait() { r.cancels.Wait() }

// Result is how a request ended.
type Result struct {
	RequestID string
	Outcome   reason.Outcome
	Reason    reason.Reason
	// RetryAfter is when the caller may retry. It is 0 where a retry does not
	// help.
	RetryAfter time.Duration
	// Tokens counts the delivered tokens, PromptTokens those of the prompt.
	Tokens       int
	PromptTokens int
	Attempts     int
}

// run is one request in progress.
type run struct {
	*Runner
	life    Lifecycle
	record  *trace.Request
	service *table.ServiceView
	op      *operation.ID
	attempt int
	// intentRecorded is set once the witness has acknowledged the intent.
	intentRecorded bool
}

// newRun starts the trace of a request. service is nil when the table has no service of the
// name that the caller gave.
func (r *Runner) newRun(id string, service *table.ServiceView, team string, view *table.View) *run {
	record := &trace.Request{
		ID: id, Team: team, Home: r.Home, Revision: view.Revision, Arrived: clock.Now(),
	}
	if service != nil {
		record.Service = service.Name
	}
	return &run{Runner: r, record: record, service: service}
}

// refusal returns the reason to refuse a request that holds whatever its content is, or
// reason.None.
func (r *Runner) refusal(known bool) reason.Reason {
	if r.View().Revision == 0 || (r.Stale != nil && r.Stale()) {
		return reason.StaleTable
	}
	if !known {
		return reason.UnknownService
	}
	return reason.None
}

// step applies an event and adds it to the trace with its reason.
func (r *run) step(event Event, why reason.Reason, server string) {
	r.life.Apply(event)
	r.record.Add(clock.Now(), trace.Step{
		Attempt: r.attempt, State: r.life.State().String(), Reason: why, Server: server,
	})
}

func (r *run) recordDecision(decision *route.Decision) {
	r.record.Add(clock.Now(), trace.Step{
		Attempt: r.attempt, State: r.life.State().String(), Server: decision.Pick, Choice: decision,
	})
}

// finish records the outcome of a request in metrics, trace, log and operation
// status.
func (r *run) finish(why reason.Reason, retryAfter time.Duration) Result {
	outcome := r.life.Outcome()
	if outcome == reason.Done {
		why = reason.None
	}
	r.claims.remove(r.record.ID)
	r.record.Outcome = outcome
	r.record.Reason = why
	r.Metrics.Ended(r.record.Service, outcome, why)
	if r.op != nil {
		status := operation.Status{Outcome: outcome, Reason: why}
		r.Operations.Finish(*r.op, status)
		if r.intentRecorded {
			r.Witnesses.ReportOutcome(*r.op, status)
		}
	}
	r.Traces.Keep(r.record)
	r.logEnd(outcome, why)
	return Result{
		RequestID: r.record.ID, Outcome: outcome, Reason: why, RetryAfter: retryAfter,
		Tokens: r.record.Tokens, PromptTokens: r.record.Prompt, Attempts: r.attempt + 1,
	}
}

// Log levels of the lines about requests that ended.
const (
	logLevelFailures = 1
	logLevelAll      = 2
)

// logEnd logs how a request ended.
func (r *run) logEnd(outcome reason.Outcome, why reason.Reason) {
	level := klog.Level(logLevelFailures)
	if outcome == reason.Done {
		level = logLevelAll
	}
	if !klog.V(level).Enabled() {
		return
	}
	klog.V(level).InfoS("Request ended", "request", r.record.ID, "service", r.record.Service, "team", r.record.Team,
		"attempt", r.attempt, "outcome", outcome, "reason", why, "tokens", r.record.Tokens,
		"took", clock.Since(r.record.Arrived))
}

func (r *run) giveUp(why reason.Reason, retryAfter time.Duration) Result {
	r.step(GiveUp, why, "")
	return r.finish(why, retryAfter)
}

func (r *run) depart() Result {
	r.step(CallerDisconnect, reason.CallerGone, "")
	return r.finish(reason.CallerGone, 0)
}

// beginOperation begins the operation of a request that carries an ID. It
// returns false when the operation must not run.
func (r *run) beginOperation(id *operation.ID) (Result, bool) {
	if id == nil {
		return Result{}, true
	}
	status, why := r.Operations.Begin(*id, r.Uptime())
	if why == reason.None {
		r.op = id
		return Result{}, true
	}
	r.record.Outcome = status.Outcome
	r.record.Reason = why
	r.Metrics.Ended(r.record.Service, status.Outcome, why)
	r.Traces.Keep(r.record)
	return Result{RequestID: r.record.ID, Outcome: status.Outcome, Reason: why}, false
}

// recordIntent has the witness acknowledge the intent before the first byte is
// sent.
func (r *run) recordIntent(ctx context.Context) reason.Reason {
	if r.op == nil || r.intentRecorded || !r.config.Protect.Witness {
		return reason.None
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.ReserveTimeout)
	defer cancel()
	if why := r.Witnesses.Intent(ctx, *r.op); why != reason.None {
		return why
	}
	r.intentRecorded = true
	return reason.None
}

func (r *Runner) budget(serviceName string) *route.Budget {
	if found, ok := r.budgets.Load(serviceName); ok {
		return found.(*route.Budget)
	}
	found, _ := r.budgets.LoadOrStore(serviceName, route.NewBudget())
	return found.(*route.Budget)
}

// pause waits for a jittered time around mean. It returns false when ctx ended
// first.
func (r *Runner) pause(ctx context.Context, mean time.Duration) bool {
	return wait.For(ctx, time.Duration(float64(mean)*(0.5+r.Random())))
}
