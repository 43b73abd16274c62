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

// Sizes of tests with many servers, small enough to run often.
const (
	manyServers    = 300
	someInstances  = 59
	usedAtMost     = 110
	servesOfAHub   = 2 * 3
	smallestSubset = 10
)

// manyConfig has instances use parts of some hundreds of servers.
func manyConfig() Config {
	config := DefaultConfig()
	config.Subset = subset.Config{AllAtMost: 64, NearAtLeast: 12, FarAtLeast: 4, UsersAtLeast: 4}
	return config
}

func manyID(i int) string { return fmt.Sprintf("m%03d", i) }

// withManyServers plays instances that use parts of many servers in three zones.
func withManyServers(t *testing.T, test func(f *fleet)) {
	t.Helper()
	if racedetector.On {
		t.Skip("too many goroutines for the race detector")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, someInstances, manyConfig())
		f.store.page = 50
		for i := range manyServers {
			f.store.registerIn(manyID(i), fmt.Sprint("z", i%3))
		}
		end := f.start()
		time.Sleep(20 * time.Second)
		test(f)
		end()
	})
}

// users are the instances that use a server.
func (f *fleet) users(id string) (users []*Instance) {
	for _, in := range f.all() {
		if in.Servers().ByRun[id] != nil {
			users = append(users, in)
		}
	}
	return users
}

// whole counts the instances that know the whole list.
func (f *fleet) whole() (count int) {
	for _, in := range f.all() {
		if !in.registry.View().Part {
			count++
		}
	}
	return count
}

func TestInstancesKnowPartsOfManyServers(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		if n := f.whole(); n > servesOfAHub {
			t.Errorf("%d of %d instances know the whole list", n, someInstances)
		}
		for _, in := range f.instances {
			if used := len(in.Servers().ByRun); used > usedAtMost || used < smallestSubset {
				t.Errorf("%s uses %d of %d servers", in.config.Name, used, manyServers)
			}
			if list := in.registry.View(); list.Part && len(list.Servers) != len(in.Servers().ByRun) {
				t.Errorf("%s knows %d servers and uses %d", in.config.Name, len(list.Servers), len(in.Servers().ByRun))
			}
		}
		for i := range manyServers {
			if len(f.users(manyID(i))) == 0 {
				t.Errorf("nobody uses %s", manyID(i))
			}
		}
	})
}

// Whoever uses a server knows what becomes of it as soon as with few servers, whether changes
// come one by one or a hundred at a time; the others are not told.
func TestChangesReachThoseThatUseTheServer(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		for i := range 5 {
			id, users := manyID(i), f.users(manyID(i))
			f.store.register(id, true)
			await(t, "leaves", users, drains(id))
			f.store.remove(id)
			await(t, "is gone", users, func(in *Instance) bool { return in.Servers().ByRun[id] == nil })
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
		for id, those := range users {
			for _, in := range those {
				if entry := in.Servers().ByRun[id]; entry == nil || !entry.Draining {
					t.Errorf("%s does not know that %s leaves", in.config.Name, id)
				}
			}
		}
		f.store.registerIn("late", "z1")
		time.Sleep(mustKnow)
		if n := len(f.users("late")); n == 0 || n > someInstances/2 {
			t.Errorf("%d use a server that has just come", n)
		}
		for _, in := range f.instances {
			if position := in.registry.View().Position; position != f.store.end() {
				t.Errorf("%s has the list up to %d of %d", in.config.Name, position, f.store.end())
			}
		}
	})
}

// end is the position behind the list's last change.
func (s *memoryStore) end() oplog.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return oplog.Position(len(s.servers))
}

// await checks that something holds at some instances in time.
func await(t *testing.T, what string, those []*Instance, holds func(in *Instance) bool) {
	t.Helper()
	time.Sleep(mustKnow)
	for _, in := range those {
		if !holds(in) {
			t.Errorf("%s does not know in time that a server %s", in.config.Name, what)
		}
	}
}

// After all hubs were lost at once others read the list for all: from each other or the store,
// and few of them do.
func TestWhoeverBecomesAHubKnowsTheWholeList(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		var left []*Instance
		f.mu.Lock()
		for _, in := range f.instances {
			if in.hubs.isHub() {
				f.cut[in.config.SiblingAddress] = true
			} else {
				left = append(left, in)
			}
		}
		f.mu.Unlock()
		// To read the whole list takes longer than two looks at whether it is there.
		f.store.pageTakes = 100 * time.Millisecond
		before := f.store.calledBy(left)
		time.Sleep(8 * time.Second)
		hubs := 0
		for _, in := range left {
			if in.hubs.isHub() {
				hubs++
				if in.registry.View().Part {
					t.Errorf("%s is a hub and knows %d servers", in.config.Name, len(in.registry.View().Servers))
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
			if !drains(manyID(7))(in) && !f.cut[in.config.SiblingAddress] {
				t.Errorf("%s does not know that a server leaves", in.config.Name)
			}
		}
		calls := f.store.calledBy(left) - before
		t.Logf("%d calls to the store", calls)
		if calls > 150 {
			t.Errorf("%d calls to the store", calls)
		}
	})
}

