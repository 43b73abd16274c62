package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
)

// Changes of the list of backend servers go from those that read them to all.

// sendUpdates passes changes of the list on: where there are hubs to those of the own zone,
// and from a hub to those that it serves, else to all. One that got them is not sent them
// again.
func (in *Instance) sendUpdates(updates heartbeat.Updates, from string) {
	if len(updates.Changes) == 0 || len(updates.Changes) > in.config.UpdatesAtMost {
		return
	}
	now := clock.Now()
	if !in.usesHubs() {
		if from == "" {
			message := in.message(now)
			message.Updates = &updates
			in.send(message, in.peers.addresses(now)...)
		}
		return
	}
	var addresses []string
	for _, info := range in.hubsOfZones(now)[in.config.Zone] {
		if info.Name != in.config.Name && info.Name != from {
			addresses = append(addresses, info.Peer)
		}
	}
	for name, to := range in.hubs.current() {
		if name != from {
			addresses = append(addresses, to.peer)
		}
	}
	message := in.message(now)
	message.Hubs, message.Updates = true, &updates
	in.send(message, addresses...)
}

// takeUpdates takes in changes of the list that a sibling passes on, if nothing is missing
// before them, and passes them on in turn.
func (in *Instance) takeUpdates(message heartbeat.Message, now time.Time) {
	updates := message.Updates
	if updates == nil || updates.Age < 0 {
		return
	}
	have := in.registry.View().Position
	if updates.From > have || updates.To <= have {
		return
	}
	at := now.Add(-updates.Age)
	// That the store was away must be known before a removal is judged.
	in.list.hear(at, false)
	in.registry.Apply(updates.Changes, updates.To, now)
	in.rebuild()
	in.list.hear(at, updates.To == in.registry.View().Position)
	in.list.grew(uint64(have))
	in.sendUpdates(*updates, message.From.Name)
}

// updatesOf is the updates that a poll of the store has brought.
func updatesOf(from, to oplog.Position, changes []registry.Change, at time.Time) heartbeat.Updates {
	return heartbeat.Updates{From: from, To: to, Changes: changes, Age: max(clock.Since(at), 0)}
}
