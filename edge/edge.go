// Package edge runs one instance on a platform that stores the table and the list of backend
// servers for it. It holds the loops that follow the table and the list, the messages that
// siblings (the other instances) exchange, and the choice of the instance that gives engines
// their roles. Package forward handles requests. This package provides the state by which it
// decides them.
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
	config      Config
	deps        Deps
	started     time.Time
	incarnation atomic.Uint64
	// refused counts the values of siblings' messages that no instance sends.
	refused         atomic.Uint64
	refusedLogLimit *logging.Limit
	// partsLeftOut counts the parts of messages that did not fit into a datagram.
	partsLeftOut atomic.Uint64
	table        atomic.Pointer[Revision]
	// unusableRevision is the last revision of a sibling that this instance could not use. It is not requested again.
	unusableRevision atomic.Uint64
	registry         *registry.Registry
	servers          atomic.Pointer[forward.Servers]
	Fleet            *route.Fleet
	members          *member.Members
	peers            *peers
	transit          *transit
	budgets          *budgets
	// tableFeed keeps table up to date, and list keeps registry up to date.
	tableFeed *feed
	list      *feed
	// tablePosition is the position from which the store's log of the table is read next.
	tablePosition atomic.Uint64
	// uses is the subset of the servers that this instance uses. It is nil if it uses all.
	uses atomic.Pointer[subset.Subset]
	// listCensus is the latest count of the servers on the list by service and zone.
	listCensus atomic.Pointer[countedList]
	// outgrown names the hub that reported that this instance's subset of the servers no longer
	// suits. It is nil otherwise.
	outgrown atomic.Pointer[string]
	// evacuation holds the evacuated zones. It is nil until the first evacuation.
	evacuation atomic.Pointer[heartbeat.Evacuation]
	// loadsReceived holds an entry when siblings have sent loads (the requests and memory that
	// they have assigned to each server) that are not in the sums yet.
	loadsReceived chan struct{}
	stopping      atomic.Bool
	// cutOff is set while this instance reaches no server of some service.
	cutOff atomic.Bool
	orders *orders
	hubs   *hubs
	speeds *speeds
	// Origins holds at which releases streams began.
	Origins *origins
	// longPolls is set while this instance leaves long polls waiting at the store.
	longPolls atomic.Bool
	// longPollsBegin is closed and replaced when longPolls becomes true.
	longPollsBegin atomic.Pointer[chan struct{}]
	// urgent is set when siblings must receive a heartbeat immediately. woken wakes the
	// heartbeat loop.
	urgent atomic.Bool
	woken  chan struct{}
	// inMesh is set while each instance sends its state to all others.
	inMesh atomic.Bool
	// Allotments holds the balances of the teams' token buckets.
	Allotments *allotment.Ledger
	// adopted records when this instance last adopted the balances from its hub. It is nil
	// before that.
	adopted atomic.Pointer[adoption]
	// Poison remembers which requests ran at servers when these crashed.
	Poison *poison.Tracker
	// statusLogLimit bounds the log lines about server status reports.
	statusLogLimit *logging.Limit
}

// New returns an instance without any data.
func New(config Config, deps Deps) *Instance {
	in := &Instance{
		config:   config,
		deps:     deps,
		registry: registry.New(registry.DefaultConfig()),
		members:  newMembers(config),
		peers:    newPeers(config.SiblingAddress, config.Seeds),
	}
	in.init()
	in.incarnation.Store(uint64(time.Now().UnixMilli()))
	return in
}

func newMembers(config Config) *member.Members {
	return member.New(operation.Member{Name: config.Name}, config.Members)
}

