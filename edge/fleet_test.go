package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/wait"
)

// fleet is whole instances on a virtual clock, with a store and a network in
// memory.
type fleet struct {
	t         *testing.T
	config    Config
	store     *memoryStore
	instances []*Instance
	running   sync.WaitGroup

	mu    sync.Mutex
	inbox map[string]chan []byte
	// cut holds addresses that nothing reaches, and sent counts what was sent.
	cut map[string]bool
	// apart is a zone that neither reaches the others nor is reached by them.
	apart string
	zones map[string]string // by address
	sent  int
	bytes int
}

// Times of the stand-in store and network, about the users' own.
const (
	storeTakes      = 4 * time.Millisecond
	networkTakes    = time.Millisecond
	storeGivenUpFor = 1500 * time.Millisecond
)

// topics of the stand-in store.
const (
	topicTable   = "table"
	topicServers = "servers"
)

// tableChange is one record of the operators: the next configuration, or the evacuation of a
// zone.
type tableChange struct {
	configuration int
	zone          string
	evacuated     bool
}

// memoryStore is a log of changes to the list and to the table.
type memoryStore struct {
	mu      sync.Mutex
	servers []registry.Change
	tables  []tableChange
	// silent is set while a topic's polls are not answered. One that is
	// under way when that begins is never answered, though its connection lives.
	silent map[string]bool
	spells map[string]int
	// turnedAway names instances whose calls fail.
	turnedAway map[string]bool
	changed    chan struct{}
	calls      int
	// by is the calls of each instance.
	by map[string]int
	// page is how many servers a call for the whole list returns; 0 means all. pages counts
	// those that were read beyond the first of a list.
	page  int
	pages int
	// pageTakes is how long each of those takes.
	pageTakes time.Duration
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		by: make(map[string]int), silent: make(map[string]bool), spells: make(map[string]int), turnedAway: make(map[string]bool), changed: make(chan struct{}),
	}
}

func (s *memoryStore) change(what func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	what()
	close(s.changed)
	s.changed = make(chan struct{})
}

// called counts the calls so far.
func (s *memoryStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// register writes a server's entry.
func (s *memoryStore) register(id string, draining bool) {
	s.change(func() {
		s.servers = append(s.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: "a", Address: "127.0.0.1:1", Draining: draining}})
	})
}

// remove removes a server's entry.
func (s *memoryStore) remove(id string) {
	s.change(func() { s.servers = append(s.servers, registry.Change{ID: id}) })
}

// calledBy counts the calls of some instances so far.
func (s *memoryStore) calledBy(instances []*Instance) (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range instances {
		calls += s.by[in.config.Name]
	}
	return calls
}

// configure writes the next configuration.
func (s *memoryStore) configure() {
	s.change(func() { s.tables = append(s.tables, tableChange{configuration: len(s.tables) + 1}) })
}

// evacuate has a zone evacuated, or takes that back.
func (s *memoryStore) evacuate(zone string, evacuated bool) {
	s.change(func() { s.tables = append(s.tables, tableChange{zone: zone, evacuated: evacuated}) })
}

// silence loses what is under way about a topic, and all that is asked for a
// while.
func (s *memoryStore) silence(topic string, lasts time.Duration) {
	s.change(func() { s.silent[topic], s.spells[topic] = true, s.spells[topic]+1 })
	time.Sleep(lasts)
	s.change(func() { s.silent[topic] = false })
}

// ask waits until a topic has more than some records; it fails as the store's
// client does.
func (s *memoryStore) ask(ctx context.Context, name, topic string, from int, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+storeGivenUpFor)
	defer cancel()
	time.Sleep(storeTakes)
	until := time.Now().Add(wait)
	s.mu.Lock()
	s.calls++
	s.by[name]++
	spell, lost := s.spells[topic], s.silent[topic]
	turned := s.turnedAway[name]
	s.mu.Unlock()
	if turned {
		return oplog.ErrUnavailable
	}
	for {
		s.mu.Lock()
		length := len(s.servers)
		if topic == topicTable {
			length = len(s.tables)
		}
		changed := s.changed
		lost = lost || s.spells[topic] != spell
		s.mu.Unlock()
		if !lost && (length > from || !time.Now().Before(until)) {
			return nil
		}
		wake := time.After(time.Until(until))
		if lost {
			wake = nil
		}
		select {
		case <-changed:
		case <-wake:
		case <-ctx.Done():
			return errors.WithMessage(oplog.ErrUnavailable, ctx.Err().Error())
		}
	}
}

