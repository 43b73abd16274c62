package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/registry"
)

// registerIn writes the entry of a server in a zone.
func (s *memoryStore) registerIn(id, zone string) {
	s.change(func() {
		s.servers = append(s.servers, registry.Change{ID: id, Entry: &registry.Entry{ID: id, Service: "a", Address: "127.0.0.1:1", Zone: zone}})
	})
}

// leavesAlone says whether an instance treats a server as one that leaves.
func leavesAlone(in *Instance, id string) bool {
	entry := in.Servers().ByRun[id]
	return entry != nil && entry.Draining
}

// evacuatedWithin is how soon all instances must go by the operators' word; the users allow
// 3 s and more.
const evacuatedWithin = 2 * time.Second

func TestAnEvacuatedZoneIsLeftByAll(t *testing.T) {
	for _, instances := range []int{1, 8, 59} {
		if racedetector.On && instances*goroutinesOfInstance > racedetector.MostGoroutines {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			play(t, instances, func(f *fleet) {
				f.store.registerIn("far", "z1")
				f.store.registerIn("near", "z0")
				time.Sleep(3 * time.Second)
				f.store.evacuate("z1", true)
				if took := f.slowest(func(in *Instance) bool { return leavesAlone(in, "far") }); took > evacuatedWithin {
					t.Errorf("used for %v", took)
				}
				for _, in := range f.instances {
					if leavesAlone(in, "near") || in.Evacuated() != 1 {
						t.Fatalf("%s: another zone is left too, or %d are", in.config.Name, in.Evacuated())
					}
				}
				// Whoever appears meanwhile, and a configuration, change nothing.
				f.store.registerIn("late", "z1")
				f.store.configure()
				if took := f.slowest(func(in *Instance) bool { return leavesAlone(in, "late") }); took > evacuatedWithin {
					t.Errorf("a server that came was used for %v", took)
				}
				f.store.evacuate("z1", false)
				if took := f.slowest(func(in *Instance) bool { return !leavesAlone(in, "far") && !leavesAlone(in, "late") }); took > evacuatedWithin {
					t.Errorf("left for %v more", took)
				}
			})
		})
	}
}

// An instance that the store does not answer hears of an evacuation, and of its end, from
// the others.
func TestAnEvacuationReachesThoseThatTheStoreTurnsAway(t *testing.T) {
	play(t, 8, func(f *fleet) {
		f.store.registerIn("far", "z1")
		time.Sleep(3 * time.Second)
		f.store.change(func() { f.store.turnedAway["i003"] = true })
		f.store.evacuate("z1", true)
		if took := f.slowest(func(in *Instance) bool { return leavesAlone(in, "far") }); took > evacuatedWithin {
			t.Errorf("used for %v", took)
		}
		f.store.evacuate("z1", false)
		if took := f.slowest(func(in *Instance) bool { return !leavesAlone(in, "far") }); took > evacuatedWithin {
			t.Errorf("left for %v more", took)
		}
	})
}

func TestANewcomerKnowsOfAnEvacuation(t *testing.T) {
	for _, instances := range []int{8, 59} {
		if racedetector.On && instances*goroutinesOfInstance > racedetector.MostGoroutines {
			continue
		}
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			play(t, instances, func(f *fleet) {
				f.store.registerIn("far", "z1")
				f.store.evacuate("z1", true)
				time.Sleep(12 * time.Second)
				f.add(instances)
				newcomer := f.instances[instances]
				stop := f.startThese(f.instances[instances:])
				defer stop()
				// It must know before it uses the server.
				f.await("the server is known", func() bool { return newcomer.Servers().ByRun["far"] != nil && newcomer.Revision() > 0 })
				time.Sleep(newcomerWithin)
				if !leavesAlone(newcomer, "far") {
					t.Error("a newcomer uses an evacuated zone")
				}
			})
		})
	}
}

func TestEvacuationsByWhatWasReadFurthest(t *testing.T) {
	in := candidate("a", new(claims), workersOf(0, 0))
	said := func(position uint64, zones ...string) heartbeat.Message {
		return heartbeat.Message{From: member.Info{Name: "b"}, Evacuation: &heartbeat.Evacuation{Position: oplog.Position(position), Zones: zones}}
	}
	check := func(what string, want ...string) {
		t.Helper()
		if got := zonesOf(in.evacuation.Load()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %v, not %v", what, got, want)
		}
	}
	// It has read the end of an evacuation of which it never knew.
	in.tablePosition.Store(5)
	in.takeEvacuation(said(4, "z"))
	check("an older word")
	in.takeEvacuation(said(7, "y", "z"))
	check("a newer word", "y", "z")
	in.readEvacuation(OperatorChanges{Evacuated: map[string]bool{"x": true}}, 6)
	check("a read that is behind", "y", "z")
	in.readEvacuation(OperatorChanges{Evacuated: map[string]bool{"x": true, "y": false}}, 9)
	check("changes", "x", "z")
	in.takeEvacuation(said(8, "y"))
	check("a word that is behind", "x", "z")
	in.readEvacuation(OperatorChanges{}, 10)
	check("a read without", "x", "z")
	in.readEvacuation(OperatorChanges{Whole: true, Evacuated: map[string]bool{"w": true}}, 11)
	check("a whole read", "w")
	in.readEvacuation(OperatorChanges{Whole: true}, 12)
	check("none any more")
}
