package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
)

// Changes of the list of backend servers go from those that read them to all.

// sendUpdates passes changes of the list on: where there are hubs to those of the own zone,
// and from a hub to those that it serves, else to all. One that got them is not sent them
// again. before is the list as it was.
func (in *Instance) sendUpdates(updates heartbeat.Updates, before *registry.View, from string) {
	if len(updates.Changes) == 0 {
		return
	}
	now := clock.Now()
	all := split(updates, everyChange(updates.Changes), in.config.UpdatesAtMost)
	message := in.message(now)
	if !in.usesHubs() {
		if from == "" {
			in.sendPieces(message, all, in.peers.addresses(now)...)
		}
		return
	}
	message.Hubs = true
	old := entriesBefore(updates.Changes, before)
	for _, info := range in.hubsOfZones(now)[in.config.Zone] {
		if info.Name != in.config.Name && info.Name != from {
			in.sendPieces(message, all, info.Peer)
		}
	}
	for name, to := range in.hubs.current() {
		switch {
		case name == from:
		case to.part:
			in.sendPieces(message, partOf(updates, old, to.uses, in.config.UpdatesAtMost), to.peer)
		case to.zone == in.config.Zone || len(all) == 1:
			// Hubs of other zones read the store themselves.
			in.sendPieces(message, all, to.peer)
		}
	}
}

// sendPieces sends a message with each piece of updates.
func (in *Instance) sendPieces(message heartbeat.Message, pieces []heartbeat.Updates, addresses ...string) {
	for i := range pieces {
		message.Updates = &pieces[i]
		in.send(message, addresses...)
	}
}

// everyChange is the places of all changes.
func everyChange(changes []registry.Change) []int {
	places := make([]int, len(changes))
	for i := range places {
		places[i] = i
	}
	return places
}

// entriesBefore finds the entries that changes are of on the list as it was, nil where there was
// none: once for all to whom a part of the changes is sent.
func entriesBefore(changes []registry.Change, before *registry.View) []*registry.Entry {
	entries := make([]*registry.Entry, len(changes))
	for i, change := range changes {
		if server := before.Find(change.ID); server != nil {
			entries[i] = &server.Entry
		}
	}
	return entries
}

// partOf is what of updates concerns a subset: of servers that are in it, or were, by their
// entries before, or of which it is not known. With nothing of it they only lead on to the next
// position.
func partOf(updates heartbeat.Updates, before []*registry.Entry, uses *subset.Subset, atMost int) []heartbeat.Updates {
	var places []int
	for i, change := range updates.Changes {
		old := before[i]
		if (old == nil && change.Entry == nil) || (old != nil && holdsEntry(uses, old)) || (change.Entry != nil && holdsEntry(uses, change.Entry)) {
			places = append(places, i)
		}
	}
	part := updates
	part.Of = uses.Fingerprint()
	return split(part, places, atMost)
}

// split cuts some changes into pieces that fit into a datagram each; one after the other leads
// to where all do. That needs a change for each position, and without there is one piece, or
// none if it were too large: whoever lacks them asks for the list.
func split(updates heartbeat.Updates, places []int, atMost int) []heartbeat.Updates {
	dense := oplog.Position(len(updates.Changes)) == updates.To-updates.From
	if len(places) > atMost && !dense {
		return nil
	}
	var pieces []heartbeat.Updates
	from := updates.From
	for start := 0; ; start += atMost {
		end := min(start+atMost, len(places))
		piece := updates
		piece.From, piece.Changes = from, make([]registry.Change, 0, end-start)
		for _, place := range places[start:end] {
			piece.Changes = append(piece.Changes, updates.Changes[place])
		}
		if end == len(places) {
			return append(pieces, piece)
		}
		piece.To = updates.From + oplog.Position(places[end])
		from = piece.To
		pieces = append(pieces, piece)
	}
}

// takeUpdates takes in changes of the list that a sibling passes on, if nothing is missing
// before them and among them, and passes them on in turn.
func (in *Instance) takeUpdates(message heartbeat.Message, now time.Time) {
	updates := message.Updates
	if updates == nil || updates.Age < 0 {
		return
	}
	before := in.registry.View()
	have := before.Position
	if updates.From > have || updates.To <= have {
		return
	}
	if updates.Of != 0 && (!before.Part || updates.Of != in.uses.Load().Fingerprint()) {
		return
	}
	at := now.Add(-updates.Age)
	// That the store was away must be known before a removal is judged.
	in.list.hear(at, false)
	in.registry.Apply(updates.Changes, updates.To, now)
	in.rebuild()
	in.list.hear(at, updates.To == in.registry.View().Position)
	in.list.grew(uint64(have))
	if updates.Of == 0 {
		in.sendUpdates(*updates, before, message.From.Name)
	}
}

// updatesOf is the updates that a poll of the store has brought.
func updatesOf(from, to oplog.Position, changes []registry.Change, at time.Time) heartbeat.Updates {
	return heartbeat.Updates{From: from, To: to, Changes: changes, Age: max(clock.Since(at), 0)}
}
