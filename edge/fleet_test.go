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

// fleet is a set of complete instances on a virtual clock, with a store and a network in memory.
type fleet struct {
	t         *testing.T
	config    Config
	store     *memoryStore
	instances []*Instance
	running   sync.WaitGroup

	mu    sync.Mutex
	inbox map[string]chan []byte
	// cut holds the addresses that are cut off from the network.
	cut map[string]bool
	// isolatedZone is a zone that is cut off from all others.
	isolatedZone string
	zones        map[string]string // by address
	// lag delays each datagram, and lagTo those to an address.
	lag   time.Duration
	lagTo map[string]time.Duration
	// sent and bytes count the datagrams that were sent and their bytes.
	sent  int
	bytes int
}

// Times of the store and the network in memory. They are close to those of the platform.
const (
	storeLatency   = 4 * time.Millisecond
	networkLatency = time.Millisecond
	storeTimeout   = 1500 * time.Millisecond
)

// Topics of the store in memory.
const (
	topicTable   = "table"
	topicServers = "servers"
)

// tableChange is one record of the operators: the next configuration, or the start or end of the
// evacuation of a zone.
type tableChange struct {
	configuration int
	zone          string
	evacuated     bool
}

// memoryStore is a log of changes to the list of servers and to the table.
type memoryStore struct {
	mu      sync.Mutex
	servers []registry.Change
	tables  []tableChange
	// silent holds the topics whose polls are not answered. A poll that is under way when the silence
	// begins is never answered, though its connection stays open. silences counts the silences of a
	// topic.
	silent   map[string]bool
	silences map[string]int
	// refused names the instances whose calls fail.
	refused map[string]bool
	changed chan struct{}
	// still holds the instances, by name, that stand still. The channel is closed when they go on.
	still map[string]chan struct{}
	calls int
	// callsBy counts the calls of each instance.
	callsBy map[string]int
	// pageSize is how many servers a call for the full list returns. 0 means all. extraPages counts
	// the pages that were read beyond the first of a list.
	pageSize   int
	extraPages int
	// pageLatency is the duration of a call for an extra page.
	pageLatency time.Duration
	// releases holds the releases that were saved last, and releasesEnd the end of their topic.
	releases    StoredReleases
	releasesEnd oplog.Position
	// era increases with each restore of the store from an older copy. tablesEra is that of the operators' log.
	era, tablesEra uint64
	// releasesCalls counts the calls for them. savesRefused makes all calls fail that change them.
	releasesCalls int
	savesRefused  bool
	// streams is the topic of the records of streams.
	streams streamTopic
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		callsBy: make(map[string]int), silent: make(map[string]bool), silences: make(map[string]int), refused: make(map[string]bool), changed: make(chan struct{}),
		still: make(map[string]chan struct{}),
	}
}

// standStill makes an instance handle nothing that it receives until the returned function is called.
func (s *memoryStore) standStill(name string) (goOn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := make(chan struct{})
	s.still[name] = ends
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.still, name)
		close(ends)
	}
}

// awaitRunning waits until an instance does not stand still.
func (s *memoryStore) awaitRunning(name string) {
	s.mu.Lock()
	ends := s.still[name]
	s.mu.Unlock()
	if ends != nil {
		<-ends
	}
}

// change applies a change and wakes the polls that wait for one.
func (s *memoryStore) change(what func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	what()
	close(s.changed)
	s.changed = make(chan struct{})
}

// called returns the number of calls so far.
func (s *memoryStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// register appends an entry of a server to the log.
func (s *memoryStore) register(id string, draining bool) {
	s.change(func() {
		s.servers = append(s.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: "a", Address: "127.0.0.1:1", Draining: draining}})
	})
}

// remove appends the removal of a server to the log.
func (s *memoryStore) remove(id string) {
	s.change(func() { s.servers = append(s.servers, registry.Change{ID: id}) })
}

// calledBy returns the number of calls of some instances so far.
func (s *memoryStore) calledBy(instances []*Instance) (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range instances {
		calls += s.callsBy[in.config.Name]
	}
	return calls
}

// configure writes the next configuration.
func (s *memoryStore) configure() {
	s.change(func() { s.tables = append(s.tables, tableChange{configuration: len(s.tables) + 1}) })
}

// evacuate starts or ends the evacuation of a zone.
func (s *memoryStore) evacuate(zone string, evacuated bool) {
	s.change(func() { s.tables = append(s.tables, tableChange{zone: zone, evacuated: evacuated}) })
}

// silence loses the polls of a topic that are under way, and all that are sent for a while.
func (s *memoryStore) silence(topic string, lasts time.Duration) {
	s.change(func() { s.silent[topic], s.silences[topic] = true, s.silences[topic]+1 })
	time.Sleep(lasts)
	s.change(func() { s.silent[topic] = false })
}

