package edge

import (
	"fmt"
	"testing"
	"time"
)

// meshSizes are numbers of instances that form a mesh, where each sends to all others.
var meshSizes = []int{1, 2, 8, 22, 36}

// forMeshSizes runs a test on each of the meshSizes.
func forMeshSizes(t *testing.T, test func(t *testing.T, f *fleet)) {
	for _, instances := range meshSizes {
		if instances > mostInstances() {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) { test(t, f) })
		})
	}
}

// Updates cost as few calls with 36 instances as with 8, and spread as fast.
func TestFewInstancesOfAMeshReadTheStore(t *testing.T) {
	forMeshSizes(t, func(t *testing.T, f *fleet) {
		before := f.store.called()
		for i := range 20 {
			f.store.register(fmt.Sprintf("n%d", i), false)
			if took := f.slowest(knowsServer(fmt.Sprintf("n%d", i))); took > mustKnow {
				t.Errorf("all instances know a server after %v", took)
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
			t.Errorf("all instances have applied a table after %v", took)
		}
	})
}

// The store refuses the instances that read it for the others. Updates reach all instances all the
// same.
func TestUpdatesSpreadThoughTheStoreRefusesTheReadersOfAMesh(t *testing.T) {
	forMeshSizes(t, func(t *testing.T, f *fleet) {
		if len(f.instances) < 8 {
			return
		}
		f.store.change(func() {
			for _, in := range f.instances {
				f.store.refused[in.config.Name] = in.longPolls.Load()
			}
		})
		time.Sleep(time.Second)
		for i := range 5 {
			id := fmt.Sprintf("n%d", i)
			f.store.register(id, false)
			if took := f.slowest(knowsServer(id)); took > mustKnow {
				t.Errorf("all instances know a server after %v", took)
			}
		}
	})
}

// knowsServer returns a check that an instance knows a server.
func knowsServer(id string) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Servers().ByRun[id] != nil }
}
