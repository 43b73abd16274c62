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

// Stewards reaches the steward of any decode engine.
type Stewards interface {
	Reserve(ctx context.Context, worker string, ask route.Ask) route.Grant
	// Release returns at once; a lost message lapses with the reservation.
	Release(worker string, key route.HoldKey)
}

// Witnesses reaches the witness that an operation id names.
type Witnesses interface {
	Intent(ctx context.Context, id operation.ID) reason.Reason
	// Settle returns at once; a lost message leaves the witness at unknown.
	Settle(id operation.ID, status operation.Status)
}

// Config bounds what one request may take.
type Config struct {
	// PollEvery is the mean pause between two tries for decode memory.
	PollEvery time.Duration
	// TokenTimeout is the silence after which a stream counts as broken. It
	// must exceed an ordinary pause of an engine; longer delays the resume.
	TokenTimeout time.Duration
	// ImportTimeout bounds one transfer of which nothing is known yet, and
	// ShortestImport one that the measured rate says is quick. A stalled
	// transfer must leave time for another decode engine within the window; a
	// bound below the links' ordinary jitter gives up transfers that were fine.
	ImportTimeout  time.Duration
	ShortestImport time.Duration
	// PlainTimeout bounds one call to a plain backend server.
	PlainTimeout time.Duration
	// ReserveTimeout bounds one question to a steward or a witness.
	ReserveTimeout time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// CancelEvery is the pause between two tries to cancel an attempt.
	CancelEvery time.Duration
	// CancelFor is how long a cancel is repeated; then the engine counts as
	// dead, and its memory with it.
	CancelFor time.Duration
	// Protect says which protections are on: all of them, but in trials that
	// show what each is for.
	Protect Protections
	// Policy places model requests.
	Policy route.Policy
}

// DefaultConfig suits engines of the sizes in the brief.
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

// Deps is what a Runner works with.
type Deps struct {
	// Home is this instance with its incarnation, as engines know it.
	Home      string
	Zone      string
	View      func() *table.View
	Fleet     *route.Fleet
	Admission *route.Admission
	Engines   engine.Client
	Services  service.Client
	Stewards  Stewards
	Witnesses Witnesses
	// Operations and Uptime may be nil where no operation ids are used.
	Operations *operation.Home
	Uptime     func() time.Duration
	// Stale says that the table is too old to take requests with; may be nil.
	Stale   func() bool
	Metrics *metrics.Set
	Traces  *trace.Ring
	// Random returns a number in [0,1); it jitters pauses.
	Random func() float64
}

// Runner runs requests for which this instance is the home.
type Runner struct {
	Deps
	config  Config
	prefill *route.Profile
	decode  *route.Profile
	plain   *route.Profile
	budgets sync.Map // service name -> *route.Budget
	claims  claims
	// cancels waits for the cancels that outlive their requests.
	cancels sync.WaitGroup
}

// NewRunner returns a Runner.
func NewRunner(deps Deps, config Config) *Runner {
	r := &Runner{
		Deps:    deps,
		config:  config,
		prefill: config.Policy.Prefill,
		decode:  config.Policy.Decode,
		plain:   route.PlainProfile(),
	}
	if !config.Protect.Leaving {
		leaving := route.LeavingFilter{}.Name()
		r.prefill, r.decode, r.plain = r.prefill.Without(leaving), r.decode.Without(leaving), r.plain.Without(leaving)
	}
	return r
}

// Wait blocks until every cancel was confirmed or given up.
func (r *Runner) Wait() { r.cancels.Wait() }

// Result says how a request ended.
type Result struct {
	RequestID string
	Outcome   reason.Outcome
	Reason    reason.Reason
	// RetryAfter is when the caller may try again; 0 where that is no use.
	RetryAfter time.Duration
	// Tokens counts the tokens delivered, PromptTokens those of the prompt.
	Tokens       int
	PromptTokens int
	Attempts     int
}

