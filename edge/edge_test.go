package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// claims is an in-memory store for the lease on orders to change an engine's role.
type claims struct {
	mu    sync.Mutex
	state lease.State
	end   oplog.Position
	reads int
}

// Last implements Claims.
func (c *claims) Last(context.Context, string) (lease.State, oplog.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
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

// receivedOrder is an order to change an engine's role with the time at which an engine received
// it.
type receivedOrder struct {
	at    time.Time
	order RoleOrder
}

// fakeEngines is a set of engines in memory that receive orders to change their roles.
type fakeEngines struct {
	mu     sync.Mutex
	roles  map[string]string
	orders map[string][]receivedOrder
	stale  bool
	// silent holds the engines that report no status, and calls counts the calls to all engines.
	silent map[string]bool
	calls  int
}

// SetRole implements Engines.
func (e *fakeEngines) SetRole(_ context.Context, server *registry.Entry, decide func(EngineStatus) (RoleOrder, bool)) error {
	e.mu.Lock()
	e.calls++
	if e.silent[server.ID] {
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
	e.orders[server.ID] = append(e.orders[server.ID], receivedOrder{time.Now(), order})
	if e.stale {
		return engine.ErrStale
	}
	e.roles[server.ID] = order.Role
	return nil
}

// droppingSocket is a socket that drops every datagram and receives none.
type droppingSocket struct{}

// Send implements Socket.
func (droppingSocket) Send(string, []byte) error { return nil }

// Receive implements Socket.
func (droppingSocket) Receive(ctx context.Context, _ func(heartbeat.Message), _ func(error)) error {
	<-ctx.Done()
	return nil
}

// holderPause is the minimum time between the orders of two lease holders.
const holderPause = 3 * time.Second

// bareInstance returns an instance with only the parts that orders to change engines' roles need.
func bareInstance(name string, shared *claims, engines *fakeEngines) *Instance {
	config := DefaultConfig()
	config.Name = name
	config.Lease = LeaseConfig(holderPause)
	in := &Instance{
		config:   config,
		deps:     Deps{Claims: shared, Engines: engines, Socket: droppingSocket{}, Random: func() float64 { return 0.5 }},
		registry: registry.New(registry.DefaultConfig()),
		peers:    newPeers("", nil),
		members:  newMembers(config),
	}
	in.init()
	in.incarnation.Store(1)
	in.table.Store(&Revision{Number: 1, View: &table.View{Services: map[string]*table.ServiceView{
		"model": {Name: "model", Type: table.TypeModel, Engine: table.EngineView{Switch: 6 * time.Second}},
	}}})
	return in
}

// readEngines replaces the list of servers by the current engines.
func (in *Instance) readEngines(engines *fakeEngines) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	snapshot := registry.Snapshot{Position: in.registry.View().Position + 1}
	for id, role := range engines.roles {
		snapshot.Entries = append(snapshot.Entries, registry.Entry{ID: id, Service: "model", Role: role})
	}
	in.registry.Reset(snapshot, time.Now())
	in.rebuild()
}

// enginesOf returns engines in the given numbers for each role.
func enginesOf(prefill, decode int) *fakeEngines {
	e := &fakeEngines{roles: make(map[string]string), orders: make(map[string][]receivedOrder)}
	for i := range prefill {
		e.roles[fmt.Sprintf("p%d", i)] = table.RolePrefill
	}
	for i := range decode {
		e.roles[fmt.Sprintf("d%d", i)] = table.RoleDecode
	}
	return e
}

// TestOrdersComeFromOneHolderAtATime runs instances that have no contact with each other, that all
// want to change roles, and that stop soon after their first order. Engines see one holder for each
// fencing token, rising tokens, and a pause between the orders of two holders.
func TestOrdersComeFromOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, engines := new(claims), enginesOf(30, 1)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			in := bareInstance(name, shared, engines)
			own, stop := context.WithCancel(ctx)
			running.Go(func() { in.orders.run(own) })
			running.Go(func() {
				defer stop()
				for ctx.Err() == nil && !engines.hasOrderFrom(name) {
					in.readEngines(engines)
					time.Sleep(100 * time.Millisecond)
				}
				// A holder may still give orders shortly before its lease expires.
				time.Sleep(orderWindow)
			})
		}
		time.Sleep(2 * time.Minute)
		cancel()
		running.Wait()
		var all []receivedOrder
		holders := make(map[string]bool)
		for _, orders := range engines.orders {
			for _, one := range orders {
				all = append(all, one)
				holders[one.order.Holder] = true
			}
		}
		if len(holders) < 3 {
			t.Fatalf("%d instances gave orders, expected three", len(holders))
		}
		checkHolders(t, all)
	})
}

