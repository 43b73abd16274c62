package edge

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// originInstances is the number of instances of most tests here.
const originInstances = 8

var oldRelease, newRelease = origin.Origin{Service: "a", Release: "v1"}, origin.Origin{Service: "a", Release: "v2"}

// releaseLog is the ReleaseStore of one instance.
type releaseLog struct {
	store *memoryStore
	name  string
}

// Load implements ReleaseStore.
func (l releaseLog) Load(context.Context) (StoredReleases, oplog.Position, error) {
	defer l.store.awaitRunning(l.name)
	time.Sleep(storeLatency)
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.calls++
	l.store.callsBy[l.name]++
	l.store.releasesCalls++
	if l.store.refused[l.name] {
		return StoredReleases{}, 0, oplog.ErrUnavailable
	}
	stored := l.store.releases
	stored.Releases = maps.Clone(stored.Releases)
	return stored, l.store.releasesEnd, nil
}

// Save implements ReleaseStore.
func (l releaseLog) Save(_ context.Context, releases StoredReleases, condition oplog.Position) (oplog.Position, bool, error) {
	defer l.store.awaitRunning(l.name)
	time.Sleep(storeLatency)
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.calls++
	l.store.callsBy[l.name]++
	l.store.releasesCalls++
	if l.store.refused[l.name] || l.store.savesRefused {
		return 0, false, oplog.ErrUnavailable
	}
	if condition != l.store.releasesEnd {
		return 0, false, nil
	}
	releases.Releases = maps.Clone(releases.Releases)
	l.store.releases = releases
	l.store.releasesEnd = l.store.releasesEnd.Add(1)
	return l.store.releasesEnd, true, nil
}

// storedReleases returns a copy of the stored releases.
func (s *memoryStore) storedReleases() StoredReleases {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoredReleases{Releases: maps.Clone(s.releases.Releases), Complete: s.releases.Complete}
}

// restore restores the store from a copy that has older releases.
func (s *memoryStore) restore(copied StoredReleases) {
	s.change(func() {
		s.era++
		s.releases = StoredReleases{Releases: maps.Clone(copied.Releases)}
		s.releasesEnd = oplog.NewPosition(s.era, s.releasesEnd.Offset())
	})
}

// releaseCalls returns the number of calls for the stored releases so far.
func (s *memoryStore) releaseCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releasesCalls
}

// registerRelease appends an entry of a server of a release to the log.
func (s *memoryStore) registerRelease(id string, at origin.Origin) {
	s.change(func() {
		s.servers = append(s.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: at.Service, Release: at.Release, Address: "127.0.0.1:1"}})
	})
}

// withReleases runs a test on instances that have followed servers of one release for long.
func withReleases(t *testing.T, instances int, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, DefaultConfig())
		for i := range 10 {
			f.store.registerRelease(fmt.Sprint("s", i), oldRelease)
		}
		end := f.start()
		time.Sleep(originWindow + 5*time.Second)
		test(f)
		end()
	})
}

// find looks a stream up at an instance and returns its release, or how the lookup ended.
func find(in *Instance, request string) string {
	at, source := in.Origins.Find(context.Background(), request, "a")
	if source == metrics.OriginUnknown {
		return string(source)
	}
	return at.Release
}

// begin records a stream at an instance.
func begin(in *Instance, request string, at origin.Origin) {
	in.Origins.Began(request, at, "s0@1", time.Now().Add(14*time.Second))
}

// TestLastStreamsOfAServerThatIsBackAtAnotherReleaseAreNotGuessed restarts a server under its id. The
// list shows it later than the server serves.
func TestLastStreamsOfAServerThatIsBackAtAnotherReleaseAreNotGuessed(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		register := func(id string, born int64, at origin.Origin) {
			f.store.change(func() {
				f.store.servers = append(f.store.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: at.Service, Release: at.Release, Born: born, Address: "127.0.0.1:1"}})
			})
		}
		register("s0", 1, oldRelease)
		time.Sleep(time.Second)
		begin(f.instances[0], "early", oldRelease)
		time.Sleep(doubtFor + time.Second)
		begin(f.instances[0], "late", oldRelease)
		time.Sleep(100 * time.Millisecond)
		register("s0", 36, newRelease)
		time.Sleep(time.Second)
		for _, in := range f.instances {
			if early, late := find(in, "early"), find(in, "late"); early != "v1" || late != string(metrics.OriginUnknown) {
				t.Errorf("%s: %s, %s", in.config.Name, early, late)
			}
		}
	})
}

