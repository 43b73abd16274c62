package edge

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
)

// The operators may evacuate an availability zone: its backend servers get nothing more until
// that is taken back. Whoever reads the operators' log tells all others with its heartbeats;
// what was read further on counts.

// readEvacuation takes in what the operators' log says up to a position.
func (in *Instance) readEvacuation(changes OperatorChanges, next oplog.Position) {
	for {
		before := in.evacuation.Load()
		if before == nil && !slices.Contains(slices.Collect(maps.Values(changes.Evacuated)), true) {
			return
		}
		after := after(before, changes, next)
		if in.adoptEvacuation(before, &after, "store") {
			return
		}
	}
}

// after is which zones are evacuated once changes are applied to what was known before. The
// changes may begin before that, but not after it: each read of the log is noted here.
func after(before *heartbeat.Evacuation, changes OperatorChanges, next oplog.Position) heartbeat.Evacuation {
	evacuated := maps.Clone(changes.Evacuated)
	if evacuated == nil {
		evacuated = make(map[string]bool)
	}
	if before != nil && !changes.Whole {
		for _, zone := range before.Zones {
			if _, said := evacuated[zone]; !said {
				evacuated[zone] = true
			}
		}
	}
	maps.DeleteFunc(evacuated, func(_ string, still bool) bool { return !still })
	return heartbeat.Evacuation{Position: next, Zones: slices.Sorted(maps.Keys(evacuated))}
}

// takeEvacuation takes in what a sibling knows, unless this instance has read on from there
// itself.
func (in *Instance) takeEvacuation(message heartbeat.Message) {
	for message.Evacuation != nil && uint64(message.Evacuation.Position) > in.tablePosition.Load() {
		if in.adoptEvacuation(in.evacuation.Load(), message.Evacuation, message.From.Name) {
			return
		}
	}
}

// adoptEvacuation puts one belief in the place of an older one; false if that has changed
// meanwhile.
func (in *Instance) adoptEvacuation(before, after *heartbeat.Evacuation, from string) bool {
	if before != nil && after.Position <= before.Position {
		return true
	}
	if !in.evacuation.CompareAndSwap(before, after) {
		return false
	}
	if sameZones(before, after) {
		return true
	}
	klog.InfoS("Zones evacuated", "zones", after.Zones, "before", zonesOf(before), "position", after.Position, "from", from)
	in.rebuild()
	in.hurryAll()
	return true
}

// Evacuated counts the zones that are evacuated.
func (in *Instance) Evacuated() int { return len(zonesOf(in.evacuation.Load())) }

func zonesOf(evacuation *heartbeat.Evacuation) []string {
	if evacuation == nil {
		return nil
	}
	return evacuation.Zones
}

func sameZones(a, b *heartbeat.Evacuation) bool { return slices.Equal(zonesOf(a), zonesOf(b)) }

func evacuates(evacuation *heartbeat.Evacuation, zone string) bool {
	return slices.Contains(zonesOf(evacuation), zone)
}
