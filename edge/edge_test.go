package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// claims is the store's part of the lease on orders, in memory.
type claims struct {
	mu    sync.Mutex
	state lease.State
	end   oplog.Position
	looks int
}

// Last implements Claims.
func (c *claims) Last(context.Context, string) (lease.State, oplog.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looks++
	return c.state, c.end, nil
}

// Claim implements Claims.
func (c *claims) Claim(_ context.Context, claim lease.Claim, condition oplog.Position) (lease.State, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if condition != c.end {
		return lease.State{}, false, nil
	}
	c.end++
	c.state = lease.State{Holder: claim.Holder, Token: uint64(c.end), Serial: claim.Serial}
	return c.state, true, nil
}

// given is one order as an engine saw it.
type given struct {
	at    time.Time
	order RoleOrder
}

// engines takes orders in memory, and carries them out after a while.
type engines struct {
	mu     sync.Mutex
	roles  map[string]string
	orders map[string][]given
	stale  bool
	// mute holds those that do not report, and asked counts the calls.
	mute  map[string]bool
	asked int
}

// SetRole implements Engines.
func (e *engines) SetRole(_ context.Context, server *registry.Entry, decide func(EngineStatus) (RoleOrder, bool)) error {
	e.mu.Lock()
	e.asked++
	if e.mute[server.ID] {
		e.mu.Unlock()
		return engine.ErrRefused
	}
	status := EngineStatus{Role: e.roles[server.ID], Sequence: uint64(len(e.orders[server.ID]))}
	e.mu.Unlock()
	order, due := decide(status)
	if !due {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders[server.ID] = append(e.orders[server.ID], given{time.Now(), order})
	if e.stale {
		return engine.ErrStale
	}
	e.roles[server.ID] = order.Role
	return nil
}

// deaf is a network that takes nothing anywhere.
type deaf struct{}

// Send implements Socket.
func (deaf) Send(string, []byte) error { return nil }

// Receive implements Socket.
func (deaf) Receive(ctx context.Context, _ func(heartbeat.Message), _ func(error)) error {
	<-ctx.Done()
	return nil
}

const apart = 3 * time.Second

// candidate is an instance with only what orders need.
func candidate(name string, shared *claims, workers *engines) *Instance {
	config := DefaultConfig()
	config.Name = name
	config.Lease = LeaseConfig(apart)
	in := &Instance{
		config:   config,
		deps:     Deps{Claims: shared, Engines: workers, Socket: deaf{}, Random: func() float64 { return 0.5 }},
		registry: registry.New(registry.DefaultConfig()),
		peers:    newPeers("", nil),
		members:  newMembers(config),
	}
	in.init()
	in.self.Store(1)
	in.table.Store(&Revision{Number: 1, View: &table.View{Services: map[string]*table.ServiceView{
		"model": {Name: "model", Type: table.TypeModel, Engine: table.EngineView{Switch: 6 * time.Second}},
	}}})
	return in
}

func (in *Instance) see(workers *engines) {
	workers.mu.Lock()
	defer workers.mu.Unlock()
	snapshot := registry.Snapshot{Position: in.registry.View().Position + 1}
	for id, role := range workers.roles {
		snapshot.Entries = append(snapshot.Entries, registry.Entry{ID: id, Service: "model", Role: role})
	}
	in.registry.Reset(snapshot, time.Now())
	in.rebuild()
}

func workersOf(prefill, decode int) *engines {
	e := &engines{roles: make(map[string]string), orders: make(map[string][]given)}
	for i := range prefill {
		e.roles[fmt.Sprintf("p%d", i)] = table.RolePrefill
	}
	for i := range decode {
		e.roles[fmt.Sprintf("d%d", i)] = table.RoleDecode
	}
	return e
}

// TestOrdersComeFromOneHolderAtATime: instances that do not hear each other all
// want to change roles, and each stops soon after its first order. Engines see
// one holder for each token, rising tokens, and a pause between two holders'
// orders.
func TestOrdersComeFromOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, workers := new(claims), workersOf(30, 1)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			in := candidate(name, shared, workers)
			mine, stop := context.WithCancel(ctx)
			running.Go(func() { in.orders.run(mine) })
			running.Go(func() {
				defer stop()
				for ctx.Err() == nil && !workers.hasOrderFrom(name) {
					in.see(workers)
					time.Sleep(100 * time.Millisecond)
				}
				// A holder's last orders come when its time is nearly up.
				time.Sleep(orderWindow)
			})
		}
		time.Sleep(2 * time.Minute)
		cancel()
		running.Wait()
		var all []given
		holders := make(map[string]bool)
		for _, orders := range workers.orders {
			for _, one := range orders {
				all = append(all, one)
				holders[one.order.Holder] = true
			}
		}
		if len(holders) < 3 {
			t.Fatalf("%d instances gave orders, three wanted to", len(holders))
		}
		checkHolders(t, all)
	})
}

