package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// manySizes are the users' deployments with many instances.
var manySizes = []int{58, 120}

func manyInstances(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	for _, size := range manySizes {
		if racedetector.On || (testing.Short() && size > manySizes[0]) {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			play(t, size, func(f *fleet) { test(t, f) })
		})
	}
}

// hubsOf are the instances that are hubs by what they think themselves.
func (f *fleet) hubsOf() []*Instance {
	return slices.DeleteFunc(slices.Clone(f.instances), func(in *Instance) bool { return !in.hubs.isHub() })
}

func aliveAt(in *Instance) int {
	alive := 0
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive {
			alive++
		}
	}
	return alive
}

func TestManyInstancesAllKnowEachOther(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		for _, in := range f.instances {
			if alive := aliveAt(in); alive != len(f.instances)-1 || in.Instances() != len(f.instances) {
				t.Errorf("%s knows %d of %d", in.config.Name, alive, len(f.instances)-1)
			}
		}
		// Three zones, two hubs each, the strongest.
		if hubs := f.hubsOf(); len(hubs) != 6 || slices.ContainsFunc(hubs, func(in *Instance) bool { return in.config.Capacity < 800 && len(f.instances) > 100 }) {
			t.Errorf("%d hubs", len(hubs))
		}
	})
}

// Where each told all others, 295 instances sent 240 datagrams a second each.
func TestManyInstancesTellLittle(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		f.mu.Lock()
		sent, bytes := f.sent, f.bytes
		f.mu.Unlock()
		const spell = 10 * time.Second
		time.Sleep(spell)
		f.mu.Lock()
		defer f.mu.Unlock()
		each := float64(len(f.instances)) * spell.Seconds()
		perSecond, perByte := float64(f.sent-sent)/each, float64(f.bytes-bytes)/each
		t.Logf("%.1f datagrams and %.0f bytes a second and instance", perSecond, perByte)
		if perSecond > 30 || perByte > 10_000 {
			t.Errorf("%.1f datagrams and %.0f bytes a second and instance", perSecond, perByte)
		}
	})
}

// othersAt is what an instance believes that the others hold at a server.
func othersAt(server string) func(in *Instance) int {
	return func(in *Instance) int { return in.Fleet.Server(server).Others().Memory }
}

func TestManyInstancesKnowWhatAllHold(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		total := 0
		for i, in := range f.instances {
			in.Fleet.Server("s3").Hold(1000 + i)
			total += 1000 + i
		}
		others := othersAt("s3")
		took := f.slowest(func(in *Instance) bool { return others(in) == total-in.Fleet.Server("s3").Own().Memory })
		if took > 700*time.Millisecond {
			t.Errorf("known everywhere after %v", took)
		}
		for _, in := range f.instances {
			in.Fleet.Server("s3").Hold(-in.Fleet.Server("s3").Own().Memory)
		}
		if took := f.slowest(func(in *Instance) bool { return in.Fleet.Server("s3").Others() == (route.Commitment{}) }); took > 700*time.Millisecond {
			t.Errorf("given back everywhere after %v", took)
		}
	})
}

// A sum over thousands of servers is told in parts: what changed, and all in turn.
func TestLargeSumsAreToldInParts(t *testing.T) {
	sum := make(map[uint32]route.Commitment)
	servers := &serverIndex{byID: make(map[uint32]*registry.Entry)}
	for i := range uint32(3000) {
		servers.ids = append(servers.ids, i)
		servers.byID[i] = &registry.Entry{}
		sum[i] = route.Commitment{Memory: 10_000 + int(i)}
	}
	var told parts
	var received map[uint32]route.Commitment
	tell := func(lost bool) int {
		part := pickOf(&told, sum, servers)
		if !lost {
			received = merged(received, part, nil)
		}
		return len(part)
	}
	for beat := range 20 {
		if n := tell(beat == 3); n > 320+48 {
			t.Fatalf("%d at a time", n)
		}
	}
	sum[7], sum[2999] = route.Commitment{}, route.Commitment{Memory: 99_000}
	tell(false)
	if _, holds := received[7]; holds || received[2999] != sum[2999] {
		t.Error("a change waits for its turn")
	}
	for range len(servers.ids)/48 + 1 {
		tell(false)
	}
	delete(sum, 7)
	if len(received) != len(sum) {
		t.Fatalf("%d of %d known", len(received), len(sum))
	}
	for server, want := range sum {
		if received[server] != want {
			t.Fatalf("server %d: %+v, not %+v", server, received[server], want)
		}
	}
}

func pickOf(p *parts, sum map[uint32]route.Commitment, servers *serverIndex) []heartbeat.Load {
	part, _ := p.pick(sum, servers, 320, 48)
	return part
}

func TestAHubWithMuchToTellTellsItLessOften(t *testing.T) {
	config := DefaultConfig()
	for bytes, want := range map[int]time.Duration{
		0: 0, config.HubBytes / 10: 100 * time.Millisecond, 10 * config.HubBytes: 400 * time.Millisecond,
	} {
		if got := config.hubPause(bytes); got.Round(time.Millisecond) != want {
			t.Errorf("%d bytes: %v, not %v", bytes, got, want)
		}
	}
}

