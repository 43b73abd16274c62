package instance

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
	"github.com/mastwheel/mastwheel/wait"
)

// Instance is one running instance.
type Instance struct {
	config  Config
	deps    Deps
	self    operation.Member
	started time.Time

	Metrics *metrics.Set
	Traces  *trace.Ring
	Runner  *request.Runner

	members    *member.Members
	fleet      *route.Fleet
	admission  *route.Admission
	steward    *route.Steward
	operations *operation.Home
	witness    *operation.Witness
	keeper     *keeper
	caches     cacheFeed
	held       heldSince
	cells      cells
	orders     orders
	// ordersToken and ordersUntil publish the lease for HoldsOrders.
	ordersToken atomic.Uint64
	ordersUntil atomic.Int64

	// beats counts the heartbeats sent; only the heartbeat loop uses it.
	beats int
	// snapshotMissed is set when the log lacked a snapshot at the last look;
	// only the snapshot loop uses it.
	snapshotMissed bool

	inFlight atomic.Int64
	sequence atomic.Uint64
	draining atomic.Bool
	// fresh is when the log or a sibling was last heard, as uptime.
	fresh atomic.Int64
}

// New returns an instance that Run brings to life.
func New(config Config, deps Deps) *Instance {
	now := clock.Now()
	fleet := route.NewFleet()
	self := operation.Member{Name: config.Name, Incarnation: operation.Incarnation(now.UnixMilli())}
	i := &Instance{
		config:     config,
		deps:       deps,
		self:       self,
		started:    now,
		Metrics:    metrics.New(),
		Traces:     trace.NewRing(config.MostTraces),
		members:    member.New(self, config.Member),
		fleet:      fleet,
		admission:  route.NewAdmission(),
		steward:    route.NewSteward(),
		operations: operation.NewHome(self, config.MostOperations),
		witness:    operation.NewWitness(self, config.MostOperations),
		keeper:     newKeeper(fleet),
	}
	i.cells.place.Store(&place{})
	i.keeper.restrict(i.workersOf(i.cells.place.Load()))
	i.cells.far = make(map[string][]instancelist.Entry)
	i.Runner = request.NewRunner(request.Deps{
		Home:       self.String(),
		Zone:       config.Zone,
		View:       i.keeper.View,
		Fleet:      i.fleet,
		Admission:  i.admission,
		Engines:    deps.Engines,
		Services:   deps.Services,
		Stewards:   stewards{i},
		Witnesses:  witnesses{i},
		Operations: i.operations,
		Uptime:     i.Uptime,
		Stale:      i.Stale,
		Metrics:    i.Metrics,
		Traces:     i.Traces,
		Random:     deps.Random,
	}, config.Request)
	return i
}

// Self returns the identity of this run of the instance.
func (i *Instance) Self() operation.Member { return i.self }

// Zone returns the availability zone.
func (i *Instance) Zone() string { return i.config.Zone }

// Uptime is the instance's monotonic clock.
func (i *Instance) Uptime() time.Duration { return clock.Since(i.started) }

// Table returns the table in force.
func (i *Instance) Table() *table.Table { return i.keeper.Table() }

// View returns the table in force, compiled.
func (i *Instance) View() *table.View { return i.keeper.View() }

// Verdict returns what was decided about an edit, if its record was seen.
func (i *Instance) Verdict(editID string) (table.Verdict, bool) { return i.keeper.Verdict(editID) }

// History returns the last verdicts on edits, the latest first, and how many
// log records were refused as they could not be read or verified.
func (i *Instance) History() (verdicts []table.Verdict, bad int) { return i.keeper.History() }

// Fleet returns what the instance knows of backend servers.
func (i *Instance) Fleet() *route.Fleet { return i.fleet }

// Members returns the siblings as this instance sees them.
func (i *Instance) Members() *member.View { return i.members.View() }

// NewRequestID returns an id that names this run of the instance, so that any
// sibling can find the request's home.
func (i *Instance) NewRequestID() string {
	return i.self.String() + "." + strconv.FormatUint(i.sequence.Add(1), 36)
}