func (e *engines) hasOrderFrom(holder string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, orders := range e.orders {
		for _, one := range orders {
			if one.order.Holder == holder {
				return true
			}
		}
	}
	return false
}

// checkHolders checks the orders of all engines together, which is more than
// the users ask.
func checkHolders(t *testing.T, all []given) {
	t.Helper()
	holders := make(map[uint64]string)
	for _, one := range all {
		if holder, seen := holders[one.order.Token]; seen && holder != one.order.Holder {
			t.Errorf("token %d was used by %s and by %s", one.order.Token, holder, one.order.Holder)
		}
		holders[one.order.Token] = one.order.Holder
		for _, other := range all {
			between := other.at.Sub(one.at)
			if other.order.Holder != one.order.Holder && between >= 0 && between < apart {
				t.Errorf("%s gave an order %v after %s", other.order.Holder, between, one.order.Holder)
			}
			if between > 0 && other.order.Token < one.order.Token {
				t.Errorf("token %d after %d", other.order.Token, one.order.Token)
			}
		}
	}
}

// TestAStaleHolderClaimsAnew: an engine that has seen a higher token refuses;
// the same token is not used again.
func TestAStaleHolderClaimsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, workers := new(claims), workersOf(3, 1)
		workers.stale = true
		in := candidate("a", shared, workers)
		in.see(workers)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		in.orders.run(ctx)
		tokens := make(map[uint64]bool)
		for _, orders := range workers.orders {
			for _, one := range orders {
				if tokens[one.order.Token] {
					t.Errorf("token %d was used again after it was refused", one.order.Token)
				}
				tokens[one.order.Token] = true
			}
		}
		if len(tokens) < 2 {
			t.Fatalf("%d tokens", len(tokens))
		}
	})
}

// ordersWithin plays one instance for a while, and counts its orders.
func ordersWithin(workers *engines, begin func(in *Instance), lasts time.Duration) (orders int) {
	in := candidate("a", new(claims), workers)
	in.see(workers)
	begin(in)
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	var seeing sync.WaitGroup
	seeing.Go(func() {
		for ctx.Err() == nil {
			in.see(workers)
			time.Sleep(time.Second)
		}
	})
	in.orders.run(ctx)
	seeing.Wait()
	for _, given := range workers.orders {
		orders += len(given)
	}
	return orders
}

// Of hundreds of engines that have nothing to do none changes its role; a few change it in
// any case, and many where those of the role that is short are in use.
func TestManyEnginesChangeTheirRolesOnlyInDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := func(*Instance) {}
		if n := ordersWithin(workersOf(140, 260), idle, time.Minute); n > 0 {
			t.Errorf("%d orders though all engines are idle", n)
		}
		used := func(in *Instance) {
			for i := range 130 {
				in.Fleet.Server(fmt.Sprintf("d%d", i)).Hold(1000)
			}
		}
		if n := ordersWithin(workersOf(140, 260), used, time.Minute); n < 40 {
			t.Errorf("%d orders though half of the engines that generate are in use", n)
		}
		if n := ordersWithin(workersOf(20, 50), idle, time.Minute); n != 4 {
			t.Errorf("%d orders where four are few", n)
		}
	})
}

// An engine that cannot be asked keeps no other from its order.
func TestAnEngineThatDoesNotReportIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := workersOf(5, 5)
		workers.mute = map[string]bool{"p0": true, "p1": true}
		if n := ordersWithin(workers, func(*Instance) {}, 40*time.Second); n < 3 {
			t.Errorf("%d orders, three are wanted", n)
		}
		if workers.asked > 40 {
			t.Errorf("%d calls to engines", workers.asked)
		}
	})
}

