package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
)

// Instances that read changes of the list of backend servers from the store send them to all
// other instances.

// sendUpdates forwards changes of the list of servers. Where there are hubs, it sends them to the
// hubs of the own zone, and a hub sends them to its subscribers. Otherwise it sends them to all
// siblings. The sibling from which the changes came does not receive them again. answer is the store's
// answer with the changes, and before the list before the changes.
func (in *Instance) sendUpdates(updates heartbeat.Updates, answer storeAnswer, before *registry.View, from string) {
	if len(updates.Changes) == 0 {
		return
	}
	now := clock.Now()
	message := in.message(now)
	sentAt := in.started.Add(message.From.Uptime)
	updates.Age, updates.RequestAge = max(sentAt.Sub(answer.at), 0), 0
	if !answer.requested.IsZero() {
		updates.RequestAge = max(sentAt.Sub(answer.requested), 1)
	}
	all := split(updates, allIndexes(updates.Changes), in.config.UpdatesAtMost)
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
			in.sendPieces(message, updatesForSubset(updates, old, to.uses, in.config.UpdatesAtMost), to.peer)
		case to.zone == in.config.Zone || len(all) == 1:
			// Hubs of other zones read the store themselves.
			in.sendPieces(message, all, to.peer)
		}
	}
}

// sendPieces sends one message for each of the pieces into which split has cut the updates.
func (in *Instance) sendPieces(message heartbeat.Message, pieces []heartbeat.Updates, addresses ...string) {
	for i := range pieces {
		message.Updates = &pieces[i]
		in.send(message, addresses...)
	}
}

// allIndexes returns the indexes of all changes.
func allIndexes(changes []registry.Change) []int {
	indexes := make([]int, len(changes))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// entriesBefore finds the previous entry of each changed server, or nil where there was none. It
// is called once for all subscribers that receive a subset of the changes.
func entriesBefore(changes []registry.Change, before *registry.View) []*registry.Entry {
	entries := make([]*registry.Entry, len(changes))
	for i, change := range changes {
		if server := before.Find(change.ID); server != nil {
			entries[i] = &server.Entry
		}
	}
	return entries
}

// updatesForSubset returns the updates that concern a subset. These are changes of servers that
// are in the subset, or were in it by their previous entries, or for which this is not known. If
// no change concerns the subset, the updates only advance the position.
func updatesForSubset(updates heartbeat.Updates, before []*registry.Entry, uses *subset.Subset, atMost int) []heartbeat.Updates {
	var indexes []int
	for i, change := range updates.Changes {
		old := before[i]
		if (old == nil && change.Entry == nil) || (old != nil && holdsEntry(uses, old)) || (change.Entry != nil && holdsEntry(uses, change.Entry)) {
			indexes = append(indexes, i)
		}
	}
	part := updates
	part.SubsetFingerprint = uses.Fingerprint()
	return split(part, indexes, atMost)
}

// split cuts the selected changes into pieces that each fit into a datagram. Applied in order,
// the pieces lead to the position of all updates. Splitting needs one change for each position.
// Without that there is a single piece, or none if it would be too large. An instance that misses
// those changes then requests the list of servers.
func split(updates heartbeat.Updates, indexes []int, atMost int) []heartbeat.Updates {
	dense := oplog.Position(len(updates.Changes)) == updates.To-updates.From
	if len(indexes) > atMost && !dense {
		return nil
	}
	var pieces []heartbeat.Updates
	from := updates.From
	for start := 0; ; start += atMost {
		end := min(start+atMost, len(indexes))
		piece := updates
		piece.From, piece.Changes = from, make([]registry.Change, 0, end-start)
		for _, place := range indexes[start:end] {
			piece.Changes = append(piece.Changes, updates.Changes[place])
		}
		if end == len(indexes) {
			return append(pieces, piece)
		}
		piece.To = updates.From + oplog.Position(indexes[end])
		from = piece.To
		pieces = append(pieces, piece)
	}
}

// applyUpdates applies changes of the list of servers that a sibling forwards, if no change is
// missing before or among them. It then forwards them in turn.
func (in *Instance) applyUpdates(message heartbeat.Message, sentAt, now time.Time) {
	updates := message.Updates
	if updates == nil || updates.Age < 0 {
		return
	}
	before := in.registry.View()
	have := before.Position
	if updates.From > have || updates.To <= have {
		return
	}
	if updates.SubsetFingerprint != 0 && (!before.IsSubset || updates.SubsetFingerprint != in.uses.Load().Fingerprint()) {
		return
	}
	if updates.RequestAge <= 0 {
		sentAt = time.Time{}
	}
	answer := answerAt(updates.Age, updates.RequestAge, sentAt, now)
	// The registry must know that the store was unavailable before it judges the removal of a
	// server.
	in.list.noteAnswer(answer, false)
	in.Origins.noteChanges(updates.Changes, now)
	in.registry.Apply(updates.Changes, updates.To, now)
	in.rebuild()
	in.list.noteAnswer(answer, updates.To == in.registry.View().Position)
	in.list.noteProgress(uint64(have))
	if updates.SubsetFingerprint == 0 {
		in.sendUpdates(*updates, answer, before, message.From.Name)
	}
}
