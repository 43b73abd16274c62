package edge

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/subset"
)

// Sizes of tests with many servers. They are small enough for frequent runs.
const (
	manyServers   = 300
	someInstances = 59
	maxSubset     = 110
	hubCount      = 2 * 3
	minSubset     = 10
)

// manyServersConfig returns a configuration with which instances use subsets of some hundreds of
// servers.
func manyServersConfig() Config {
	config := DefaultConfig()
	config.Subset = subset.Config{MaxForAll: 64, MinNear: 12, MinFar: 4, MinUsers: 4}
	return config
}

// manyID returns the identifier of one of the many servers.
func manyID(i int) string { return fmt.Sprintf("m%03d", i) }

// newFleetWithSubsets returns instances that use subsets of many servers in three zones. It does not start them.
func newFleetWithSubsets(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, someInstances, manyServersConfig())
	f.store.pageSize = 50
	for i := range manyServers {
		f.store.registerIn(manyID(i), fmt.Sprint("z", i%3))
	}
	return f
}

// withManyServers runs a test on instances that use subsets of many servers in three zones.
func withManyServers(t *testing.T, test func(f *fleet)) {
	t.Helper()
	if racedetector.Enabled {
		t.Skip("too many goroutines for the race detector")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWithSubsets(t)
		end := f.start()
		time.Sleep(20 * time.Second)
		test(f)
		end()
	})
}

// users returns the instances that use a server.
func (f *fleet) users(id string) (users []*Instance) {
	for _, in := range f.all() {
		if in.Servers().ByRun[id] != nil {
			users = append(users, in)
		}
	}
	return users
}

// fullLists returns the number of instances that know the full list of servers.
func (f *fleet) fullLists() (count int) {
	for _, in := range f.all() {
		if !in.registry.View().IsSubset {
			count++
		}
	}
	return count
}

func TestInstancesKnowSubsetsOfManyServers(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		if n := f.fullLists(); n > hubCount {
			t.Errorf("%d of %d instances know the full list", n, someInstances)
		}
		for _, in := range f.instances {
			if used := len(in.Servers().ByRun); used > maxSubset || used < minSubset {
				t.Errorf("%s uses %d of %d servers", in.config.Name, used, manyServers)
			}
			if list := in.registry.View(); list.IsSubset && len(list.Servers) != len(in.Servers().ByRun) {
				t.Errorf("%s knows %d servers and uses %d", in.config.Name, len(list.Servers), len(in.Servers().ByRun))
			}
		}
		for i := range manyServers {
			if len(f.users(manyID(i))) == 0 {
				t.Errorf("no instance uses %s", manyID(i))
			}
		}
	})
}

// The instances that use a server know its changes as soon as with few servers, whether changes come
// one by one or a hundred at a time. The other instances do not receive them.
func TestChangesReachTheInstancesThatUseTheServer(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		for i := range 5 {
			id, users := manyID(i), f.users(manyID(i))
			f.store.register(id, true)
			checkKnown(t, "drains", users, knowsDraining(id))
			f.store.remove(id)
			checkKnown(t, "is removed", users, func(in *Instance) bool { return in.Servers().ByRun[id] == nil })
		}
		users := make(map[string][]*Instance)
		f.store.change(func() {
			for i := 50; i < 150; i++ {
				id := manyID(i)
				users[id] = f.users(id)
				f.store.servers = append(f.store.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: "a", Address: "127.0.0.1:1", Zone: fmt.Sprint("z", i%3), Draining: true}})
			}
		})
		time.Sleep(mustKnow)
		for id, instances := range users {
			for _, in := range instances {
				if entry := in.Servers().ByRun[id]; entry == nil || !entry.Draining {
					t.Errorf("%s does not know that %s drains", in.config.Name, id)
				}
			}
		}
		f.store.registerIn("late", "z1")
		time.Sleep(mustKnow)
		if n := len(f.users("late")); n == 0 || n > someInstances/2 {
			t.Errorf("%d instances use a server that was just registered", n)
		}
		for _, in := range f.instances {
			if position := in.registry.View().Position; position != f.store.end() {
				t.Errorf("%s has the list up to %d of %d", in.config.Name, position, f.store.end())
			}
		}
	})
}