func TestTakeUpWaitsForNoSiblingWhileOneReleaseServes(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		for _, in := range f.instances {
			began := time.Now()
			at, source := in.Origins.Find(context.Background(), "x", "a")
			if at != oldRelease || source != metrics.OriginSole || time.Since(began) > 0 {
				t.Errorf("%s: %v, %s after %v", in.config.Name, at, source, time.Since(began))
			}
		}
	})
}

func TestStreamsOfTwoReleasesAreFoundAtEachInstance(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		// The stream began while one release served, so that its record was not sent then.
		begin(f.instances[0], "before", oldRelease)
		f.store.registerRelease("n0", newRelease)
		time.Sleep(time.Second)
		for i, in := range f.instances {
			begin(in, fmt.Sprint("old-", i), oldRelease)
			begin(in, fmt.Sprint("new-", i), newRelease)
		}
		time.Sleep(100 * time.Millisecond)
		for _, in := range f.instances {
			if got := find(in, "before"); got != "v1" {
				t.Errorf("%s: the stream that began before the new release: %s", in.config.Name, got)
			}
			for i := range f.instances {
				if a, b := find(in, fmt.Sprint("old-", i)), find(in, fmt.Sprint("new-", i)); a != "v1" || b != "v2" {
					t.Errorf("%s: streams of instance %d began at %s, %s", in.config.Name, i, a, b)
				}
			}
			if got := find(in, "nobody's"); got != string(metrics.OriginUnknown) {
				t.Errorf("%s guesses %s", in.config.Name, got)
			}
		}
	})
}

func TestStreamsAreFoundAfterTheLossOfTheInstanceThatBeganThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, originInstances, DefaultConfig())
		for i := range 10 {
			f.store.registerRelease(fmt.Sprint("s", i), oldRelease)
		}
		stopFirst := f.startThese(f.instances[:1])
		stopOthers := f.startThese(f.instances[1:])
		time.Sleep(originWindow + 5*time.Second)
		for i := range 20 {
			begin(f.instances[0], fmt.Sprint("before-", i), oldRelease)
		}
		f.store.registerRelease("n", newRelease)
		time.Sleep(time.Second)
		for i := range 20 {
			begin(f.instances[0], fmt.Sprint("old-", i), oldRelease)
			begin(f.instances[0], fmt.Sprint("new-", i), newRelease)
		}
		time.Sleep(50 * time.Millisecond)
		stopFirst()
		// A replacement that knows nothing starts at once.
		f.replace(0)
		stopAgain := f.startThese(f.instances[:1])
		time.Sleep(1500 * time.Millisecond)
		for _, in := range f.instances {
			for i := range 20 {
				a, b, c := find(in, fmt.Sprint("before-", i)), find(in, fmt.Sprint("old-", i)), find(in, fmt.Sprint("new-", i))
				if a != "v1" || b != "v1" || c != "v2" {
					t.Errorf("%s: the streams %d began at %s, %s, %s", in.config.Name, i, a, b, c)
				}
			}
		}
		stopAgain()
		stopOthers()
		f.running.Wait()
	})
}

func TestNewInstanceKnowsTheSoleReleaseFromItsSiblings(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		last := len(f.instances)
		f.add(last)
		stop := f.startThese(f.instances[last:])
		defer stop()
		time.Sleep(2 * time.Second)
		if at, source := f.instances[last].Origins.Find(context.Background(), "x", "a"); at != oldRelease || source != metrics.OriginSole {
			t.Errorf("%v, %s", at, source)
		}
	})
}

