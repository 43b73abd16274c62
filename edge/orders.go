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

// orders gives model engines their roles. One instance at a time may, under a
// lease; the others only watch.
type orders struct {
	*Instance
	leases map[string]*lease.Candidate // by service
	// wanted is since when a service's roles have been other than planned.
	wanted map[string]want
	// given is the last order that an engine got from here.
	given map[string]givenOrder
	// lookAgain is when the lease of a service may be free that another instance held.
	lookAgain map[string]time.Time

	mu sync.Mutex
	// built is what the picture of the servers was made of.
	built picture
}

// want is a change of roles that is wanted.
type want struct {
	since time.Time
	// engines is how many there were; others begin the wait anew.
	engines int
}

// givenOrder is an order that may still be under way.
type givenOrder struct {
	role string
	at   time.Time
	// unreached is set if the engine could not be asked.
	unreached bool
}

func newOrders(in *Instance) *orders {
	return &orders{
		Instance: in, leases: make(map[string]*lease.Candidate),
		wanted: make(map[string]want), given: make(map[string]givenOrder), lookAgain: make(map[string]time.Time),
	}
}

const (
	// orderSettle is added to the time that a change of role takes before an
	// engine counts as not having carried it out: its entry in the list lags.
	orderSettle = 3 * time.Second
	// settleFor is how long the number of engines must stay the same before
	// roles change: at the start they register one after the other.
	settleFor = 1500 * time.Millisecond
	// turnEvery is how much longer each instance waits than the one before it
	// until it gives an order that is wanted.
	turnEvery = 2 * time.Second
	// orderTimeout bounds one call to an engine.
	orderTimeout = 600 * time.Millisecond
)

func (o *orders) run(ctx context.Context) {
	for o.pause(ctx, o.config.OrdersEvery) {
		view := o.Table()
		if view == nil || o.stopping.Load() || o.registry.View().Part {
			continue
		}
		for name, service := range view.Services {
			if service.Type == table.TypeModel {
				o.consider(ctx, name, service)
			}
		}
	}
}

// consider compares a service's roles with the plan, and changes them once the
// difference has lasted for this instance's turn.
func (o *orders) consider(ctx context.Context, name string, service *table.ServiceView) {
	now := clock.Now()
	change, needed := o.plan(name, service, now)
	if !needed {
		delete(o.wanted, name)
		return
	}
	engines := change.Prefill + change.Decode
	wanted, waiting := o.wanted[name]
	if !waiting || wanted.engines != engines {
		wanted = want{since: now, engines: engines}
		o.wanted[name] = wanted
	}
	if now.Sub(wanted.since) < settleFor+time.Duration(o.turn())*turnEvery || now.Before(o.lookAgain[name]) {
		return
	}
	if err := o.give(ctx, name, change); err != nil {
		klog.InfoS("Order not given", "service", name, "server", change.Engine, "role", change.Role, "err", err.Error())
	}
}

// turn is the number of living siblings that know the whole list and come before this
// instance.
func (o *orders) turn() int {
	before := 0
	for _, sibling := range o.members.View().Siblings {
		if sibling.State == member.Alive && !sibling.Part && sibling.Name < o.config.Name {
			before++
		}
	}
	return before
}

// plan finds the next change of role, if one is needed.
func (o *orders) plan(name string, service *table.ServiceView, now time.Time) (roles.Change, bool) {
	evacuation := o.evacuation.Load()
	var engines []roles.Engine
	for i := range o.registry.View().Servers {
		entry := &o.registry.View().Servers[i].Entry
		if entry.Service != name || entry.Role == "" || entry.Draining || evacuates(evacuation, entry.Zone) {
			continue
		}
		known := roles.Engine{Name: entry.Run(), Zone: entry.Zone, Role: entry.Role}
		if server := o.Fleet.Server(known.Name); server != nil && server.Pressure.IsLeaving() {
			continue
		}
		if given, ok := o.given[known.Name]; ok && now.Sub(given.at) < service.Engine.Switch+orderSettle {
			if known.Unreached = given.unreached; !given.unreached {
				known.Ordered = given.role
			}
		}
		engines = append(engines, known)
	}
	change, needed := roles.Next(engines, o.config.PrefillShare)
	if many := max(change.Prefill-change.Want, change.Want-change.Prefill) > fewChanges; needed && many {
		return change, o.inDemand(engines, change.Role, now)
	}
	return change, needed
}