// listOf and tablesOf are the store as one instance calls it.
type (
	listOf struct {
		*memoryStore
		name string
	}
	tablesOf struct {
		*memoryStore
		name string
	}
)

func (l listOf) Newest(ctx context.Context, readsOn func(context.Context) error) (registry.Snapshot, error) {
	if err := l.ask(ctx, l.name, topicServers, -1, 0); err != nil {
		return registry.Snapshot{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]registry.Entry)
	for _, change := range l.servers {
		delete(newest, change.ID)
		if change.Entry != nil {
			newest[change.ID] = *change.Entry
		}
	}
	snapshot := registry.Snapshot{Position: oplog.Position(len(l.servers))}
	for _, entry := range newest {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	if l.page == 0 || len(newest) <= l.page {
		return snapshot, nil
	}
	l.mu.Unlock()
	err := readsOn(ctx)
	more := (len(newest) - 1) / l.page
	if err == nil && !wait.For(ctx, time.Duration(more)*l.pageTakes) {
		err = ctx.Err()
	}
	l.mu.Lock()
	if err == nil {
		l.calls += more
		l.pages += more
	}
	return snapshot, err
}

func (l listOf) Since(ctx context.Context, position oplog.Position, wait time.Duration) ([]registry.Change, oplog.Position, error) {
	if err := l.ask(ctx, l.name, topicServers, int(position), wait); err != nil {
		return nil, position, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]registry.Change(nil), l.servers[position:]...), oplog.Position(len(l.servers)), nil
}

func (s tablesOf) Newest(ctx context.Context) (OperatorChanges, oplog.Position, error) {
	all, next, err := s.Since(ctx, 0, 0)
	all.Whole = true
	return all, next, err
}

func (s tablesOf) Since(ctx context.Context, position oplog.Position, wait time.Duration) (OperatorChanges, oplog.Position, error) {
	if err := s.ask(ctx, s.name, topicTable, int(position), wait); err != nil {
		return OperatorChanges{}, position, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := OperatorChanges{Evacuated: make(map[string]bool)}
	for _, change := range s.tables[min(int(position), len(s.tables)):] {
		if change.configuration > 0 {
			changes.Table = strconv.AppendInt(nil, int64(change.configuration), 10)
		} else {
			changes.Evacuated[change.zone] = change.evacuated
		}
	}
	return changes, max(position, oplog.Position(len(s.tables))), nil
}

func (s tablesOf) Decode(raw []byte) (*Revision, error) {
	number, err := strconv.ParseUint(string(raw), 10, 64)
	return &Revision{Number: number, Raw: raw, View: &table.View{}}, err
}

// rosterOf lists all instances.
type rosterOf struct{ *fleet }

func (r rosterOf) Announce(context.Context, string, string) error { return nil }
func (r rosterOf) Withdraw(context.Context, string) error         { return nil }
func (r rosterOf) Addresses(context.Context) (map[string]string, error) {
	all := make(map[string]string)
	for _, in := range r.all() {
		all[in.config.Name] = in.config.SiblingAddress
	}
	return all, nil
}

// memorySocket is an instance's end of the network.
type memorySocket struct {
	*fleet
	address string
	in      <-chan []byte
}

func (s memorySocket) Send(address string, datagram []byte) error {
	s.mu.Lock()
	inbox := s.inbox[address]
	s.sent++
	s.bytes += len(datagram)
	cut := s.cut[address] || s.cut[s.address] || (s.zones[address] == s.apart) != (s.zones[s.address] == s.apart)
	s.mu.Unlock()
	if cut {
		return nil
	}
	select {
	case inbox <- datagram:
	default:
		return errors.New("the receiver's queue is full")
	}
	return nil
}

func (s memorySocket) Receive(ctx context.Context, handle func(heartbeat.Message), bad func(error)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case datagram := <-s.in:
			time.Sleep(networkTakes)
			var message heartbeat.Message
			if err := cbor.Unmarshal(datagram, &message); err != nil {
				bad(err)
				continue
			}
			handle(message)
		}
	}
}

// isCut says whether nothing reaches an address.
func (f *fleet) isCut(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[address]
}