// hasOrderFrom reports whether any engine received an order from a holder.
func (e *fakeEngines) hasOrderFrom(holder string) bool {
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

// checkHolders checks the orders of all engines together, which is stricter than the service
// requirements.
func checkHolders(t *testing.T, all []receivedOrder) {
	t.Helper()
	holders := make(map[uint64]string)
	for _, one := range all {
		if holder, seen := holders[one.order.Token]; seen && holder != one.order.Holder {
			t.Errorf("token %d was used by both %s and %s", one.order.Token, holder, one.order.Holder)
		}
		holders[one.order.Token] = one.order.Holder
		for _, other := range all {
			between := other.at.Sub(one.at)
			if other.order.Holder != one.order.Holder && between >= 0 && between < holderPause {
				t.Errorf("%s gave an order %v after %s did", other.order.Holder, between, one.order.Holder)
			}
			if between > 0 && other.order.Token < one.order.Token {
				t.Errorf("token %d was used after token %d", other.order.Token, one.order.Token)
			}
		}
	}
}

// TestAHolderWithAStaleTokenClaimsAgain checks that a token is not used again after an engine that
// has seen a higher one refused it.
func TestAHolderWithAStaleTokenClaimsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, engines := new(claims), enginesOf(3, 1)
		engines.stale = true
		in := bareInstance("a", shared, engines)
		in.readEngines(engines)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		in.orders.run(ctx)
		tokens := make(map[uint64]bool)
		for _, orders := range engines.orders {
			for _, one := range orders {
				if tokens[one.order.Token] {
					t.Errorf("token %d was used again after it was refused", one.order.Token)
				}
				tokens[one.order.Token] = true
			}
		}
		if len(tokens) < 2 {
			t.Fatalf("%d tokens were used, at least two are expected", len(tokens))
		}
	})
}

// countOrders runs one instance for a while and returns the number of its orders.
func countOrders(engines *fakeEngines, prepare func(in *Instance), lasts time.Duration) (orders int) {
	in := bareInstance("a", new(claims), engines)
	in.readEngines(engines)
	prepare(in)
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	var reading sync.WaitGroup
	reading.Go(func() {
		for ctx.Err() == nil {
			in.readEngines(engines)
			time.Sleep(time.Second)
		}
	})
	in.orders.run(ctx)
	reading.Wait()
	for _, received := range engines.orders {
		orders += len(received)
	}
	return orders
}

// Of hundreds of idle engines none changes its role. Where there are only some tens, a few change
// roles even when idle. Many change roles when the engines of the role in demand are in use.
func TestManyEnginesChangeRolesOnlyOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := func(*Instance) {}
		if n := countOrders(enginesOf(140, 260), idle, time.Minute); n > 0 {
			t.Errorf("%d orders though all engines are idle", n)
		}
		used := func(in *Instance) {
			for i := range 130 {
				in.Fleet.Server(fmt.Sprintf("d%d", i)).AddMemory(1000)
			}
		}
		if n := countOrders(enginesOf(140, 260), used, time.Minute); n < 40 {
			t.Errorf("%d orders though half of the decode engines are in use", n)
		}
		if n := countOrders(enginesOf(20, 50), idle, time.Minute); n != 4 {
			t.Errorf("%d orders, expected four with few engines", n)
		}
	})
}

// Roles are planned while shorter and longer lists of servers are published. A plan that reads the
// list more than once panics with an index out of range.
func TestRolesArePlannedWhileTheListChanges(t *testing.T) {
	const published = 1000
	in := bareInstance("a", &claims{}, enginesOf(0, 0))
	lists := [][]registry.Entry{{{ID: "p0", Service: "model", Role: table.RolePrefill}}, nil}
	for i := range 1000 {
		// A draining server leaves the list as soon as its entry is removed.
		lists[1] = append(lists[1], registry.Entry{ID: fmt.Sprint("d", i), Service: "model", Role: table.RoleDecode, Draining: true})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for position := range oplog.Position(published) {
			in.registry.Reset(registry.Snapshot{Position: position + 1, Entries: lists[position%2]}, time.Now())
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			in.orders.plan("model", in.Table().Services["model"], time.Now())
		}
	}
}