const (
	// fewChanges is how many changes of role are made whether they are needed now or not.
	// Each is an order, and takes an engine out for seconds: for thousands of engines a
	// plan that is off by a tenth would be minutes of that.
	fewChanges = 32
	// demand is the part of a role's engines that must have something to do for many more
	// to be given it.
	demand = 0.25
)

// inDemand says whether so many engines of a role have work that others should join them.
func (o *orders) inDemand(engines []roles.Engine, role string, now time.Time) bool {
	others := o.others(now)
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
	return float64(busy) >= demand*float64(have)
}

// give gives one order under the lease.
func (o *orders) give(ctx context.Context, service string, change roles.Change) error {
	candidate, err := o.hold(ctx, service)
	if err != nil {
		return err
	}
	entry := o.servers.Load().ByRun[change.Engine]
	if entry == nil {
		return errors.New("the engine is gone")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var given *RoleOrder
	lapsed := false
	err = o.deps.Engines.SetRole(ctx, entry, func(status EngineStatus) (RoleOrder, bool) {
		if status.Busy || status.Role == change.Role {
			o.given[change.Engine] = givenOrder{role: change.Role, at: clock.Now()}
			return RoleOrder{}, false
		}
		token, valid := candidate.Valid(clock.Now())
		if lapsed = !valid; lapsed {
			return RoleOrder{}, false
		}
		o.given[change.Engine] = givenOrder{role: change.Role, at: clock.Now()}
		o.announce(change.Engine, service)
		given = &RoleOrder{Role: change.Role, Holder: o.config.Name, Token: token, After: status.Sequence}
		return *given, true
	})
	switch {
	case lapsed:
		return errors.New("the lease has run out")
	case given == nil:
		if err != nil {
			// The next order is for another engine meanwhile.
			o.given[change.Engine] = givenOrder{at: clock.Now(), unreached: true}
		}
		return err
	}
	klog.InfoS("Order given", "service", service, "server", change.Engine, "role", change.Role, "token", given.Token,
		"after", given.After, "prefill", change.Prefill, "decode", change.Decode, "wantPrefill", change.Want, "accepted", err == nil)
	if errors.Is(err, engine.ErrStale) {
		delete(o.leases, service)
	}
	return err
}

// announce lets this instance and its siblings know that an engine takes no work
// while it changes its role.
func (o *orders) announce(engine, service string) {
	view := o.Table()
	if view == nil || view.Services[service] == nil {
		return
	}
	until := clock.Now().Add(view.Services[service].Engine.Switch)
	if server := o.Fleet.Server(engine); server != nil {
		server.Changing(until)
	}
	o.peers.changes(route.ServerID(engine), until)
	o.sendHeartbeats()
}

// hold makes this instance the holder of a service's lease, if it may be.
func (o *orders) hold(ctx context.Context, service string) (*lease.Candidate, error) {
	now := clock.Now()
	candidate := o.leases[service]
	if candidate == nil {
		holder := o.config.Name + "." + strconv.FormatUint(o.self.Load(), 36)
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
		// Each look is a call to the store, which all that want the order make.
		o.lookAgain[service] = clock.Now().Add(o.config.Lease.TTL)
		return nil, errors.New("another instance may still hold the lease: " + state.Holder)
	}
	state, won, err := o.deps.Claims.Claim(ctx, claim, condition)
	if err != nil {
		return nil, err
	}
	if !won {
		return nil, errors.New("another instance claimed the lease first")
	}
	candidate.Observe(state, clock.Now())
	klog.InfoS("Lease claimed", "lease", service, "token", state.Token)
	if _, valid := candidate.Valid(clock.Now()); !valid {
		return nil, errors.New("the claim came too late")
	}
	return candidate, nil
}
