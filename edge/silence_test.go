package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// The tests of this file guard against this failure: requests reached servers up to five seconds
// after the store had acknowledged that these drain. Before that, a part of the store had been silent
// for some seconds, and had worked again for seconds more. The long poll of every instance for the
// list of servers was under way when the silence began. Such a poll is never answered, though its
// connection stays open, and it lasted until its timeout, 26.5 s after it was sent. All lists were
// outdated at the same time, so that no sibling knew better.
//
// The logs showed `Dependency lost` with askedMillisAgo 26,500 at each of 62 instances, no line about
// the list in the 26 s before it, and the updates with the next poll, 0.3 s later.

// mustKnow is the time within which all instances must have updates that the store acknowledged
// while it worked. The service requirements allow 2 s until the last request reaches a draining
// server, and a request may be under way for a moment.
const mustKnow = 1700 * time.Millisecond

// reliableAfter is how long after a silence the service requirements count the store as reliable
// again.
const reliableAfter = 3 * time.Second

// forEachSize runs a test on fleets of the usual sizes.
func forEachSize(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	forSizes(t, []int{1, 5, 8, 16, 24}, test)
}

// goroutinesOfInstance is the number of goroutines of an instance in a fleet of 8 or 16: its loops.
const goroutinesOfInstance = 17

// mostInstances is the number of instances that a test may have. It is bounded under the race detector only.
func mostInstances() int {
	if !racedetector.Enabled {
		return math.MaxInt
	}
	return racedetector.MaxBusyGoroutines() / goroutinesOfInstance
}

// forSizes runs a test on fleets of the given sizes.
func forSizes(t *testing.T, sizes []int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	for _, size := range sizes {
		if size > mostInstances() {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runFleet(t, size, func(f *fleet) { test(t, f) })
		})
	}
}

// knowsDraining returns a check that an instance knows a server as draining or removed.
func knowsDraining(id string) func(in *Instance) bool {
	return func(in *Instance) bool {
		entry := in.Servers().ByRun[id]
		return entry == nil || entry.Draining
	}
}

// knowsRemoved returns a check that an instance knows a server as removed.
func knowsRemoved(id string) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Servers().ByRun[id] == nil }
}

// updatesAfterSilence returns a test that all instances know a change in time. The change is made
// when the service requirements count the store as reliable again after it was silent about a
// topic.
func updatesAfterSilence(topic string, lasts time.Duration, change func(f *fleet), known func(in *Instance) bool) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.store.silence(topic, lasts)
		time.Sleep(reliableAfter)
		change(f)
		if took := f.slowest(known); took > mustKnow {
			t.Errorf("all instances know the change after %v", took)
		}
	}
}

// Lengths of a silence: one that fails every call, and one so short that only the polls that were
// under way are lost.
const (
	longSilence  = 5 * time.Second
	shortSilence = 10 * time.Millisecond
)

// drainServer has a server on the list of servers drain.
func drainServer(f *fleet) { f.store.register("s3", true) }

// 62 instances are the size of the reference deployment in which the failure occurred.
func TestADrainingServerIsKnownAfterAPartialStoreOutage(t *testing.T) {
	forSizes(t, []int{1, 8, 16, 62}, updatesAfterSilence(topicServers, longSilence, drainServer, knowsDraining("s3")))
}

func TestADrainingServerIsKnownAfterPollsWereLost(t *testing.T) {
	forEachSize(t, updatesAfterSilence(topicServers, shortSilence, drainServer, knowsDraining("s3")))
}

// A server that never reports a drain, but is removed from the list long after the silence, has not
// expired. It is removed at all instances.
func TestAServerRemovedAfterASilenceIsNotUsed(t *testing.T) {
	forEachSize(t, updatesAfterSilence(topicServers, longSilence, func(f *fleet) { f.store.remove("s3") }, knowsRemoved("s3")))
}

func TestATableIsAppliedAfterAPartialStoreOutage(t *testing.T) {
	applied := func(in *Instance) bool { return in.Revision() == 2 }
	forEachSize(t, updatesAfterSilence(topicTable, longSilence, func(f *fleet) { f.store.configure() }, applied))
}

// A single instance that the store refuses receives its updates from siblings. A removal that they
// report is not an expired entry, because the servers reach the store.
func TestARemovalReportedBySiblingsIsNotAnExpiry(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		f.store.silence(topicServers, shortSilence)
		f.store.change(func() { f.store.refused["i003"] = true })
		time.Sleep(30 * time.Second)
		f.store.remove("s3")
		if took := f.slowest(knowsRemoved("s3")); took > mustKnow {
			t.Errorf("all instances know the removal after %v", took)
		}
	})
}

// The detection of lost polls costs few calls. Each call is priced, and there are many instances.
func TestCallsInAMinuteWithoutChanges(t *testing.T) {
	most := map[int]int{1: 170, 5: 170, 8: 240, 16: 280, 24: 320}
	forEachSize(t, func(t *testing.T, f *fleet) {
		before := f.store.called()
		time.Sleep(time.Minute)
		if calls := f.store.called() - before; calls > most[len(f.instances)] {
			t.Errorf("%d calls, at most %d are allowed", calls, most[len(f.instances)])
		}
	})
}
