package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
)

// registerIn registers a server of a zone.
func (s *memoryStore) registerIn(id, zone string) {
	s.change(func() {
		s.servers = append(s.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: "a", Address: "127.0.0.1:1", Zone: zone}})
	})
}

// treatsAsDraining reports whether an instance treats a server as draining.
func treatsAsDraining(in *Instance, id string) bool {
	entry := in.Servers().ByRun[id]
	return entry != nil && entry.Draining
}

// evacuatedWithin is the time within which all instances must follow an evacuation. The service
// requirements allow 3 s and more.
const evacuatedWithin = 2 * time.Second

func TestAllInstancesFollowAnEvacuation(t *testing.T) {
	for _, instances := range []int{1, 8, 59} {
		if instances > mostInstances() {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) {
				f.store.registerIn("far", "z1")
				f.store.registerIn("near", "z0")
				time.Sleep(3 * time.Second)
				f.store.evacuate("z1", true)
				if took := f.slowest(func(in *Instance) bool { return treatsAsDraining(in, "far") }); took > evacuatedWithin {
					t.Errorf("some instance used the evacuated zone for %v", took)
				}
				for _, in := range f.instances {
					if treatsAsDraining(in, "near") || in.Evacuated() != 1 {
						t.Fatalf("%s: another zone is evacuated too, or the number of evacuated zones is %d", in.config.Name, in.Evacuated())
					}
				}
				// A server that registers meanwhile, and a new configuration, change nothing.
				f.store.registerIn("late", "z1")
				f.store.configure()
				if took := f.slowest(func(in *Instance) bool { return treatsAsDraining(in, "late") }); took > evacuatedWithin {
					t.Errorf("a server registered during the evacuation was used for %v", took)
				}
				f.store.evacuate("z1", false)
				if took := f.slowest(func(in *Instance) bool { return !treatsAsDraining(in, "far") && !treatsAsDraining(in, "late") }); took > evacuatedWithin {
					t.Errorf("some instance avoided the zone for %v after the evacuation", took)
				}
			})
		})
	}
}

// An instance whose calls the store refuses learns of an evacuation, and of its end, from its
// siblings.
func TestAnEvacuationReachesInstancesThatTheStoreRefuses(t *testing.T) {
	runFleet(t, 8, func(f *fleet) {
		f.store.registerIn("far", "z1")
		time.Sleep(3 * time.Second)
		f.store.change(func() { f.store.refused["i003"] = true })
		f.store.evacuate("z1", true)
		if took := f.slowest(func(in *Instance) bool { return treatsAsDraining(in, "far") }); took > evacuatedWithin {
			t.Errorf("some instance used the evacuated zone for %v", took)
		}
		f.store.evacuate("z1", false)
		if took := f.slowest(func(in *Instance) bool { return !treatsAsDraining(in, "far") }); took > evacuatedWithin {
			t.Errorf("some instance avoided the zone for %v after the evacuation", took)
		}
	})
}

func TestANewInstanceKnowsOfAnEvacuation(t *testing.T) {
	for _, instances := range []int{8, 59} {
		if instances > mostInstances() {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(f *fleet) {
				f.store.registerIn("far", "z1")
				f.store.evacuate("z1", true)
				time.Sleep(12 * time.Second)
				f.add(instances)
				newInstance := f.instances[instances]
				stop := f.startThese(f.instances[instances:])
				defer stop()
				// It must know of the evacuation before it uses the server.
				f.await("the new instance knows the server", func() bool { return newInstance.Servers().ByRun["far"] != nil && newInstance.Revision() > 0 })
				time.Sleep(newInstanceKnowsWithin)
				if !treatsAsDraining(newInstance, "far") {
					t.Error("a new instance uses an evacuated zone")
				}
			})
		})
	}
}

func TestTheEvacuationAtTheHighestPositionWins(t *testing.T) {
	in := bareInstance("a", new(claims), enginesOf(0, 0))
	message := func(position uint64, zones ...string) heartbeat.Message {
		return heartbeat.Message{From: member.Info{Name: "b"}, Evacuation: &heartbeat.Evacuation{Position: oplog.Position(position), Zones: zones}}
	}
	check := func(what string, want ...string) {
		t.Helper()
		if got := zonesOf(in.evacuation.Load()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	// The instance has read beyond the end of an evacuation that it never knew.
	in.tablePosition.Store(5)
	in.mergeEvacuation(message(4, "z"))
	check("an older message")
	in.mergeEvacuation(message(7, "y", "z"))
	check("a newer message", "y", "z")
	in.applyEvacuation(OperatorChanges{Evacuated: map[string]bool{"x": true}}, 6)
	check("a read that is behind", "y", "z")
	in.applyEvacuation(OperatorChanges{Evacuated: map[string]bool{"x": true, "y": false}}, 9)
	check("changes", "x", "z")
	in.mergeEvacuation(message(8, "y"))
	check("a message that is behind", "x", "z")
	in.applyEvacuation(OperatorChanges{}, 10)
	check("a read without evacuations", "x", "z")
	in.applyEvacuation(OperatorChanges{Full: true, Evacuated: map[string]bool{"w": true}}, 11)
	check("a full read", "w")
	in.applyEvacuation(OperatorChanges{Full: true}, 12)
	check("a full read without evacuations")
}