// poll waits until a topic has more than the given number of records. It fails as the store's client
// does.
func (s *memoryStore) poll(ctx context.Context, name, topic string, from int, wait time.Duration) error {
	s.awaitRunning(name)
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	time.Sleep(storeLatency)
	until := time.Now().Add(wait)
	s.mu.Lock()
	s.calls++
	s.callsBy[name]++
	silence, lost := s.silences[topic], s.silent[topic]
	refused := s.refused[name]
	s.mu.Unlock()
	if refused {
		return oplog.ErrUnavailable
	}
	for {
		s.mu.Lock()
		length := len(s.servers)
		if topic == topicTable {
			length = len(s.tables)
		}
		changed := s.changed
		lost = lost || s.silences[topic] != silence
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

// serverLog and tableLog are the two topics of the store as one instance calls them.
type (
	serverLog struct {
		*memoryStore
		name string
	}
	tableLog struct {
		*memoryStore
		name string
	}
)

func (l serverLog) Newest(ctx context.Context, readsOn func(context.Context) error) (registry.Snapshot, error) {
	if err := l.poll(ctx, l.name, topicServers, -1, 0); err != nil {
		return registry.Snapshot{}, err
	}
	defer l.awaitRunning(l.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]registry.Entry)
	for _, change := range l.servers {
		delete(newest, change.ID)
		if change.Entry != nil {
			newest[change.ID] = *change.Entry
		}
	}
	snapshot := registry.Snapshot{Position: oplog.NewPosition(l.era, uint64(len(l.servers)))}
	for _, entry := range newest {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	if l.pageSize == 0 || len(newest) <= l.pageSize {
		return snapshot, nil
	}
	l.mu.Unlock()
	err := readsOn(ctx)
	more := (len(newest) - 1) / l.pageSize
	if err == nil && !wait.For(ctx, time.Duration(more)*l.pageLatency) {
		err = ctx.Err()
	}
	l.mu.Lock()
	if err == nil {
		l.calls += more
		l.extraPages += more
	}
	return snapshot, err
}

func (l serverLog) Since(ctx context.Context, position oplog.Position, wait time.Duration) ([]registry.Change, oplog.Position, error) {
	if err := l.poll(ctx, l.name, topicServers, int(position.Offset()), wait); err != nil {
		return nil, position, err
	}
	defer l.awaitRunning(l.name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if position.Era() != l.era {
		return nil, position, oplog.ErrTruncated
	}
	return append([]registry.Change(nil), l.servers[position.Offset():]...), oplog.NewPosition(l.era, uint64(len(l.servers))), nil
}

func (s tableLog) Newest(ctx context.Context) (OperatorChanges, oplog.Position, error) {
	if err := s.poll(ctx, s.name, topicTable, 0, 0); err != nil {
		return OperatorChanges{}, 0, err
	}
	defer s.awaitRunning(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	all, next := s.changesFrom(0)
	all.Full = true
	return all, next, nil
}

func (s tableLog) Since(ctx context.Context, position oplog.Position, wait time.Duration) (OperatorChanges, oplog.Position, error) {
	if err := s.poll(ctx, s.name, topicTable, int(position.Offset()), wait); err != nil {
		return OperatorChanges{}, position, err
	}
	defer s.awaitRunning(s.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if position.Era() != s.tablesEra || position.Offset() > uint64(len(s.tables)) {
		return OperatorChanges{}, position, oplog.ErrTruncated
	}
	changes, next := s.changesFrom(int(position.Offset()))
	return changes, next, nil
}

// changesFrom returns the changes from an offset of the operators' log on, and the position after them. The caller holds
// the lock.
func (s *memoryStore) changesFrom(offset int) (OperatorChanges, oplog.Position) {
	changes := OperatorChanges{Evacuated: make(map[string]bool)}
	for _, change := range s.tables[offset:] {
		if change.configuration > 0 {
			changes.Table = strconv.AppendInt(nil, int64(change.configuration), 10)
		} else {
			changes.Evacuated[change.zone] = change.evacuated
		}
	}
	return changes, oplog.NewPosition(s.tablesEra, uint64(len(s.tables)))
}

func (s tableLog) Decode(raw []byte) (*Revision, error) {
	number, err := strconv.ParseUint(string(raw), 10, 64)
	return &Revision{Number: number, Raw: raw, View: &table.View{}}, err
}

// fullRoster lists all instances.
type fullRoster struct{ *fleet }

func (r fullRoster) Announce(context.Context, string, string) error { return nil }
func (r fullRoster) Withdraw(context.Context, string) error         { return nil }
func (r fullRoster) Addresses(context.Context) (map[string]string, error) {
	all := make(map[string]string)
	for _, in := range r.all() {
		all[in.config.Name] = in.config.SiblingAddress
	}
	return all, nil
}

// memorySocket is the socket of one instance.
type memorySocket struct {
	*fleet
	name    string
	address string
	in      <-chan []byte
}

func (s memorySocket) Send(address string, datagram []byte) error {
	s.mu.Lock()
	inbox := s.inbox[address]
	s.sent++
	s.bytes += len(datagram)
	cut := s.cut[address] || s.cut[s.address] || (s.zones[address] == s.isolatedZone) != (s.zones[s.address] == s.isolatedZone)
	lag := max(s.lag, s.lagTo[address])
	s.mu.Unlock()
	if cut {
		return nil
	}
	if lag > 0 {
		time.AfterFunc(lag, func() { inbox <- datagram })
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
			time.Sleep(networkLatency)
			s.store.awaitRunning(s.name)
			var message heartbeat.Message
			if err := cbor.Unmarshal(datagram, &message); err != nil {
				bad(err)
				continue
			}
			handle(message)
		}
	}
}

// isCut reports whether an address is cut off.
func (f *fleet) isCut(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[address]
}

// Snapshot implements Siblings.
func (f *fleet) Snapshot(_ context.Context, address string, have Have) (Snapshot, error) {
	defer f.store.awaitRunning(have.Name)
	time.Sleep(networkLatency)
	for _, in := range f.all() {
		if in.config.SiblingAddress == address && !f.isCut(address) {
			return in.SnapshotFor(have), nil
		}
	}
	return Snapshot{}, errors.New("no instance at this address")
}

// runFleet starts instances that know a table and ten servers, and runs a test on them.
func runFleet(t *testing.T, instances int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, DefaultConfig())
		end := f.start()
		time.Sleep(5 * time.Second)
		test(f)
		end()
	})
}

// newFleet returns instances whose store has a table and ten servers. It does not start them. It skips tests
// with too many instances for the race detector.
func newFleet(t *testing.T, instances int, config Config) *fleet {
	t.Helper()
	if instances > mostInstances() {
		t.Skip("too many goroutines for the race detector")
	}
	f := &fleet{t: t, config: config, store: newMemoryStore(), inbox: make(map[string]chan []byte), cut: make(map[string]bool), zones: make(map[string]string), lagTo: make(map[string]time.Duration)}
	f.store.configure()
	for i := range 10 {
		f.store.register(fmt.Sprintf("s%d", i), false)
	}
	for i := range instances {
		f.add(i)
	}
	return f
}

// start runs all instances. The returned function stops them and waits for their end.
func (f *fleet) start() (end func()) {
	stop := f.startThese(f.instances)
	return func() {
		stop()
		f.running.Wait()
	}
}

// startThese runs some of the instances. The returned function stops them.
func (f *fleet) startThese(instances []*Instance) (stop func()) {
	ctx, stop := context.WithCancel(context.Background())
	for _, in := range instances {
		f.running.Go(func() { _ = in.Run(ctx) })
	}
	return stop
}

// await waits on the real clock until a condition holds. It allows for slow machines and fails after
// a minute.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			f.t.Fatalf("not reached within a minute: %s", what)
		}
	}
}