// An engine that does not report its status does not block the orders to other engines.
func TestAnEngineThatDoesNotReportIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The last prefill engine that reports keeps its role.
		for prefill, want := range map[int]int{5: 2, 6: 3} {
			engines := enginesOf(prefill, 5)
			engines.silent = map[string]bool{"p0": true, "p1": true}
			if n := countOrders(engines, func(*Instance) {}, 40*time.Second); n != want {
				t.Errorf("%d prefill engines: %d orders, want %d", prefill, n, want)
			}
			if engines.calls > 40 {
				t.Errorf("%d prefill engines: %d calls to engines", prefill, engines.calls)
			}
		}
	})
}

// Instances that want to give the same orders read the lease no more often than its holder can
// change.
func TestALeaseThatAnotherInstanceHoldsIsRarelyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, engines := new(claims), enginesOf(30, 1)
		// The holder renews the lease throughout the test.
		var renewing sync.WaitGroup
		renewing.Go(func() {
			for i := range 200 {
				state, condition, _ := shared.Last(context.Background(), "model")
				_, _, _ = shared.Claim(context.Background(), lease.Claim{Key: "model", Holder: "b", After: state.Token, Serial: uint64(i)}, condition)
				time.Sleep(700 * time.Millisecond)
			}
		})
		in := bareInstance("a", shared, engines)
		in.readEngines(engines)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		in.orders.run(ctx)
		renewing.Wait()
		shared.mu.Lock()
		defer shared.mu.Unlock()
		if reads := shared.reads - 200; reads > 40 || len(engines.orders) > 0 {
			t.Errorf("%d reads of the lease and %d orders in two minutes", reads, len(engines.orders))
		}
	})
}

func TestNoOrderWhileEnginesStillRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, engines := new(claims), enginesOf(3, 1)
		in := bareInstance("a", shared, engines)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { in.orders.run(ctx) })
		for i := range 6 {
			engines.mu.Lock()
			engines.roles[fmt.Sprintf("late%d", i)] = table.RoleDecode
			engines.mu.Unlock()
			in.readEngines(engines)
			time.Sleep(time.Second)
		}
		engines.mu.Lock()
		early := len(engines.orders)
		engines.mu.Unlock()
		time.Sleep(10 * time.Second)
		cancel()
		running.Wait()
		if early > 0 || len(engines.orders) == 0 {
			t.Fatalf("%d engines received orders while others registered, %d in total", early, len(engines.orders))
		}
	})
}

// fixedSibling is a sibling that answers with a fixed snapshot.
type fixedSibling struct {
	snapshot Snapshot
	calls    int
}

// Snapshot implements Siblings.
func (s *fixedSibling) Snapshot(context.Context, string, Have) (Snapshot, error) {
	s.calls++
	return s.snapshot, nil
}

// TestASiblingThatIsAheadIsQueried checks that an instance whose store does not answer reads the
// list of servers and the table from a sibling, and queries no sibling that knows no more than
// itself.
func TestASiblingThatIsAheadIsQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bareInstance("a", new(claims), enginesOf(0, 0))
		sibling := &fixedSibling{snapshot: Snapshot{Servers: &registry.Snapshot{Entries: []registry.Entry{{ID: "x", Service: "s", Address: "127.0.0.1:1"}}, Position: 9}}}
		in.deps.Siblings = sibling
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { in.catchUp(ctx) })
		in.members.ApplyHeartbeat(member.Info{Name: "b", Incarnation: 1, Peer: "127.0.0.1:1", Next: 9}, time.Now())
		time.Sleep(5 * in.config.CatchUpEvery)
		cancel()
		running.Wait()
		if in.Servers().ByRun["x"] == nil || in.registry.View().Position != 9 {
			t.Fatalf("the list is %+v", in.registry.View())
		}
		if sibling.calls != 1 {
			t.Fatalf("queried %d times", sibling.calls)
		}
	})
}

