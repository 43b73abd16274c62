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
	tables     *tableState
	caches     cacheChanges
	heldTimes  heldTimes
	cells      cells
	orders     orders
	// ordersToken and ordersUntil are the fencing token and the end (Unix time in
	// nanoseconds) of the lease on orders to engines, for HoldsOrdersLease.
	ordersToken atomic.Uint64
	ordersUntil atomic.Int64

	// heartbeatsSent counts the heartbeats sent. Only the heartbeat loop uses
	// it.
	heartbeatsSent int
	// snapshotWasMissing is set if the log lacked a snapshot at the last check.
	// Only the snapshot loop uses it.
	snapshotWasMissing bool

	inFlight atomic.Int64
	sequence atomic.Uint64
	draining atomic.Bool
	// lastContact is when the log was last read or a sibling last showed this
	// instance to be up to date, as uptime.
	lastContact atomic.Int64
}

// New returns an instance. Run starts it.
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
		Traces:     trace.NewRing(config.MaxTraces),
		members:    member.New(self, config.Member),
		fleet:      fleet,
		admission:  route.NewAdmission(),
		steward:    route.NewSteward(),
		operations: operation.NewHome(self, config.MaxOperations),
		witness:    operation.NewWitness(self, config.MaxOperations),
		tables:     newTableState(fleet),
	}
	i.cells.layout.Store(&cellLayout{})
	i.tables.restrict(i.serversOf(i.cells.layout.Load()))
	i.cells.otherZones = make(map[string][]instancelist.Entry)
	i.Runner = request.NewRunner(request.Deps{
		Home:       self.String(),
		Zone:       config.Zone,
		View:       i.tables.View,
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

// Uptime returns the time since the start on the monotonic clock.
func (i *Instance) Uptime() time.Duration { return clock.Since(i.started) }

// Table returns the table in force.
func (i *Instance) Table() *table.Table { return i.tables.Table() }

// View returns the table in force in compiled form.
func (i *Instance) View() *table.View { return i.tables.View() }

// Verdict returns the verdict on an edit if its record was read.
func (i *Instance) Verdict(editID string) (table.Verdict, bool) { return i.tables.Verdict(editID) }

// History returns the last verdicts on edits, the latest first, and how many
// log records were rejected because they could not be read or verified.
func (i *Instance) History() (verdicts []table.Verdict, bad int) { return i.tables.History() }

// Fleet returns what the instance knows of backend servers.
func (i *Instance) Fleet() *route.Fleet { return i.fleet }

// Members returns the instance's view of its siblings.
func (i *Instance) Members() *member.View { return i.members.View() }

// NewRequestID returns an id that contains the identity of this run of the
// instance, so that any sibling can find the request's home (the instance that
// the caller is connected to).
func (i *Instance) NewRequestID() string {
	return i.self.String() + "." + strconv.FormatUint(i.sequence.Add(1), 36)
}

// BeginRequest counts a request in flight until the returned function is called.
func (i *Instance) BeginRequest() (leave func()) {
	i.inFlight.Add(1)
	return func() { i.inFlight.Add(-1) }
}

// InFlight returns the number of requests whose home is this instance.
func (i *Instance) InFlight() int { return int(i.inFlight.Load()) }

// Info returns what the instance reports about itself to siblings.
func (i *Instance) Info() member.Info {
	return member.Info{
		Name:        i.self.Name,
		Incarnation: i.self.Incarnation,
		Zone:        i.config.Zone,
		Caller:      i.config.Caller,
		Peer:        i.config.Peer,
		Draining:    i.draining.Load(),
		Uptime:      i.Uptime(),
		Revision:    i.tables.Table().Revision,
		Next:        i.tables.Next(),
		InFlight:    i.InFlight(),
		Cell:        i.Cell(),
	}
}

// Ready returns nil if the instance may accept callers, else an error with the
// reason.
func (i *Instance) Ready() error {
	if i.draining.Load() {
		return errors.New("draining")
	}
	if i.tables.Table().Revision == 0 {
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

// Stale reports whether the table may be too old for accepting new callers.
func (i *Instance) Stale() bool {
	return i.Uptime()-time.Duration(i.lastContact.Load()) > i.config.StaleAfter
}

func (i *Instance) recordContact() { i.lastContact.Store(int64(i.Uptime())) }

// Draining reports whether a graceful shutdown has begun.
func (i *Instance) Draining() bool { return i.draining.Load() }

// Run runs the loops of the instance until ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.deps.Peers.Serve(ctx, i.handle) })
	group.Go(func() error { return i.followLog(ctx) })
	i.goEvery(ctx, group, i.config.ListEvery, i.readList)
	i.goEvery(ctx, group, snapshotCheckEvery, i.writeSnapshot)
	i.goEvery(ctx, group, ordersEvery, i.runOrders)
	i.goEvery(ctx, group, i.config.Member.HeartbeatEvery, i.heartbeat)
	i.goAfter(ctx, group, i.config.LoadEvery, i.inspectServers)
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// Drain begins a graceful shutdown and returns when it is done or ctx ends. The
// address of the instance is no longer given to callers. The instance serves
// until the answers that contain its address have expired, and then until its
// requests have ended.
func (i *Instance) Drain(ctx context.Context) {
	i.draining.Store(true)
	if !i.config.Request.Protect.Drain {
		return
	}
	wait.For(ctx, i.config.EntryTTL+i.config.Member.SuspectAfter)
	for i.InFlight() > 0 && wait.For(ctx, drainPoll) {
	}
	i.Runner.Wait()
}

// drainPoll is how often a draining instance checks whether it is done.
const drainPoll = 50 * time.Millisecond

// goEvery calls work immediately and then once a period, as goAfter does.
func (i *Instance) goEvery(ctx context.Context, group *errgroup.Group, period time.Duration, work func(context.Context)) {
	phase := i.phase(period)
	group.Go(func() error {
		work(ctx)
		return repeat(ctx, phase, period, work)
	})
}

// goAfter calls work once a period until ctx ends. The first period begins at a random
// phase, so that instances that start together do not all work at the same moment. Work
// that needs data which other loops read at the start then runs after them.
func (i *Instance) goAfter(ctx context.Context, group *errgroup.Group, period time.Duration, work func(context.Context)) {
	phase := i.phase(period)
	group.Go(func() error { return repeat(ctx, phase, period, work) })
}

func (i *Instance) phase(period time.Duration) time.Duration {
	return time.Duration(i.deps.Random() * float64(period))
}

// repeat waits for a phase and then calls work once a period until ctx ends.
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