// Snapshot implements Siblings.
func (f *fleet) Snapshot(_ context.Context, address string, have Have) (Snapshot, error) {
	time.Sleep(networkTakes)
	for _, in := range f.all() {
		if in.config.SiblingAddress == address && !f.isCut(address) {
			return in.SnapshotFor(have), nil
		}
	}
	return Snapshot{}, errors.New("nobody is there")
}

// play starts instances that know a table and ten servers, and runs a test on
// them.
func play(t *testing.T, instances int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, DefaultConfig())
		end := f.start()
		time.Sleep(5 * time.Second)
		test(f)
		end()
	})
}

// newFleet makes instances that are to know a table and ten servers.
func newFleet(t *testing.T, instances int, config Config) *fleet {
	f := &fleet{t: t, config: config, store: newMemoryStore(), inbox: make(map[string]chan []byte), cut: make(map[string]bool), zones: make(map[string]string)}
	f.store.configure()
	for i := range 10 {
		f.store.register(fmt.Sprintf("s%d", i), false)
	}
	for i := range instances {
		f.add(i)
	}
	return f
}

// start has the instances run; the returned function ends them.
func (f *fleet) start() (end func()) {
	stop := f.startThese(f.instances)
	return func() {
		stop()
		f.running.Wait()
	}
}

// startThese has some of the instances run; the returned function has them end.
func (f *fleet) startThese(instances []*Instance) (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	for _, in := range instances {
		f.running.Go(func() { _ = in.Run(ctx) })
	}
	return stop
}

// await waits on the real clock until something holds, however long a slow machine
// takes; a minute is for ever.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			f.t.Fatalf("never came: %s", what)
		}
	}
}

func (f *fleet) add(number int) {
	config := f.config
	config.Name = fmt.Sprintf("i%03d", number)
	config.Zone = fmt.Sprintf("z%d", number%3)
	config.SiblingAddress = fmt.Sprintf("10.0.0.1:%d", number)
	config.RetryWindow = time.Second
	config.Capacity = 200
	if number%20 == 7 {
		config.Capacity = 800
	}
	// Seeds are out of date in part: nobody is at the first.
	config.Seeds = []string{"10.0.0.1:9999", "10.0.0.1:1", "10.0.0.1:5"}
	inbox := make(chan []byte, 10_000)
	f.mu.Lock()
	f.inbox[config.SiblingAddress] = inbox
	f.zones[config.SiblingAddress] = config.Zone
	f.mu.Unlock()
	random := rand.New(rand.NewPCG(uint64(number), 7))
	var mu sync.Mutex
	in := New(config, Deps{
		Tables:   tablesOf{f.store, config.Name},
		Servers:  listOf{f.store, config.Name},
		Roster:   rosterOf{f},
		Claims:   new(claims),
		Engines:  workersOf(0, 0),
		Siblings: f,
		Socket:   memorySocket{f, config.SiblingAddress, inbox},
		Random: func() float64 {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64()
		},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, in)
}

// all returns the instances, also while some are replaced.
func (f *fleet) all() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// replace has an instance that was stopped take its place anew, at the same address and
// knowing nothing.
func (f *fleet) replace(which int) {
	f.add(which)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := len(f.instances) - 1
	f.instances[which] = f.instances[last]
	f.instances = f.instances[:last]
}

// newcomerWithin is how soon an instance that starts must know what the others do.
const newcomerWithin = 2 * time.Second

// newcomerKnows has the last instance start long after the others have learnt something, and
// returns how long it takes to know that; ten seconds if it never does.
func (f *fleet) newcomerKnows(learn func(others []*Instance), knows func(in *Instance) bool) time.Duration {
	last := len(f.instances) - 1
	others := f.instances[:last]
	defer f.running.Wait()
	defer f.startThese(others)()
	time.Sleep(5 * time.Second)
	learn(others)
	time.Sleep(12 * time.Second)
	defer f.startThese(f.instances[last:])()
	began := time.Now()
	for !knows(f.instances[last]) && time.Since(began) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// slowest is the longest that any instance takes until something holds there; it
// gives up after a minute.
func (f *fleet) slowest(holds func(in *Instance) bool) time.Duration {
	began := time.Now()
	for _, in := range f.instances {
		for !holds(in) && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}
