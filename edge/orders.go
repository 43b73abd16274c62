package edge

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/roles"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// orders assigns roles to model engines. Only the instance that holds a service's lease orders
// engines of that service to change their roles. The other instances only watch.
type orders struct {
	*Instance
	leases map[string]*lease.Candidate // by service
	// pending holds the needed role change of each service whose roles differ from the plan.
	pending map[string]pendingChange
	// sent holds the last order that this instance sent to each engine.
	sent map[string]sentOrder
	// retryAt is when the lease of a service that another instance held may be free.
	retryAt map[string]time.Time
	// demand follows the demand of each service, if roles follow it.
	demand map[string]*roles.Load

	mu sync.Mutex
	// built holds the inputs of the current view of the servers.
	built viewInputs
}

// pendingChange is a role change that a service needs.
type pendingChange struct {
	since time.Time
	// engines is the number of engines. If it changes, the wait starts again.
	engines int
}

// sentOrder is an order that may still be in progress.
type sentOrder struct {
	role string
	at   time.Time
	// unreached is set if the engine's status could not be requested.
	unreached bool
}

func newOrders(in *Instance) *orders {
	return &orders{
		Instance: in, leases: make(map[string]*lease.Candidate),
		pending: make(map[string]pendingChange), sent: make(map[string]sentOrder), retryAt: make(map[string]time.Time),
		demand: make(map[string]*roles.Load),
	}
}

const (
	// orderGrace is added to the time that a role change takes before an engine counts as not
	// having carried it out, since its entry in the list of servers lags behind.
	orderGrace = 3 * time.Second
	// settleTime is how long the number of engines must stay the same before roles change, since
	// engines register one after another at the start.
	settleTime = 1500 * time.Millisecond
	// rankDelay is how much longer each instance waits than the one before it until it gives a
	// pending order.
	rankDelay = 2 * time.Second
	// orderTimeout bounds one call to an engine.
	orderTimeout = 600 * time.Millisecond
)

func (o *orders) run(ctx context.Context) {
	for o.pause(ctx, o.config.OrdersEvery) {
		view := o.Table()
		if view == nil || o.stopping.Load() || o.registry.View().IsSubset {
			continue
		}
		for name, service := range view.Services {
			if service.Type == table.TypeModel {
				o.reconcile(ctx, name, service)
			}
		}
	}
}

// reconcile compares a service's roles with the plan. It orders a change once the difference has
// lasted for the wait time of this instance's rank.
func (o *orders) reconcile(ctx context.Context, name string, service *table.ServiceView) {
	now := clock.Now()
	change, needed := o.plan(name, service, now)
	if !needed {
		delete(o.pending, name)
		return
	}
	engines := change.Prefill + change.Decode
	current, waiting := o.pending[name]
	if !waiting || current.engines != engines {
		current = pendingChange{since: now, engines: engines}
		o.pending[name] = current
	}
	if now.Sub(current.since) < settleTime+time.Duration(o.rank())*rankDelay || now.Before(o.retryAt[name]) {
		return
	}
	if err := o.sendOrder(ctx, name, change); err != nil {
		klog.InfoS("Failed to order an engine to change its role", "service", name, "server", change.Engine, "role", change.Role, "err", err.Error())
	}
}

// rank returns the number of live siblings that know the full list of servers and whose names
// sort before this instance's.
func (o *orders) rank() int {
	before := 0
	for _, sibling := range o.members.View().Siblings {
		if sibling.State == member.Alive && !sibling.UsesSubset && sibling.Name < o.config.Name {
			before++
		}
	}
	return before
}

// plan returns the next role change, and whether one is needed.
func (o *orders) plan(name string, service *table.ServiceView, now time.Time) (roles.Change, bool) {
	evacuation := o.evacuation.Load()
	var engines []roles.Engine
	servers := o.registry.View().Servers
	for i := range servers {
		entry := &servers[i].Entry
		if entry.Service != name || entry.Role == "" || entry.Draining || evacuates(evacuation, entry.Zone) {
			continue
		}
		known := roles.Engine{Name: entry.Run(), Zone: entry.Zone, Role: entry.Role}
		if server := o.Fleet.Server(known.Name); server != nil && server.Pressure.IsLeaving() {
			continue
		}
		if given, ok := o.sent[known.Name]; ok && now.Sub(given.at) < service.Engine.Switch+orderGrace {
			if known.Unreachable = given.unreached; !given.unreached {
				known.PendingRole = given.role
			}
		}
		engines = append(engines, known)
	}
	if o.config.RolesByLoad {
		return roles.NextByLoad(engines, o.config.PrefillShare, o.observeDemand(name, service, engines, now))
	}
	change, needed := roles.Next(engines, o.config.PrefillShare)
	if many := max(change.Prefill-change.WantPrefill, change.WantPrefill-change.Prefill) > ungatedChanges; needed && many {
		return change, o.inDemand(engines, change.Role, now)
	}
	return change, needed
}

// observeDemand adds the present work of a service's engines to its demand, and returns that.
func (o *orders) observeDemand(name string, service *table.ServiceView, engines []roles.Engine, now time.Time) roles.Demand {
	others := o.siblingCommitments(now)
	queue := roles.Queue{EngineMemory: service.Engine.MemoryTokens}
	for _, engine := range engines {
		server := o.Fleet.Server(engine.Name)
		if server == nil {
			continue
		}
		committed := others[route.ServerID(engine.Name)].Add(server.Own())
		queue.Memory += committed.Memory
		if engine.Role == table.RolePrefill && committed.Unread > 0 {
			queue.Reading++
			queue.Unread += server.ReadTime(committed.Unread)
		}
	}
	if o.demand[name] == nil {
		o.demand[name] = new(roles.Load)
	}
	o.demand[name].Observe(queue, now)
	return o.demand[name].Demand()
}