// end returns the position after the last change of the list of servers.
func (s *memoryStore) end() oplog.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return oplog.Position(len(s.servers))
}

// checkKnown checks that a condition holds at some instances after mustKnow.
func checkKnown(t *testing.T, what string, instances []*Instance, holds func(in *Instance) bool) {
	t.Helper()
	time.Sleep(mustKnow)
	for _, in := range instances {
		if !holds(in) {
			t.Errorf("%s does not know in time that a server %s", in.config.Name, what)
		}
	}
}

// After all hubs were lost at once, other instances become hubs and need the full list of
// servers. Few of these hubs read it, from each other or from the store.
func TestNewHubsKnowTheFullList(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		var remaining []*Instance
		f.mu.Lock()
		for _, in := range f.instances {
			if in.hubs.isHub() {
				f.cut[in.config.SiblingAddress] = true
			} else {
				remaining = append(remaining, in)
			}
		}
		f.mu.Unlock()
		// To read the full list takes longer than the time between two checks whether it is known.
		f.store.pageLatency = 100 * time.Millisecond
		before := f.store.calledBy(remaining)
		time.Sleep(8 * time.Second)
		hubs := 0
		for _, in := range remaining {
			if in.hubs.isHub() {
				hubs++
				if in.registry.View().IsSubset {
					t.Errorf("%s is a hub and knows only %d servers", in.config.Name, len(in.registry.View().Servers))
				}
			}
		}
		if hubs < 3 {
			t.Errorf("%d hubs", hubs)
		}
		f.store.register(manyID(7), true)
		users := f.users(manyID(7))
		time.Sleep(mustKnow)
		for _, in := range users {
			if !knowsDraining(manyID(7))(in) && !f.cut[in.config.SiblingAddress] {
				t.Errorf("%s does not know that a server drains", in.config.Name)
			}
		}
		calls := f.store.calledBy(remaining) - before
		t.Logf("%d calls to the store", calls)
		if calls > 150 {
			t.Errorf("%d calls to the store", calls)
		}
	})
}

// The instances that use a server know what the other instances have committed there.
func TestLoadsReachTheInstancesThatUseTheServer(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		id := manyID(10)
		users := f.users(id)
		for _, in := range users {
			in.Fleet.Server(id).AddMemory(1000)
		}
		time.Sleep(700 * time.Millisecond)
		for _, in := range users {
			if others := in.Fleet.Server(id).Others().Memory; others != 1000*(len(users)-1) {
				t.Errorf("%s knows commitments of %d tokens, not of %d", in.config.Name, others, 1000*(len(users)-1))
			}
			in.Fleet.Server(id).AddMemory(-1000)
		}
		time.Sleep(time.Second)
		for _, in := range users {
			if others := in.Fleet.Server(id).Others(); others != (route.Commitment{}) {
				t.Errorf("%s still knows the commitment %+v", in.config.Name, others)
			}
		}
	})
}

// A new instance reads its subset, not the full list of servers.
func TestANewInstanceReadsItsSubset(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		f.add(someInstances)
		newInstance := f.instances[someInstances]
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.running.Go(func() { _ = newInstance.Run(ctx) })
		time.Sleep(2 * time.Second)
		if used := len(newInstance.Servers().ByRun); used < minSubset || newInstance.Revision() == 0 {
			t.Errorf("knows %d servers and revision %d", used, newInstance.Revision())
		}
		time.Sleep(manyServersConfig().FullListKeptFor + 3*time.Second)
		if used := len(newInstance.Servers().ByRun); used > maxSubset || used < minSubset {
			t.Errorf("uses %d servers", used)
		}
	})
}

