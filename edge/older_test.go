package edge

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// storeCopy is a copy of the list of servers and of the operators' log.
type storeCopy struct{ servers, tables int }

func (s *memoryStore) copied() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{len(s.servers), len(s.tables)}
}

// restoreLogs restores the list of servers and the operators' log from a copy, in the next era.
func (s *memoryStore) restoreLogs(from storeCopy) {
	s.change(func() {
		s.era, s.tablesEra = s.era+1, s.tablesEra+1
		s.servers, s.tables = slices.Clone(s.servers[:from.servers]), slices.Clone(s.tables[:from.tables])
	})
}

// An instance has read further than a store that was restored from an older copy reaches. It must follow the list of
// servers and the evacuations of the new era all the same, though their offsets are lower.
func TestInstancesAheadOfARestoredStoreFollowIt(t *testing.T) {
	for _, instances := range []int{1, 8, 59} {
		if instances > mostInstances() {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) {
				f.store.registerIn("far", "z1")
				older := f.store.copied()
				for i := range 20 {
					f.store.registerIn(fmt.Sprint("lost", i), "z0")
				}
				f.store.evacuate("z1", true)
				f.store.configure()
				if took := f.slowest(func(in *Instance) bool { return treatsAsDraining(in, "far") && in.Servers().ByRun["lost19"] != nil }); took > evacuatedWithin {
					t.Errorf("some instance knew the evacuation or the servers after %v", took)
				}
				f.store.restoreLogs(older)
				f.store.registerIn("back", "z0")
				if took := f.slowest(func(in *Instance) bool {
					return in.Servers().ByRun["back"] != nil && in.registry.View().Position.Era() == 1
				}); took > evacuatedWithin {
					t.Errorf("some instance did not know the servers of the new era for %v", took)
				}
				if took := f.slowest(func(in *Instance) bool { return !treatsAsDraining(in, "far") }); took > evacuatedWithin {
					t.Errorf("some instance avoided a zone for %v that the store no longer says is evacuated", took)
				}
				f.store.evacuate("z1", true)
				if took := f.slowest(func(in *Instance) bool { return treatsAsDraining(in, "far") }); took > evacuatedWithin {
					t.Errorf("some instance used the evacuated zone of the new era for %v", took)
				}
				// Entries that the copy lacks, and that nobody writes again, lapse.
				if took := f.slowest(func(in *Instance) bool { return in.Servers().ByRun["lost0"] == nil }); took > 10*time.Second {
					t.Errorf("some instance kept a server that the store lacks for %v", took)
				}
			})
		})
	}
}

// An instance that is out of contact while an evacuation ends, or while the store is restored from a copy without it, and
// all others are replaced meanwhile, must learn the end from instances that never knew the evacuation. The store refuses
// its calls.
func TestTheEndOfAnEvacuationReachesAnInstanceThatAloneKnowsOfIt(t *testing.T) {
	for _, instances := range []int{8, 59} {
		if instances > mostInstances() {
			continue
		}
		for name, end := range map[string]func(s *memoryStore, older storeCopy){
			"ended":    func(s *memoryStore, _ storeCopy) { s.evacuate("z1", false) },
			"restored": func(s *memoryStore, older storeCopy) { s.restoreLogs(older) },
		} {
			t.Run(fmt.Sprint(name, " ", instances), func(t *testing.T) {
				runFleetBesideFirst(t, instances, func(f *fleet, first *Instance, stopOthers func()) func() {
					older := f.store.copied()
					f.store.evacuate("z1", true)
					if took := f.slowest(func(in *Instance) bool { return treatsAsDraining(in, "far") }); took > evacuatedWithin {
						t.Errorf("some instance used the evacuated zone for %v", took)
					}
					f.setCut(first, true)
					f.store.change(func() { f.store.refused[first.config.Name] = true })
					time.Sleep(time.Second)
					end(f.store, older)
					f.store.registerIn("later", "z0")
					stopOthers()
					for i := range f.instances[1:] {
						f.replace(i + 1)
					}
					stopOthers = f.startThese(f.instances[1:])
					time.Sleep(12 * time.Second)
					f.setCut(first, false)
					if took := f.slowest(func(in *Instance) bool { return !treatsAsDraining(in, "far") }); took > rejoinsWithin {
						t.Errorf("some instance avoided the zone for %v after it was in contact again", took)
					}
					if took := f.slowest(func(in *Instance) bool { return in.Servers().ByRun["later"] != nil }); took > rejoinsWithin {
						t.Errorf("some instance did not know a server for %v after it was in contact again", took)
					}
					return stopOthers
				})
			})
		}
	}
}

// rejoinsWithin is the time within which an instance that was out of contact must know what the others know.
const rejoinsWithin = 5 * time.Second

// runFleetBesideFirst is like runFleet, with a server in zone z1, but the test can stop all instances except the first. It
// returns what stops the others that run at its end.
func runFleetBesideFirst(t *testing.T, instances int, test func(f *fleet, first *Instance, stopOthers func()) (stopLater func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, instances, DefaultConfig())
		f.store.registerIn("far", "z1")
		stopFirst, stopOthers := f.startThese(f.instances[:1]), f.startThese(f.instances[1:])
		time.Sleep(8 * time.Second)
		stopLater := test(f, f.instances[0], stopOthers)
		stopLater()
		stopFirst()
		f.running.Wait()
	})
}