func TestReleaseThatCameAndWentIsNotForgotten(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		f.store.registerRelease("n", newRelease)
		f.store.remove("n")
		time.Sleep(2 * time.Second)
		last := len(f.instances)
		f.add(last)
		stop := f.startThese(f.instances[last:])
		defer stop()
		time.Sleep(2 * time.Second)
		for _, in := range f.instances {
			if got := find(in, "x"); got != string(metrics.OriginUnknown) {
				t.Errorf("%s guesses %s", in.config.Name, got)
			}
		}
		time.Sleep(originWindow)
		for _, in := range f.instances {
			if got := find(in, "x"); got != "v1" {
				t.Errorf("%s: %s long after the other release", in.config.Name, got)
			}
		}
	})
}

// TestInstanceThatIsCutOffDoesNotGuess cuts an instance off from the store and from its siblings before
// another release comes.
func TestInstanceThatIsCutOffDoesNotGuess(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		f.mu.Lock()
		f.cut[f.instances[0].config.SiblingAddress] = true
		f.mu.Unlock()
		f.store.change(func() { f.store.refused[f.instances[0].config.Name] = true })
		time.Sleep(2 * time.Second)
		f.store.registerRelease("n", newRelease)
		time.Sleep(time.Second)
		begin(f.instances[1], "new", newRelease)
		if got := find(f.instances[0], "new"); got != string(metrics.OriginUnknown) {
			t.Errorf("the instance guesses %s", got)
		}
	})
}

// lossOfAll stops all instances and starts as many new ones, which know nothing.
func (f *fleet) lossOfAll(end func()) func() {
	end()
	for i := range f.instances {
		f.replace(i)
	}
	end = f.start()
	time.Sleep(2 * time.Second)
	return end
}

func TestSoleReleaseIsKnownAfterALossOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, originInstances, DefaultConfig())
		for i := range 10 {
			f.store.registerRelease(fmt.Sprint("s", i), oldRelease)
		}
		end := f.start()
		time.Sleep(originWindow + 5*time.Second)
		end = f.lossOfAll(end)
		for _, in := range f.instances {
			if got := find(in, "x"); got != "v1" {
				t.Errorf("%s: %s after the loss of all, expected the only release", in.config.Name, got)
			}
		}
		f.store.registerRelease("n", newRelease)
		time.Sleep(3 * time.Second)
		f.store.remove("n")
		time.Sleep(time.Second)
		end = f.lossOfAll(end)
		for _, in := range f.instances {
			if got := find(in, "x"); got != string(metrics.OriginUnknown) {
				t.Errorf("%s guesses %s after the loss of all", in.config.Name, got)
			}
		}
		end()
	})
}

func TestInstancesWithASubsetOfTheServersKnowTheReleases(t *testing.T) {
	if racedetector.Enabled {
		t.Skip("too many goroutines for the race detector")
	}
	withManyServers(t, func(f *fleet) {
		time.Sleep(originWindow)
		for _, in := range f.instances {
			if at, source := in.Origins.Find(context.Background(), "x", "a"); at.Release != "" || source != metrics.OriginSole {
				t.Errorf("%s: %v, %s", in.config.Name, at, source)
			}
		}
		// Few instances use this server.
		f.store.registerRelease("new", newRelease)
		time.Sleep(time.Second)
		begin(f.instances[0], "old", origin.Origin{Service: "a"})
		begin(f.instances[1], "new", newRelease)
		time.Sleep(100 * time.Millisecond)
		for _, in := range f.instances {
			if a, b, c := find(in, "old"), find(in, "new"), find(in, "x"); a != "" || b != "v2" || c != string(metrics.OriginUnknown) {
				t.Errorf("%s: %q, %q, %q", in.config.Name, a, b, c)
			}
		}
	})
}

