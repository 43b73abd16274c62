package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// The story. Requests reached servers up to five seconds after the store had
// acknowledged that these leave. Before, a part of the store had been silent for
// some seconds, and was sound again for seconds more. Every instance's poll
// for updates of the list of servers had been under way when the silence began. Such
// a poll is never answered, though its connection lives, and it stood until
// its own end, 26.5 s after it was asked: all instances' lists were old at the same
// time, so that no sibling knew better.
//
// The evidence: `Dependency lost` with askedMillisAgo 26,500 at each of 62
// instances, no line about the list for 26 s before it, and the updates with the very
// next poll, 0.3 s later.

// mustKnow is the time within which all instances must have updates that the store
// acknowledged while it was sound: the users allow 2 s until the last request
// reaches a server that leaves, and a request may be under way for a moment.
const mustKnow = 1700 * time.Millisecond

// soundAgain is how long after a silence the users rely on the store again.
const soundAgain = 3 * time.Second

func eachSize(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	ofSizes(t, []int{1, 8, 16, 24}, test)
}

// goroutinesOfInstance is about how many an instance has: its loops.
const goroutinesOfInstance = 12

func ofSizes(t *testing.T, sizes []int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	for _, size := range sizes {
		if racedetector.On && size*goroutinesOfInstance > racedetector.MostGoroutines {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			play(t, size, func(f *fleet) { test(t, f) })
		})
	}
}

func drains(id string) func(in *Instance) bool {
	return func(in *Instance) bool {
		entry := in.Servers().ByRun[id]
		return entry == nil || entry.Draining
	}
}

func gone(id string) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Servers().ByRun[id] == nil }
}

// updatesAfterSilence returns a test that something is known everywhere in time, which
// happens when the store is relied on again after it was silent about a topic.
func updatesAfterSilence(topic string, lasts time.Duration, happens func(f *fleet), holds func(in *Instance) bool) func(*testing.T, *fleet) {
	return func(t *testing.T, f *fleet) {
		f.store.silence(topic, lasts)
		time.Sleep(soundAgain)
		happens(f)
		if took := f.slowest(holds); took > mustKnow {
			t.Errorf("known everywhere after %v", took)
		}
	}
}

// Lengths of a silence: one that fails whoever asks, and one too short to be
// noticed by anything but the polls that it swallows.
const (
	longSilence  = 5 * time.Second
	shortSilence = 10 * time.Millisecond
)

func leaves(f *fleet) { f.store.register("s3", true) }

// 62 instances are the users' deployment on which the failure was seen.
func TestALeavingServerIsKnownAfterTheStoreWasSilentInPart(t *testing.T) {
	ofSizes(t, []int{1, 8, 16, 62}, updatesAfterSilence(topicServers, longSilence, leaves, drains("s3")))
}

func TestALeavingServerIsKnownAfterPollsWereLost(t *testing.T) {
	eachSize(t, updatesAfterSilence(topicServers, shortSilence, leaves, drains("s3")))
}

// A server that never says that it leaves, but is taken off the list long after the
// silence, has not lapsed: it is gone.
func TestAServerTakenOffTheListAfterASilenceIsGone(t *testing.T) {
	eachSize(t, updatesAfterSilence(topicServers, longSilence, func(f *fleet) { f.store.remove("s3") }, gone("s3")))
}

func TestATableIsInForceAfterTheStoreWasSilentInPart(t *testing.T) {
	inForce := func(in *Instance) bool { return in.Revision() == 2 }
	eachSize(t, updatesAfterSilence(topicTable, longSilence, func(f *fleet) { f.store.configure() }, inForce))
}

// An instance that alone is turned away by the store has its updates from siblings,
// and what they tell of a removal is no lapse: the servers reach the store.
func TestARemovalToldToAnInstanceThatIsTurnedAwayIsNoLapse(t *testing.T) {
	play(t, 8, func(f *fleet) {
		f.store.silence(topicServers, shortSilence)
		f.store.change(func() { f.store.turnedAway["i003"] = true })
		time.Sleep(30 * time.Second)
		f.store.remove("s3")
		if took := f.slowest(gone("s3")); took > mustKnow {
			t.Errorf("gone at all after %v", took)
		}
	})
}

// Knowing of lost polls costs few calls: all are priced, and there are many
// instances.
func TestCallsInACalmMinute(t *testing.T) {
	most := map[int]int{1: 170, 8: 240, 16: 280, 24: 320}
	eachSize(t, func(t *testing.T, f *fleet) {
		before := f.store.called()
		time.Sleep(time.Minute)
		if calls := f.store.called() - before; calls > most[len(f.instances)] {
			t.Errorf("%d calls, at most %d", calls, most[len(f.instances)])
		}
	})
}