// What others have committed at a server is known to those that use it.
func TestLoadsReachThoseThatUseTheServer(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		id := manyID(10)
		users := f.users(id)
		for _, in := range users {
			in.Fleet.Server(id).Hold(1000)
		}
		time.Sleep(700 * time.Millisecond)
		for _, in := range users {
			if others := in.Fleet.Server(id).Others().Memory; others != 1000*(len(users)-1) {
				t.Errorf("%s knows of %d, not of %d", in.config.Name, others, 1000*(len(users)-1))
			}
			in.Fleet.Server(id).Hold(-1000)
		}
		time.Sleep(time.Second)
		for _, in := range users {
			if others := in.Fleet.Server(id).Others(); others != (route.Commitment{}) {
				t.Errorf("%s still knows of %+v", in.config.Name, others)
			}
		}
	})
}

// A newcomer reads its part, not the list.
func TestANewcomerIsGivenItsPart(t *testing.T) {
	withManyServers(t, func(f *fleet) {
		f.add(someInstances)
		newcomer := f.instances[someInstances]
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.running.Go(func() { _ = newcomer.Run(ctx) })
		time.Sleep(2 * time.Second)
		if used := len(newcomer.Servers().ByRun); used < smallestSubset || newcomer.Revision() == 0 {
			t.Errorf("knows %d servers and revision %d", used, newcomer.Revision())
		}
		time.Sleep(manyConfig().WholeFor + 3*time.Second)
		if used := len(newcomer.Servers().ByRun); used > usedAtMost || used < smallestSubset {
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
	check := func(what string, pieces []heartbeat.Updates, want ...string) {
		t.Helper()
		at, got := updates.From, []string(nil)
		for _, piece := range pieces {
			if piece.From != at {
				t.Errorf("%s: a piece from %d where %d comes next", what, piece.From, at)
			}
			at = piece.To
			text := fmt.Sprintf("%d:", piece.To)
			for _, change := range piece.Changes {
				text += change.ID
			}
			got = append(got, text)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %q, not %q", what, got, want)
		}
	}
	check("all", split(updates, everyChange(updates.Changes), 4), "104:s0s1s2s3", "108:s4s5s6s7", "110:s8s9")
	check("some", split(updates, []int{1, 4, 5, 9}, 2), "105:s1s4", "110:s5s9")
	check("none", split(updates, nil, 2), "110:")
	updates.To = 112
	check("too many of which some are missing", split(updates, everyChange(updates.Changes), 4))
	check("few of which some are missing", split(updates, []int{1, 4}, 4), "112:s1s4")
}

// Changes of a server that was used, and of one of which nothing is known, are told too.
func TestAPartOfUpdatesHoldsWhatConcernsIt(t *testing.T) {
	uses := subset.New("i", "z", []subset.Share{{Service: "few", Near: 60, Far: 60}})
	before := &registry.View{Servers: []registry.Server{
		{Entry: registry.Entry{ID: "a", Service: "all"}}, {Entry: registry.Entry{ID: "b", Service: "few"}}, {Entry: registry.Entry{ID: "c", Service: "few"}},
	}}
	updates := heartbeat.Updates{From: 0, To: 5, Changes: []registry.Change{
		{ID: "a"}, {ID: "b"}, {ID: "c", Entry: &registry.Entry{ID: "c", Service: "all"}}, {ID: "d"}, {ID: "e", Entry: &registry.Entry{ID: "e", Service: "few"}},
	}}
	pieces := partOf(updates, entriesBefore(updates.Changes, before), uses, 10)
	got := ""
	for _, change := range pieces[0].Changes {
		got += change.ID
	}
	if got != "acd" || pieces[0].Of != uses.Fingerprint() {
		t.Errorf("%q of %d", got, pieces[0].Of)
	}
}

// Instances that start together, for the first time or after all were lost, leave it to few to
// read the whole list.
func TestFewReadTheWholeListAtTheStart(t *testing.T) {
	if racedetector.On {
		t.Skip("too many goroutines for the race detector")
	}
	for name, first := range map[string]bool{"first start": true, "after all were lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := manyConfig()
				config.FirstStart = first
				f := newFleet(t, someInstances, config)
				f.store.page = 50
				for i := range manyServers {
					f.store.registerIn(manyID(i), fmt.Sprint("z", i%3))
				}
				began := time.Now()
				end := f.start()
				took := f.slowest(func(in *Instance) bool { return in.Ready() })
				t.Logf("all serve after %v; %d calls, %d of them pages beyond the first", took, f.store.called(), f.store.pages)
				if took > 9*time.Second {
					t.Errorf("all serve after %v", took)
				}
				time.Sleep(20*time.Second - time.Since(began))
				// Six hubs, the pages of each, and some that heard of none in time.
				if f.store.pages > 12*6 {
					t.Errorf("%d pages beyond the first were read", f.store.pages)
				}
				end()
			})
		})
	}
}