const (
	// ungatedChanges is up to how many role changes are made whether there is demand for them
	// now or not. Each change is an order and takes an engine out of service for seconds. With
	// thousands of engines, correcting roles that differ from the plan by a tenth would take
	// minutes, with engines out of service all that time.
	ungatedChanges = 32
	// minBusyShare is the share of a role's engines that must be busy before many more engines
	// receive that role.
	minBusyShare = 0.25
)

// inDemand reports whether so many engines of a role have work that more engines should get the
// role.
func (o *orders) inDemand(engines []roles.Engine, role string, now time.Time) bool {
	others := o.siblingCommitments(now)
	have, busy := 0, 0
	for _, engine := range engines {
		if engine.Role != role {
			continue
		}
		have++
		committed := others[route.ServerID(engine.Name)]
		if server := o.Fleet.Server(engine.Name); server != nil {
			committed = committed.Add(server.Own())
		}
		if committed != (route.Commitment{}) {
			busy++
		}
	}
	return float64(busy) >= minBusyShare*float64(have)
}

// sendOrder sends an engine the order to change its role, if this instance holds or can claim the
// service's lease.
func (o *orders) sendOrder(ctx context.Context, service string, change roles.Change) error {
	candidate, err := o.acquireLease(ctx, service)
	if err != nil {
		return err
	}
	entry := o.servers.Load().ByRun[change.Engine]
	if entry == nil {
		return errors.New("engine is no longer in the list of servers")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var order *RoleOrder
	expired := false
	err = o.deps.Engines.SetRole(ctx, entry, func(status EngineStatus) (RoleOrder, bool) {
		if status.Busy || status.Role == change.Role {
			o.sent[change.Engine] = sentOrder{role: change.Role, at: clock.Now()}
			return RoleOrder{}, false
		}
		token, valid := candidate.Valid(clock.Now())
		if expired = !valid; expired {
			return RoleOrder{}, false
		}
		o.sent[change.Engine] = sentOrder{role: change.Role, at: clock.Now()}
		o.announce(change.Engine, service)
		order = &RoleOrder{Role: change.Role, Holder: o.config.Name, Token: token, After: status.Sequence}
		return *order, true
	})
	switch {
	case expired:
		return errors.New("lease expired before the order was sent")
	case order == nil:
		if err != nil {
			// The next order meanwhile goes to another engine.
			o.sent[change.Engine] = sentOrder{at: clock.Now(), unreached: true}
		}
		return err
	}
	// accepted is false unless the engine confirmed the order. After an error of the call, the order
	// may or may not have reached the engine.
	klog.InfoS("Sent an engine the order to change its role", "service", service, "server", change.Engine, "role", change.Role, "token", order.Token,
		"after", order.After, "prefill", change.Prefill, "decode", change.Decode, "wantPrefill", change.WantPrefill, "unreachable", change.Unreachable,
		"prefillDemand", change.Demand.Prefill, "decodeDemand", change.Demand.Decode, "accepted", err == nil)
	if errors.Is(err, engine.ErrStale) {
		delete(o.leases, service)
	}
	return err
}

// announce informs this instance and its siblings that an engine accepts no work while it
// changes its role.
func (o *orders) announce(engine, service string) {
	view := o.Table()
	if view == nil || view.Services[service] == nil {
		return
	}
	until := clock.Now().Add(view.Services[service].Engine.Switch)
	if server := o.Fleet.Server(engine); server != nil {
		server.SetRoleChangeUntil(until)
	}
	o.peers.addOwnChange(route.ServerID(engine), until)
	o.sendHeartbeats()
}

// acquireLease makes this instance the holder of a service's lease if possible.
func (o *orders) acquireLease(ctx context.Context, service string) (*lease.Candidate, error) {
	now := clock.Now()
	candidate := o.leases[service]
	if candidate == nil {
		holder := o.config.Name + "." + strconv.FormatUint(o.incarnation.Load(), 36)
		candidate = lease.NewCandidate(o.config.Lease, service, holder, now)
		o.leases[service] = candidate
	}
	if _, valid := candidate.Valid(now); valid {
		return candidate, nil
	}
	state, condition, err := o.deps.Claims.Last(ctx, service)
	if err != nil {
		return nil, err
	}
	candidate.Observe(state, clock.Now())
	claim, due := candidate.Next(clock.Now(), true)
	if !due {
		// Each check is a call to the store, and every instance that wants to give the order
		// makes it.
		o.retryAt[service] = clock.Now().Add(o.config.Lease.TTL)
		return nil, errors.New("lease may still be held by another instance: " + state.Holder)
	}
	state, won, err := o.deps.Claims.Claim(ctx, claim, condition)
	if err != nil {
		return nil, err
	}
	if !won {
		return nil, errors.New("lease was claimed first by another instance")
	}
	candidate.Observe(state, clock.Now())
	klog.InfoS("Lease claimed", "lease", service, "token", state.Token)
	if _, valid := candidate.Valid(clock.Now()); !valid {
		return nil, errors.New("lease expired before the claim was confirmed")
	}
	return candidate, nil
}