// add adds an instance with the given number.
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
	// Some seeds are out of date: there is no instance at the first address.
	config.Seeds = []string{"10.0.0.1:9999", "10.0.0.1:1", "10.0.0.1:5"}
	inbox := make(chan []byte, 10_000)
	f.mu.Lock()
	f.inbox[config.SiblingAddress] = inbox
	f.zones[config.SiblingAddress] = config.Zone
	f.mu.Unlock()
	random := rand.New(rand.NewPCG(uint64(number), 7))
	var mu sync.Mutex
	in := New(config, Deps{
		Tables:   tableLog{f.store, config.Name},
		Servers:  serverLog{f.store, config.Name},
		Roster:   fullRoster{f},
		Claims:   new(claims),
		Releases: releaseLog{f.store, config.Name},
		Streams:  streamLog{f.store, config.Name},
		Engines:  enginesOf(0, 0),
		Siblings: f,
		Socket:   memorySocket{f, config.Name, config.SiblingAddress, inbox},
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

// all returns the instances. It is safe while others are replaced.
func (f *fleet) all() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances)
}

// replace replaces a stopped instance by a new one at the same address, which knows nothing.
func (f *fleet) replace(which int) {
	f.add(which)
	f.mu.Lock()
	defer f.mu.Unlock()
	last := len(f.instances) - 1
	f.instances[which] = f.instances[last]
	f.instances = f.instances[:last]
}

// newInstanceKnowsWithin is the time within which a new instance must know what the others know.
const newInstanceKnowsWithin = 2 * time.Second

// newInstanceKnows starts the last instance long after the other instances have learned a change,
// and returns how long the new instance takes to know the change too. It gives up after ten
// seconds.
func (f *fleet) newInstanceKnows(learn func(others []*Instance), knows func(in *Instance) bool) time.Duration {
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

// slowest returns the time until a condition holds at all instances. It gives up after a minute.
func (f *fleet) slowest(holds func(in *Instance) bool) time.Duration {
	began := time.Now()
	for _, in := range f.instances {
		for !holds(in) && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}