// init sets up the state that needs no call to a dependency.
func (in *Instance) init() {
	in.started = clock.Now()
	in.Fleet = route.NewFleet()
	in.Fleet.OnCommitmentChange(in.onCommitted)
	in.Fleet.Backpressure = backpressure.New(in.deps.Random)
	in.Fleet.Backpressure.OnChange(in.logBackpressure, in.requestUrgentBeat)
	in.budgets = newBudgets(in.config.RetryRatio, in.config.RetrySlack, in.config.RetryWindow)
	in.tableFeed = in.newTableFeed()
	in.list = in.newListFeed()
	in.servers.Store(&forward.Servers{})
	in.orders = newOrders(in)
	in.hubs = newHubs(in.config)
	in.speeds = newSpeeds()
	in.Origins = newOrigins(in)
	in.transit = newTransit()
	in.loadsReceived = make(chan struct{}, 1)
	begins := make(chan struct{})
	in.longPollsBegin.Store(&begins)
	in.longPolls.Store(true)
	in.inMesh.Store(true)
	in.woken = make(chan struct{}, 1)
	in.statusLogLimit = newLogLimit()
	in.refusedLogLimit = logging.NewLimit(refusedPerSecond, refusedBurst, in.started)
	in.Allotments = allotment.New(allotment.DefaultConfig(), in.deps.Random)
	in.Allotments.SetSlack(in.config.AllotmentSlack * slackUsed)
	in.Allotments.SetBounds(allotment.Bounds{
		Window: in.config.AllotmentWindow, Overage: in.config.AllotmentOverage, Slack: in.config.AllotmentSlack,
	})
	in.Poison = poison.New(poison.DefaultConfig(), in.deps.Random, in.Instances)
	in.Poison.OnChange(logPoison, in.requestUrgentBeat)
}

// Run follows the table, the servers and the siblings until ctx ends.
func (in *Instance) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){
		in.followRoster, in.catchUp, in.heartbeatLoop, in.followLoads, in.tick, in.keepFresh, in.followEra, in.orders.run, in.followSpeeds,
		in.Origins.run, in.Origins.followReleases, in.Origins.stored.appendLoop, in.Origins.stored.readLoop,
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
	group.Go(func() error { return in.deps.Socket.Receive(ctx, in.handleMessage, in.logDropped) })
	return group.Wait()
}

// setLongPolls sets whether this instance leaves long polls waiting at the store.
func (in *Instance) setLongPolls(reads bool) {
	if !reads || in.longPolls.Load() {
		in.longPolls.Store(reads)
		return
	}
	in.longPolls.Store(true)
	next := make(chan struct{})
	close(*in.longPollsBegin.Swap(&next))
}

// feeds returns all feeds that follow the store.
func (in *Instance) feeds() []*feed { return []*feed{in.tableFeed, in.list} }

// Table implements forward.View.
func (in *Instance) Table() *table.View {
	if revision := in.table.Load(); revision != nil {
		return revision.View
	}
	return nil
}

// TableSince implements forward.View.
func (in *Instance) TableSince() time.Time {
	if revision := in.table.Load(); revision != nil {
		return revision.Since
	}
	return time.Time{}
}

// Revision returns the number of the table in force, or 0 before there is one.
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

// Polls returns how often this instance polled the store in addition to its long polls, and how
// many polls it gave up.
func (in *Instance) Polls() (extra, givenUp uint64) {
	for _, feed := range in.feeds() {
		extra += feed.probes.Load()
		givenUp += feed.givenUp.Load()
	}
	return extra, givenUp
}

// Budget returns the retry budget of a service.
func (in *Instance) Budget(service string) *route.SharedBudget { return in.budgets.forService(service) }

// Ready reports whether the instance accepts requests: it has a table and servers, and knows which releases are announced or has
// waited for that.
func (in *Instance) Ready() bool {
	return !in.stopping.Load() && in.table.Load() != nil && len(in.servers.Load().ByRun) > 0 && in.Origins.isInformed(clock.Now())
}

// Stop begins a graceful shutdown. Siblings no longer return this instance's address to callers.
func (in *Instance) Stop(ctx context.Context) {
	in.stopping.Store(true)
	in.sendHeartbeats()
	if err := in.deps.Roster.Withdraw(ctx, in.config.Name); err != nil {
		logStore("Failed to remove this instance from the list of instances", err)
	}
}
