package edge

import (
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
)

// The operators may evacuate an availability zone. Its backend servers then get no more requests
// until the operators end the evacuation. Instances that read the operators' log send its state
// to all others with their heartbeats. The state at the later log position takes precedence.

// applyEvacuation applies the evacuations in the operators' log up to the position next.
func (in *Instance) applyEvacuation(changes OperatorChanges, next oplog.Position) {
	for {
		before := in.evacuation.Load()
		if before == nil && !slices.Contains(slices.Collect(maps.Values(changes.Evacuated)), true) {
			return
		}
		after := evacuationAfter(before, changes, next)
		if in.replaceEvacuation(before, &after, "store") {
			return
		}
	}
}

// evacuationAfter returns the evacuated zones after changes are applied to the state before. The
// changes may begin before the position of that state, but not after it, because each read of
// the log is recorded in the state.
func evacuationAfter(before *heartbeat.Evacuation, changes OperatorChanges, next oplog.Position) heartbeat.Evacuation {
	evacuated := maps.Clone(changes.Evacuated)
	if evacuated == nil {
		evacuated = make(map[string]bool)
	}
	if before != nil && !changes.Full {
		for _, zone := range before.Zones {
			if _, changed := evacuated[zone]; !changed {
				evacuated[zone] = true
			}
		}
	}
	maps.DeleteFunc(evacuated, func(_ string, still bool) bool { return !still })
	return heartbeat.Evacuation{Position: next, Zones: slices.Sorted(maps.Keys(evacuated))}
}

// mergeEvacuation applies the evacuated zones that a sibling sends, unless this instance has
// itself read the log at least as far.
func (in *Instance) mergeEvacuation(message heartbeat.Message) {
	in.contradictEvacuation(message)
	for message.Evacuation != nil && uint64(message.Evacuation.Position) > in.tablePosition.Load() {
		if in.replaceEvacuation(in.evacuation.Load(), message.Evacuation, message.From.Name) {
			return
		}
	}
}

// contradictEvacuation makes this instance send that no zone is evacuated, if a sibling has an older state and this
// instance has never sent one, because it started after the end of the evacuation. The sibling may not read the log.
func (in *Instance) contradictEvacuation(message heartbeat.Message) {
	read := oplog.Position(in.tablePosition.Load())
	if message.Evacuation == nil || message.Evacuation.Position >= read {
		return
	}
	if in.evacuation.CompareAndSwap(nil, &heartbeat.Evacuation{Position: read}) {
		in.requestUrgentBeat()
	}
}

// replaceEvacuation replaces the state before by a newer one. It returns false if the state has
// changed in the meantime.
func (in *Instance) replaceEvacuation(before, after *heartbeat.Evacuation, from string) bool {
	if before != nil && after.Position <= before.Position {
		return true
	}
	if !in.evacuation.CompareAndSwap(before, after) {
		return false
	}
	if sameZones(before, after) {
		return true
	}
	klog.InfoS("Evacuated zones changed", "zones", after.Zones, "before", zonesOf(before), "position", after.Position, "from", from)
	in.rebuild()
	in.requestUrgentBeat()
	return true
}

// Evacuated returns the number of evacuated zones.
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