// Nothing an instance is told depends on one hub: while the best of each zone is
// silent, the next ones serve.
func TestSilentHubsAreReplaced(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		silent := make(map[string]bool)
		for _, in := range f.instances {
			if in.reads.Load() {
				silent[in.config.SiblingAddress] = true
			}
		}
		f.mu.Lock()
		f.cut = silent
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		for _, in := range f.instances {
			if want := len(f.instances) - 1 - len(silent); !silent[in.config.SiblingAddress] && aliveAt(in) != want {
				t.Errorf("%s takes %d for alive, %d are", in.config.Name, aliveAt(in), want)
			}
		}
		f.instances[0].Fleet.Server("s3").Hold(5000)
		others := othersAt("s3")
		living := func(holds func(in *Instance) bool) func(in *Instance) bool {
			return func(in *Instance) bool { return silent[in.config.SiblingAddress] || holds(in) }
		}
		if took := f.slowest(living(func(in *Instance) bool { return in == f.instances[0] || others(in) == 5000 })); took > 700*time.Millisecond {
			t.Errorf("loads known after %v", took)
		}
		f.store.register("s4", true)
		if took := f.slowest(living(drains("s4"))); took > mustKnow {
			t.Errorf("a leaving server known after %v", took)
		}
		f.mu.Lock()
		f.cut = map[string]bool{}
		f.mu.Unlock()
		if took := f.slowest(func(in *Instance) bool { return aliveAt(in) == len(f.instances)-1 }); took > 5*time.Second {
			t.Errorf("all know each other again after %v", took)
		}
	})
}

func TestAnInstanceThatStopsIsNamedNoMore(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		stops := f.instances[3]
		stops.stopping.Store(true)
		stops.sendHeartbeats()
		named := func(in *Instance) bool {
			sibling, known := in.members.View().Find(stops.config.Name)
			return known && sibling.State == member.Alive
		}
		if took := f.slowest(func(in *Instance) bool { return in == stops || !named(in) }); took > 200*time.Millisecond {
			t.Errorf("named for %v", took)
		}
	})
}

// Of many instances only the hubs leave polls at the store: a change cost a call
// of each, 295 for each server that comes or goes.
func TestCallsToTheStoreDoNotGrowWithTheInstances(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		if calls := f.store.called(); calls > 4*len(f.instances)+200 {
			t.Errorf("%d calls to start", calls)
		}
		before := f.store.called()
		for i := range 20 {
			f.store.register(fmt.Sprintf("n%d", i), false)
			time.Sleep(700 * time.Millisecond)
		}
		f.store.configure()
		if took := f.slowest(func(in *Instance) bool { return in.Revision() == 2 && in.Servers().ByRun["n19"] != nil }); took > mustKnow {
			t.Errorf("known everywhere after %v", took)
		}
		calls := f.store.called() - before
		t.Logf("%d calls for 21 changes in 14 s", calls)
		if calls > 300 {
			t.Errorf("%d calls for 21 changes in 14 s", calls)
		}
	})
}

func TestALeavingServerIsKnownToManyAfterTheStoreWasSilentInPart(t *testing.T) {
	manyInstances(t, updatesAfterSilence(topicServers, longSilence, leaves, drains("s3")))
}

func TestATableIsInForceAtManyAfterPollsWereLost(t *testing.T) {
	inForce := func(in *Instance) bool { return in.Revision() == 2 }
	manyInstances(t, updatesAfterSilence(topicTable, shortSilence, func(f *fleet) { f.store.configure() }, inForce))
}

// Only one instance in twenty is served by the store.
func TestUpdatesComeFromTheFewThatTheStoreServes(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		f.store.change(func() {
			for i, in := range f.instances {
				f.store.turnedAway[in.config.Name] = i%20 != 0
			}
		})
		time.Sleep(5 * time.Second)
		before := f.store.called()
		f.store.register("s3", true)
		if took := f.slowest(drains("s3")); took > 3*time.Second {
			t.Errorf("known everywhere after %v", took)
		}
		time.Sleep(10 * time.Second)
		if calls := f.store.called() - before; calls > 1000 {
			t.Errorf("%d calls in 10 s", calls)
		}
	})
}

// On the real clock the race detector bears hubs too.
func TestHubsAreFreeOfRaces(t *testing.T) {
	few := DefaultConfig()
	few.MeshAtMost = 4
	f := newFleet(t, 10, few)
	defer f.start()()
	knowAll := func() bool {
		for _, in := range f.instances {
			if aliveAt(in) != len(f.instances)-1 || !in.usesHubs() {
				return false
			}
		}
		return true
	}
	f.await("all know each other", knowAll)
	for i, in := range f.instances {
		in.Fleet.Server("s3").Hold(1000 + i)
	}
	f.store.register("s4", true)
	f.store.configure()
	f.await("all know the updates", func() bool {
		for _, in := range f.instances {
			if in.Revision() != 2 || !drains("s4")(in) || othersAt("s3")(in) == 0 {
				return false
			}
		}
		return true
	})
	stops := f.instances[2]
	stops.stopping.Store(true)
	stops.sendHeartbeats()
	f.await("one that stops is not named", func() bool { return aliveAt(f.instances[0]) == len(f.instances)-2 })
}