func TestUpdatesAreSplitAtTheirPositions(t *testing.T) {
	updates := heartbeat.Updates{From: 100, To: 110}
	for i := range 10 {
		id := fmt.Sprint("s", i)
		updates.Changes = append(updates.Changes, registry.Change{ID: id, Entry: &registry.Entry{ID: id}})
	}
	check := func(what string, parts []heartbeat.Updates, want ...string) {
		t.Helper()
		at, got := updates.From, []string(nil)
		for _, part := range parts {
			if part.From != at {
				t.Errorf("%s: a part starts at %d where %d comes next", what, part.From, at)
			}
			at = part.To
			text := fmt.Sprintf("%d:", part.To)
			for _, change := range part.Changes {
				text += change.ID
			}
			got = append(got, text)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %q, not %q", what, got, want)
		}
	}
	check("all", split(updates, allIndexes(updates.Changes), 4), "104:s0s1s2s3", "108:s4s5s6s7", "110:s8s9")
	check("some", split(updates, []int{1, 4, 5, 9}, 2), "105:s1s4", "110:s5s9")
	check("none", split(updates, nil, 2), "110:")
	updates.To = 112
	check("too many of which some are missing", split(updates, allIndexes(updates.Changes), 4))
	check("few of which some are missing", split(updates, []int{1, 4}, 4), "112:s1s4")
}

// Updates for a subset include the changes of a server that was in the subset before, and of a server
// of which nothing is known.
func TestUpdatesForASubsetHoldItsChanges(t *testing.T) {
	uses := subset.New("i", "z", []subset.Share{{Service: "few", Near: 60, Far: 60}})
	before := &registry.View{Servers: []registry.Server{
		{Entry: registry.Entry{ID: "a", Service: "all"}}, {Entry: registry.Entry{ID: "b", Service: "few"}}, {Entry: registry.Entry{ID: "c", Service: "few"}},
	}}
	updates := heartbeat.Updates{From: 0, To: 5, Changes: []registry.Change{
		{ID: "a"}, {ID: "b"}, {ID: "c", Entry: &registry.Entry{ID: "c", Service: "all"}}, {ID: "d"}, {ID: "e", Entry: &registry.Entry{ID: "e", Service: "few"}},
	}}
	parts := updatesForSubset(updates, entriesBefore(updates.Changes, before), uses, 10)
	got := ""
	for _, change := range parts[0].Changes {
		got += change.ID
	}
	if got != "acd" || parts[0].SubsetFingerprint != uses.Fingerprint() {
		t.Errorf("%q of %d", got, parts[0].SubsetFingerprint)
	}
}

// Of instances that start together, for the first time or after all were lost, only few read the
// full list of servers.
func TestFewInstancesReadTheFullListAtTheStart(t *testing.T) {
	if racedetector.Enabled {
		t.Skip("too many goroutines for the race detector")
	}
	for name, first := range map[string]bool{"first start": true, "after all were lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := manyServersConfig()
				config.FirstStart = first
				f := newFleet(t, someInstances, config)
				f.store.pageSize = 50
				for i := range manyServers {
					f.store.registerIn(manyID(i), fmt.Sprint("z", i%3))
				}
				began := time.Now()
				end := f.start()
				took := f.slowest(func(in *Instance) bool { return in.Ready() })
				t.Logf("all instances serve after %v; %d calls, %d of them for pages beyond the first", took, f.store.called(), f.store.extraPages)
				if took > 9*time.Second {
					t.Errorf("all instances serve after %v", took)
				}
				time.Sleep(20*time.Second - time.Since(began))
				// Six hubs read all pages, and so do some instances that knew no hub in time.
				if f.store.extraPages > 12*6 {
					t.Errorf("%d pages beyond the first were read", f.store.extraPages)
				}
				end()
			})
		})
	}
}
