// Package edge is one instance on a platform that keeps the table and the list
// of backend servers for it: the loops that follow both, what siblings send
// each other, and who gives engines their roles. Requests are package
// forward's; this package holds what they are decided by.
package edge

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/subset"
	"github.com/mastwheel/mastwheel/table"
)

// Instance is one running instance.
type Instance struct {
	config   Config
	deps     Deps
	started  time.Time
	self     atomic.Uint64 // incarnation
	table    atomic.Pointer[Revision]
	registry *registry.Registry
	servers  atomic.Pointer[forward.Servers]
	Fleet    *route.Fleet
	members  *member.Members
	peers    *peers
	budgets  *budgets
	// tableFeed and list keep table and registry up to date.
	tableFeed *feed
	list      *feed
	// tablePosition is where the store's log of the table is read on.
	tablePosition atomic.Uint64
	// uses is the part of all servers that this instance uses; nil if it uses all.
	uses atomic.Pointer[subset.Subset]
	// counted is the census of the list as it was counted last.
	counted atomic.Pointer[countedList]
	// outgrown names the hub by whose word this instance uses shares that do not suit any
	// more; nil otherwise.
	outgrown atomic.Pointer[string]
	// evacuation is which zones are evacuated; nil until any ever was.
	evacuation atomic.Pointer[heartbeat.Evacuation]
	// loadsHeard holds an entry when what siblings have sent is to be summed anew.
	loadsHeard chan struct{}
	stopping   atomic.Bool
	orders     *orders
	hubs       *hubs
	// reads is set while this instance leaves long polls waiting at the store.
	reads atomic.Bool
	// begins is closed, and replaced, when it begins to.
	begins atomic.Pointer[chan struct{}]
	// urgent is set, and hurried wakes the beat, when siblings are to hear at once.
	urgent  atomic.Bool
	hurried chan struct{}
	// inMesh is set while each instance sends its state to all others.
	inMesh atomic.Bool
	// Allotments is what teams may still use.
	Allotments *allotment.Ledger
	// adopted is when this instance took the word of its hub on that last; nil before.
	adopted atomic.Pointer[adoption]
	// Poison remembers which requests ran at servers when these ended.
	Poison *poison.Tracker
	// says bounds the log lines on what servers say of themselves.
	says *logging.Limit
}

// New returns an instance that knows nothing yet.
func New(config Config, deps Deps) *Instance {
	in := &Instance{
		config:   config,
		deps:     deps,
		registry: registry.New(registry.DefaultConfig()),
		members:  newMembers(config),
		peers:    newPeers(config.SiblingAddress, config.Seeds),
	}
	in.init()
	in.self.Store(uint64(time.Now().UnixMilli()))
	return in
}

func newMembers(config Config) *member.Members {
	return member.New(operation.Member{Name: config.Name}, config.Members)
}

// init sets up what depends on nothing outside.
func (in *Instance) init() {
	in.started = clock.Now()
	in.Fleet = route.NewFleet()
	in.Fleet.OnCommitted(in.committed)
	in.Fleet.Backpressure = backpressure.New(in.deps.Random)
	in.Fleet.Backpressure.OnChange(in.logBackpressure, in.hurryAll)
	in.budgets = newBudgets(in.config.RetryRatio, in.config.RetrySlack, in.config.RetryWindow)
	in.tableFeed = in.newTableFeed()
	in.list = in.newListFeed()
	in.servers.Store(&forward.Servers{})
	in.orders = newOrders(in)
	in.hubs = newHubs(in.config)
	in.loadsHeard = make(chan struct{}, 1)
	begins := make(chan struct{})
	in.begins.Store(&begins)
	in.reads.Store(true)
	in.inMesh.Store(true)
	in.hurried = make(chan struct{}, 1)
	in.says = newSaysLimit()
	in.Allotments = allotment.New(allotment.DefaultConfig(), in.deps.Random)
	in.Allotments.SetSlack(in.config.AllotmentSlack * slackUsed)
	in.Poison = poison.New(poison.DefaultConfig(), in.deps.Random, in.Instances)
	in.Poison.OnChange(logPoison, in.hurryAll)
}

// Run follows table, servers and siblings until ctx ends.
func (in *Instance) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){
		in.followRoster, in.catchUp, in.beat, in.followLoads, in.tick, in.keepFresh, in.followEra, in.orders.run,
	}
	for _, feed := range in.feeds() {
		loops = append(loops, feed.follow)
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error { return in.deps.Socket.Receive(ctx, in.heard, in.strange) })
	return group.Wait()
}

// setReads says whether this instance leaves long polls waiting at the store.
func (in *Instance) setReads(reads bool) {
	if !reads || in.reads.Load() {
		in.reads.Store(reads)
		return
	}
	in.reads.Store(true)
	next := make(chan struct{})
	close(*in.begins.Swap(&next))
}

// feeds are all that follow the store.
func (in *Instance) feeds() []*feed { return []*feed{in.tableFeed, in.list} }

// Table implements forward.View.
func (in *Instance) Table() *table.View {
	if revision := in.table.Load(); revision != nil {
		return revision.View
	}
	return nil
}

// Revision returns the number of the table in force; 0 before there is one.
func (in *Instance) Revision() uint64 {
	if revision := in.table.Load(); revision != nil {
		return revision.Number
	}
	return 0
}

// Serving counts the siblings that serve.
func (in *Instance) Serving() int {
	count := 0
	for _, sibling := range in.members.View().Siblings {
		if sibling.Serves() {
			count++
		}
	}
	return count
}

// Servers implements forward.View.
func (in *Instance) Servers() *forward.Servers { return in.servers.Load() }

// Confirmed implements forward.View.
func (in *Instance) Confirmed() time.Time { return in.list.confirmed() }

// TableConfirmed returns when the table was last known to be the newest.
func (in *Instance) TableConfirmed() time.Time { return in.tableFeed.confirmed() }

// Polls counts how often this instance polled the store beside the long polls that
// wait there, and the polls that it gave up.
func (in *Instance) Polls() (beside, givenUp uint64) {
	for _, feed := range in.feeds() {
		beside += feed.probes.Load()
		givenUp += feed.givenUp.Load()
	}
	return beside, givenUp
}

// Budget returns the retry budget of a service.
func (in *Instance) Budget(service string) *route.SharedBudget { return in.budgets.of(service) }

// Ready says whether the instance takes requests.
func (in *Instance) Ready() bool {
	return !in.stopping.Load() && in.table.Load() != nil && len(in.servers.Load().ByRun) > 0
}

// Stop begins a graceful shutdown: siblings no longer name this instance to
// callers.
func (in *Instance) Stop(ctx context.Context) {
	in.stopping.Store(true)
	in.sendHeartbeats()
	if err := in.deps.Roster.Withdraw(ctx, in.config.Name); err != nil {
		logStore("Not taken off the list of instances", err)
	}
}