func TestReleasesAreKnownForAsLongAsStreamsMayLast(t *testing.T) {
	withReleases(t, 1, func(f *fleet) {
		in := f.instances[0]
		long := &table.RouteView{Repeat: table.RepeatResume, Timeout: time.Minute}
		in.Origins.setWindow(&table.View{Routes: map[string][]*table.RouteView{"h": {long}}})
		time.Sleep(originTries * time.Minute)
		f.store.registerRelease("n", newRelease)
		f.store.remove("n")
		time.Sleep(2 * time.Minute)
		if got := find(in, "x"); got != string(metrics.OriginUnknown) {
			t.Errorf("the instance guesses %s two minutes after another release", got)
		}
	})
}

func TestOneRecordIsASmallDatagram(t *testing.T) {
	message := heartbeat.Message{Origins: &origin.Message{
		Origins: []origin.Origin{{Service: "dining-room-assistant", Release: "v1.2.3"}}, Began: []origin.Began{{Key: 1 << 63, LeftMillis: 19_000}},
		BeganRuns: []origin.BeganRun{{Run: 1 << 63}},
	}}
	datagram, err := heartbeat.Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(datagram))
	if len(datagram) > 128 {
		t.Errorf("%d bytes for one record", len(datagram))
	}
}

// TestStreamsAreFoundWhileTheStoreIsAway: no instance knows then whether other releases have come.
func TestStreamsAreFoundWhileTheStoreIsAway(t *testing.T) {
	withReleases(t, originInstances, func(f *fleet) {
		begin(f.instances[0], "before", oldRelease)
		f.store.change(func() {
			for _, in := range f.instances {
				f.store.refused[in.config.Name] = true
			}
		})
		time.Sleep(5 * time.Second)
		begin(f.instances[1], "meanwhile", oldRelease)
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.cut[f.instances[0].config.SiblingAddress] = true
		f.mu.Unlock()
		for _, in := range f.instances[1:] {
			if a, b, c := find(in, "before"), find(in, "meanwhile"), find(in, "x"); a != "v1" || b != "v1" || c != string(metrics.OriginUnknown) {
				t.Errorf("%s: %s, %s, %s", in.config.Name, a, b, c)
			}
		}
	})
}

func TestMostStreamsAreFoundAfterTheLossOfHalfOfTheInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 100
		f := newFleet(t, originInstances, DefaultConfig())
		f.store.registerRelease("o", oldRelease)
		f.store.registerRelease("n", newRelease)
		half := originInstances / 2
		stopHalf := f.startThese(f.instances[:half])
		stopOthers := f.startThese(f.instances[half:])
		time.Sleep(10 * time.Second)
		for i := range streams {
			begin(f.instances[i%half], fmt.Sprint(i), newRelease)
		}
		time.Sleep(50 * time.Millisecond)
		stopHalf()
		for i := range half {
			f.replace(i)
		}
		stopAgain := f.startThese(f.instances[:half])
		time.Sleep(3 * time.Second)
		for _, in := range f.instances {
			found := 0
			for i := range streams {
				switch find(in, fmt.Sprint(i)) {
				case "v2":
					found++
				case "v1":
					t.Errorf("%s: stream %d is found at the wrong release", in.config.Name, i)
				}
			}
			if found < streams/2 {
				t.Errorf("%s finds %d of %d streams", in.config.Name, found, streams)
			}
		}
		stopAgain()
		stopOthers()
		f.running.Wait()
	})
}

func TestRecordIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, originInstances, DefaultConfig())
		f.store.registerRelease("o", oldRelease)
		f.store.registerRelease("n", newRelease)
		stopFirst := f.startThese(f.instances[:1])
		stopOthers := f.startThese(f.instances[1:])
		// Between two ticks of the instance, each of which wakes the loop that sends records.
		time.Sleep(10*time.Second + 250*time.Millisecond)
		begin(f.instances[0], "last", newRelease)
		time.Sleep(networkLatency)
		stopFirst()
		time.Sleep(3 * time.Second)
		for _, in := range f.instances[1:] {
			if got := find(in, "last"); got != "v2" {
				t.Errorf("%s: %s", in.config.Name, got)
			}
		}
		stopOthers()
		f.running.Wait()
	})
}