// run is one request while it lives.
type run struct {
	*Runner
	life    Life
	record  *trace.Request
	service *table.ServiceView
	op      *operation.ID
	attempt int
	// noted is set once the witness has acknowledged the intent.
	noted bool
}

// begin opens the books on a request; service is nil when no row has its name.
func (r *Runner) begin(id string, service *table.ServiceView, team string, view *table.View) *run {
	record := &trace.Request{
		ID: id, Team: team, Home: r.Home, Revision: view.Revision, Arrived: clock.Now(),
	}
	if service != nil {
		record.Service = service.Name
	}
	return &run{Runner: r, record: record, service: service}
}

// refusal says why a request is refused whatever it asks for.
func (r *Runner) refusal(known bool) reason.Reason {
	if r.View().Revision == 0 || (r.Stale != nil && r.Stale()) {
		return reason.StaleTable
	}
	if !known {
		return reason.UnknownService
	}
	return reason.None
}

// step moves the life on and notes why.
func (r *run) step(event Event, why reason.Reason, server string) {
	r.life.Step(event)
	r.record.Add(clock.Now(), trace.Step{
		Attempt: r.attempt, State: r.life.State().String(), Reason: why, Server: server,
	})
}

func (r *run) note(decision *route.Decision) {
	r.record.Add(clock.Now(), trace.Step{
		Attempt: r.attempt, State: r.life.State().String(), Server: decision.Pick, Choice: decision,
	})
}

// finish closes the books on a request.
func (r *run) finish(why reason.Reason, retryAfter time.Duration) Result {
	outcome := r.life.Outcome()
	if outcome == reason.Done {
		why = reason.None
	}
	r.claims.drop(r.record.ID)
	r.record.Outcome = outcome
	r.record.Reason = why
	r.Metrics.Ended(r.record.Service, outcome, why)
	if r.op != nil {
		status := operation.Status{Outcome: outcome, Reason: why}
		r.Operations.End(*r.op, status)
		if r.noted {
			r.Witnesses.Settle(*r.op, status)
		}
	}
	r.Traces.Keep(r.record)
	r.log(outcome, why)
	return Result{
		RequestID: r.record.ID, Outcome: outcome, Reason: why, RetryAfter: retryAfter,
		Tokens: r.record.Tokens, PromptTokens: r.record.Prompt, Attempts: r.attempt + 1,
	}
}

// Verbosity of the log lines about requests.
const (
	logFailures = 1
	logEvery    = 2
)

// log writes a line about a request that ended.
func (r *run) log(outcome reason.Outcome, why reason.Reason) {
	level := klog.Level(logFailures)
	if outcome == reason.Done {
		level = logEvery
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
	r.step(Depart, reason.CallerGone, "")
	return r.finish(reason.CallerGone, 0)
}

// open begins the operation of a request that carries an id. It returns false
// when the operation must not run.
func (r *run) open(id *operation.ID) (Result, bool) {
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

// witness has the intent acknowledged before the first byte is sent.
func (r *run) witness(ctx context.Context) reason.Reason {
	if r.op == nil || r.noted || !r.config.Protect.Witness {
		return reason.None
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.ReserveTimeout)
	defer cancel()
	if why := r.Witnesses.Intent(ctx, *r.op); why != reason.None {
		return why
	}
	r.noted = true
	return reason.None
}

func (r *Runner) budget(serviceName string) *route.Budget {
	if found, ok := r.budgets.Load(serviceName); ok {
		return found.(*route.Budget)
	}
	found, _ := r.budgets.LoadOrStore(serviceName, route.NewBudget())
	return found.(*route.Budget)
}

// pause waits a jittered while; it returns false when ctx ended first.
func (r *Runner) pause(ctx context.Context, mean time.Duration) bool {
	return wait.For(ctx, time.Duration(float64(mean)*(0.5+r.Random())))
}