// unusableTables is a source of configurations that cannot be used.
type unusableTables struct {
	Tables
	decoded int
}

func (u *unusableTables) Decode([]byte) (*Revision, error) {
	u.decoded++
	return nil, errors.New("unusable")
}

// Guards against an instance that requests a configuration which it cannot use at each check, as beside siblings of a newer version
// of the software.
func TestRevisionThatCannotBeUsedIsRequestedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bareInstance("a", new(claims), enginesOf(0, 0))
		tables := new(unusableTables)
		sibling := &fixedSibling{snapshot: Snapshot{Table: []byte("{}")}}
		in.deps.Siblings, in.deps.Tables = sibling, tables
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { in.catchUp(ctx) })
		for _, revision := range []uint64{7, 7, 8} {
			in.members.ApplyHeartbeat(member.Info{Name: "b", Incarnation: 1, Peer: "127.0.0.1:1", Revision: revision}, time.Now())
			time.Sleep(5 * in.config.CatchUpEvery)
		}
		cancel()
		running.Wait()
		if sibling.calls != 2 || tables.decoded != 2 {
			t.Fatalf("two revisions were requested %d times and decoded %d times", sibling.calls, tables.decoded)
		}
	})
}

func TestHeartbeatsToManySiblings(t *testing.T) {
	in := bareInstance("a", new(claims), enginesOf(0, 0))
	in.config.Zone = "near"
	var addresses []string
	for i := range 60 {
		zone := "far"
		if i%3 == 0 {
			zone = "near"
		}
		address := fmt.Sprintf("127.0.0.1:%d", 1000+i)
		addresses = append(addresses, address)
		in.members.ApplyHeartbeat(member.Info{Name: fmt.Sprint(i), Incarnation: 1, Zone: zone, Peer: address}, time.Now())
	}
	every := len(addresses) / in.config.FarPerBeat
	sent := make(map[string]int)
	in.config.NearPerBeat = 24
	for turn := range 10 * every {
		for _, address := range in.dueAddresses(addresses, turn, every) {
			sent[address]++
		}
	}
	for i, address := range addresses {
		want := 10
		if i%3 == 0 {
			want *= every
		}
		if sent[address] != want {
			t.Errorf("sibling %d received %d heartbeats, not %d", i, sent[address], want)
		}
	}
}

// truncatingLog is a log that drops its history before each read.
type truncatingLog struct{ calls int }

// Newest implements Tables.
func (l *truncatingLog) Newest(context.Context) (OperatorChanges, oplog.Position, error) {
	l.calls++
	return OperatorChanges{}, 1, nil
}

// Since implements Tables.
func (l *truncatingLog) Since(context.Context, oplog.Position, time.Duration) (OperatorChanges, oplog.Position, error) {
	l.calls++
	return OperatorChanges{}, 0, oplog.ErrTruncated
}

// Decode implements Tables.
func (l *truncatingLog) Decode([]byte) (*Revision, error) { return &Revision{}, nil }

// TestRepeatedTruncationCostsFewCalls checks that a log that keeps dropping its history is read
// rarely, because each call to the store is priced.
func TestRepeatedTruncationCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bareInstance("a", new(claims), enginesOf(0, 0))
		log := new(truncatingLog)
		in.deps.Tables = log
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		in.tableFeed.follow(ctx)
		if log.calls > 150 {
			t.Fatalf("%d calls in a minute", log.calls)
		}
	})
}

// Guards against an instance without a long poll that learns from a probe that the store was restored from an older copy, and
// reads the store only once it is drawn to probe again: 59 instances followed the store 2.0 to 2.6 s later, 2 s are allowed.
func TestAProbeBeyondTheEndOfTheStoreReadsEverythingAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := bareInstance("a", new(claims), enginesOf(0, 0))
		log := new(truncatingLog)
		in.deps.Tables = log
		in.table.Store(&Revision{Number: 1})
		in.longPolls.Store(false)
		in.tableFeed.markKnown()
		in.tableFeed.probe(context.Background())
		if in.tablePosition.Load() != 1 || log.calls != 2 {
			t.Errorf("at position %d after %d calls", in.tablePosition.Load(), log.calls)
		}
	})
}