// Enter counts a request in flight; the returned function ends it.
func (i *Instance) Enter() (leave func()) {
	i.inFlight.Add(1)
	return func() { i.inFlight.Add(-1) }
}

// InFlight returns the requests that this instance is the home of.
func (i *Instance) InFlight() int { return int(i.inFlight.Load()) }

// Info is what the instance says about itself.
func (i *Instance) Info() member.Info {
	return member.Info{
		Name:        i.self.Name,
		Incarnation: i.self.Incarnation,
		Zone:        i.config.Zone,
		Caller:      i.config.Caller,
		Peer:        i.config.Peer,
		Draining:    i.draining.Load(),
		Uptime:      i.Uptime(),
		Revision:    i.keeper.Table().Revision,
		Next:        i.keeper.Next(),
		InFlight:    i.InFlight(),
		Cell:        i.Cell(),
	}
}

// Ready says whether the instance may take callers, or why not.
func (i *Instance) Ready() error {
	if i.draining.Load() {
		return errors.New("draining")
	}
	if i.keeper.Table().Revision == 0 {
		return errors.New("no table yet")
	}
	if i.Cell() == "" {
		return errors.New("not on the instance list yet")
	}
	if i.Stale() {
		return errors.New("neither the log nor a sibling was heard for too long")
	}
	return nil
}

// Stale says whether the table may be too old to take new callers with.
func (i *Instance) Stale() bool {
	return i.Uptime()-time.Duration(i.fresh.Load()) > i.config.StaleAfter
}

func (i *Instance) refresh() { i.fresh.Store(int64(i.Uptime())) }

// Draining says whether a graceful shutdown has begun.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Run keeps the instance alive until ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.deps.Peers.Serve(ctx, i.handle) })
	group.Go(func() error { return i.followLog(ctx) })
	i.goEvery(ctx, group, i.config.ListEvery, i.readList)
	i.goEvery(ctx, group, snapshotLook, i.writeSnapshot)
	i.goEvery(ctx, group, ordersEvery, i.runOrders)
	i.goEvery(ctx, group, i.config.Member.HeartbeatEvery, i.heartbeat)
	i.goAfter(ctx, group, i.config.LoadEvery, i.inspectWorkers)
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Drain begins a graceful shutdown and returns when it is done, or ctx ends:
// the instance is no longer named to callers, serves until the answers that
// name it have expired, and then until its requests have ended.
func (i *Instance) Drain(ctx context.Context) {
	i.draining.Store(true)
	if !i.config.Request.Protect.Drain {
		return
	}
	wait.For(ctx, i.config.KeepAnswer+i.config.Member.SuspectAfter)
	for i.InFlight() > 0 && wait.For(ctx, drainPoll) {
	}
	i.Runner.Wait()
}

// drainPoll is how often a draining instance looks whether it is done.
const drainPoll = 50 * time.Millisecond

// goEvery calls work at once and then as goAfter does.
func (i *Instance) goEvery(ctx context.Context, group *errgroup.Group, period time.Duration, work func(context.Context)) {
	phase := i.phase(period)
	group.Go(func() error {
		work(ctx)
		return repeat(ctx, phase, period, work)
	})
}

// goAfter calls work once a period, until ctx ends. The period begins at a
// random phase, so that instances started together do not all work at the same
// moment, and work that needs what others find out at the start comes after
// them.
func (i *Instance) goAfter(ctx context.Context, group *errgroup.Group, period time.Duration, work func(context.Context)) {
	phase := i.phase(period)
	group.Go(func() error { return repeat(ctx, phase, period, work) })
}

func (i *Instance) phase(period time.Duration) time.Duration {
	return time.Duration(i.deps.Random() * float64(period))
}

// repeat calls work once a period, after a phase, until ctx ends.
func repeat(ctx context.Context, phase, period time.Duration, work func(context.Context)) error {
	wait.For(ctx, phase)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			work(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