// Instances that want the same orders look at the lease no more often than it may change
// hands.
func TestFewLooksAtALeaseThatAnotherHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, workers := new(claims), workersOf(30, 1)
		// Its holder renews it for as long as this lasts.
		var renewing sync.WaitGroup
		renewing.Go(func() {
			for i := range 200 {
				state, condition, _ := shared.Last(context.Background(), "model")
				_, _, _ = shared.Claim(context.Background(), lease.Claim{Key: "model", Holder: "b", After: state.Token, Serial: uint64(i)}, condition)
				time.Sleep(700 * time.Millisecond)
			}
		})
		in := candidate("a", shared, workers)
		in.see(workers)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		in.orders.run(ctx)
		renewing.Wait()
		shared.mu.Lock()
		defer shared.mu.Unlock()
		if looks := shared.looks - 200; looks > 40 || len(workers.orders) > 0 {
			t.Errorf("%d looks and %d orders in two minutes", looks, len(workers.orders))
		}
	})
}

func TestNoOrderWhileEnginesStillRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, workers := new(claims), workersOf(3, 1)
		in := candidate("a", shared, workers)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { in.orders.run(ctx) })
		for i := range 6 {
			workers.mu.Lock()
			workers.roles[fmt.Sprintf("late%d", i)] = table.RoleDecode
			workers.mu.Unlock()
			in.see(workers)
			time.Sleep(time.Second)
		}
		workers.mu.Lock()
		early := len(workers.orders)
		workers.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		running.Wait()
		if early > 0 || len(workers.orders) == 0 {
			t.Fatalf("%d engines got orders while others registered, %d in all", early, len(workers.orders))
		}
	})
}

// told is a sibling that answers with a fixed snapshot.
type told struct {
	snapshot Snapshot
	asked    int
}

// Snapshot implements Siblings.
func (s *told) Snapshot(context.Context, string, Have) (Snapshot, error) {
	s.asked++
	return s.snapshot, nil
}

// TestASiblingThatIsAheadIsAsked: an instance whose store does not answer takes
// list and table from a sibling, and asks no sibling that knows no more.
func TestASiblingThatIsAheadIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := candidate("a", new(claims), workersOf(0, 0))
		sibling := &told{snapshot: Snapshot{Servers: &registry.Snapshot{Entries: []registry.Entry{{ID: "x", Service: "s"}}, Position: 9}}}
		in.deps.Siblings = sibling
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { in.catchUp(ctx) })
		in.members.Heard(member.Info{Name: "b", Incarnation: 1, Peer: "127.0.0.1:1", Next: 9}, time.Now())
		time.Sleep(5 * in.config.CatchUpEvery)
		cancel()
		running.Wait()
		if in.Servers().ByRun["x"] == nil || in.registry.View().Position != 9 {
			t.Fatalf("%+v", in.registry.View())
		}
		if sibling.asked != 1 {
			t.Fatalf("asked %d times", sibling.asked)
		}
	})
}

func TestHeartbeatsToManySiblings(t *testing.T) {
	in := candidate("a", new(claims), workersOf(0, 0))
	in.config.Zone = "near"
	var addresses []string
	for i := range 60 {
		zone := "far"
		if i%3 == 0 {
			zone = "near"
		}
		address := fmt.Sprintf("127.0.0.1:%d", 1000+i)
		addresses = append(addresses, address)
		in.members.Heard(member.Info{Name: fmt.Sprint(i), Incarnation: 1, Zone: zone, Peer: address}, time.Now())
	}
	every := len(addresses) / in.config.FarPerBeat
	sent := make(map[string]int)
	in.config.NearPerBeat = 24
	for turn := range 10 * every {
		for _, address := range in.due(addresses, turn, every) {
			sent[address]++
		}
	}
	for i, address := range addresses {
		want := 10
		if i%3 == 0 {
			want *= every
		}
		if sent[address] != want {
			t.Errorf("sibling %d got %d heartbeats, not %d", i, sent[address], want)
		}
	}
}

// truncated is a log that drops its history again and again.
type truncated struct{ calls int }

// Newest implements Tables.
func (l *truncated) Newest(context.Context) (OperatorChanges, oplog.Position, error) {
	l.calls++
	return OperatorChanges{}, 1, nil
}

// Since implements Tables.
func (l *truncated) Since(context.Context, oplog.Position, time.Duration) (OperatorChanges, oplog.Position, error) {
	l.calls++
	return OperatorChanges{}, 0, oplog.ErrTruncated
}

// Decode implements Tables.
func (l *truncated) Decode([]byte) (*Revision, error) { return &Revision{}, nil }

// TestHistoryThatIsDroppedAgainAndAgain costs few calls: all are priced.
func TestHistoryThatIsDroppedAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := candidate("a", new(claims), workersOf(0, 0))
		log := new(truncated)
		in.deps.Tables = log
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		in.tableFeed.follow(ctx)
		if log.calls > 150 {
			t.Fatalf("%d calls in a minute", log.calls)
		}
	})
}
