package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// meshSizes are numbers of instances that all hear each other.
var meshSizes = []int{1, 2, 8, 22, 36}

// inMeshes runs a test on a few instances.
func inMeshes(t *testing.T, test func(t *testing.T, f *fleet)) {
	for _, instances := range meshSizes {
		if racedetector.On && instances*goroutinesOfInstance > racedetector.MostGoroutines {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			play(t, instances, func(f *fleet) { test(t, f) })
		})
	}
}

// Updates cost as many calls with 36 instances as with 8, and are known as soon.
func TestFewInstancesOfAMeshReadTheStore(t *testing.T) {
	inMeshes(t, func(t *testing.T, f *fleet) {
		before := f.store.called()
		for i := range 20 {
			f.store.register(fmt.Sprintf("n%d", i), false)
			if took := f.slowest(knows(fmt.Sprintf("n%d", i))); took > mustKnow {
				t.Errorf("a server is known everywhere after %v", took)
			}
			time.Sleep(700 * time.Millisecond)
		}
		calls := f.store.called() - before
		t.Logf("%d calls for 20 changes in 14 s", calls)
		if calls > 110 {
			t.Errorf("%d calls for 20 changes in 14 s", calls)
		}
		f.store.configure()
		if took := f.slowest(func(in *Instance) bool { return in.Revision() == 2 }); took > mustKnow {
			t.Errorf("a table is in force everywhere after %v", took)
		}
	})
}

// Whichever instances the store turns away, the readers among them, updates are known to all.
func TestUpdatesAreKnownThoughTheReadersOfAMeshAreTurnedAway(t *testing.T) {
	inMeshes(t, func(t *testing.T, f *fleet) {
		if len(f.instances) < 8 {
			return
		}
		f.store.change(func() {
			for _, in := range f.instances {
				f.store.turnedAway[in.config.Name] = in.reads.Load()
			}
		})
		time.Sleep(time.Second)
		for i := range 5 {
			id := fmt.Sprintf("n%d", i)
			f.store.register(id, false)
			if took := f.slowest(knows(id)); took > mustKnow {
				t.Errorf("known everywhere after %v", took)
			}
		}
	})
}

// knows says whether an instance knows a server.
func knows(id string) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Servers().ByRun[id] != nil }
}
