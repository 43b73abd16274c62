package edge

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
)

// Have is a request for a Snapshot: what the requesting instance already has and what it needs.
type Have struct {
	Revision uint64         `cbor:"1,keyasint,omitempty"`
	Position oplog.Position `cbor:"2,keyasint,omitempty"`
	// Name and Zone identify the requesting instance.
	Name string `cbor:"3,keyasint,omitempty"`
	Zone string `cbor:"4,keyasint,omitempty"`
	// Shares is the subset of the servers that it uses. It is nil if none has been assigned.
	Shares []subset.Share `cbor:"5,keyasint,omitempty"`
	// NeedsFullList is set if it needs the full list of servers, and Reread if it needs that list
	// again though it has it up to Position.
	NeedsFullList bool `cbor:"6,keyasint,omitempty"`
	Reread        bool `cbor:"7,keyasint,omitempty"`
}

// sameProgress reports whether both requests hold the same table and list positions.
func (h *Have) sameProgress(before Have) bool {
	return h.Revision == before.Revision && h.Position == before.Position
}

// Snapshot is the data that an instance sends to a sibling that cannot reach the store.
type Snapshot struct {
	// Table is the configuration in force, if it is newer than the sibling's.
	Table []byte `cbor:"1,keyasint,omitempty"`
	// Servers is the list of backend servers, if it is newer. IsSubset is set if it contains only
	// the subset of servers that the sibling uses according to Shares.
	Servers  *registry.Snapshot `cbor:"2,keyasint,omitempty"`
	IsSubset bool               `cbor:"3,keyasint,omitempty"`
	Shares   []subset.Share     `cbor:"4,keyasint,omitempty"`
}

// SnapshotFor returns the data that this instance has and the requesting one lacks.
func (in *Instance) SnapshotFor(have Have) Snapshot {
	var snapshot Snapshot
	if revision := in.table.Load(); revision != nil && revision.Number > have.Revision {
		snapshot.Table = revision.Raw
	}
	list := in.registry.View()
	if !list.IsSubset && (list.Position > have.Position || (have.Reread && list.Position == have.Position && list.Position > 0)) {
		table := snapshot.Table
		snapshot = in.subsetSnapshot(have, list)
		snapshot.Table = table
	}
	return snapshot
}

// catchUp requests snapshots from siblings that have newer data than this instance received from
// the store. The store may be unavailable or slow, or fail to answer only this instance.
func (in *Instance) catchUp(ctx context.Context) {
	before := in.snapshotRequest()
	failed := ""
	for in.pause(ctx, in.catchUpPause()) {
		mine := in.snapshotRequest()
		if in.rereadList(ctx, mine) {
			continue
		}
		sibling, ahead := in.siblingAhead(mine, failed)
		failed = ""
		// A long poll that waits at the store may be about to return the same data.
		if !ahead || (!mine.sameProgress(before) && in.longPolls.Load() && !in.usesHubs()) {
			before = mine
			continue
		}
		if !in.trySnapshot(ctx, sibling, mine) {
			failed = sibling.Name
			in.probeStore(ctx, sibling, mine)
		}
	}
}

// catchUpPause returns the pause between two checks. An instance whose hubs send it changes as
// they occur checks only for lost ones.
func (in *Instance) catchUpPause() time.Duration {
	if in.registry.View().IsSubset && !in.needsFullList() {
		return in.config.KeepAliveEvery
	}
	return in.config.CatchUpEvery
}

// probeStore polls the store for the data that a sibling failed to send, for the feeds without a
// long poll.
func (in *Instance) probeStore(ctx context.Context, sibling member.Sibling, mine Have) {
	behind := map[*feed]bool{in.tableFeed: sibling.Revision > mine.Revision, in.list: oplog.Position(sibling.Next) > mine.Position}
	for _, feed := range in.feeds() {
		if behind[feed] && feed.idles() && !feed.failing(clock.Now()) && feed.beginProbe() {
			feed.probe(ctx)
		}
	}
}

func (in *Instance) snapshotRequest() Have {
	return Have{
		Revision: in.tableFeed.progress(), Position: in.registry.View().Position,
		Name: in.config.Name, Zone: in.config.Zone, Shares: in.uses.Load().Shares(), NeedsFullList: in.needsFullList(),
	}
}

// rereadList reads the list of servers again if this instance has the wrong part of it: only a
// subset though it needs the full list as a hub, or a subset that no longer suits. It reports
// whether that was due.
func (in *Instance) rereadList(ctx context.Context, mine Have) bool {
	list := in.registry.View()
	hub := in.outgrown.Load()
	due := list.IsSubset && (mine.NeedsFullList || hub != nil)
	if !due {
		return false
	}
	mine.Reread = true
	if !mine.NeedsFullList {
		mine.Shares = nil
		if sibling, known := in.members.Find(*hub); known {
			in.outgrown.Store(nil)
			in.trySnapshot(ctx, sibling, mine)
		}
		return true
	}
	for _, sibling := range in.ownZoneFirst(func(s *member.Sibling) bool { return !s.UsesSubset && oplog.Position(s.Next) >= list.Position }) {
		if in.trySnapshot(ctx, *sibling, mine) && !in.registry.View().IsSubset {
			return true
		}
	}
	in.list.requestFullRead("no sibling has the full list")
	return true
}

// trySnapshot requests a snapshot from a sibling and reports whether it answered.
func (in *Instance) trySnapshot(ctx context.Context, sibling member.Sibling, mine Have) bool {
	err := in.fetchSnapshot(ctx, sibling, mine)
	if err != nil {
		klog.InfoS("Failed to fetch snapshot from sibling", "sibling", sibling.Name, "err", err.Error())
	}
	return err == nil
}

// maxSiblingsTried bounds how many siblings are tried one after another.
const maxSiblingsTried = 4

// ownZoneFirst returns up to maxSiblingsTried serving siblings that satisfy holds, those of this
// instance's zone first.
func (in *Instance) ownZoneFirst(holds func(*member.Sibling) bool) []*member.Sibling {
	var some []*member.Sibling
	for _, sibling := range in.members.View().Serving() {
		if holds(sibling) {
			some = append(some, sibling)
		}
	}
	slices.SortStableFunc(some, func(a, b *member.Sibling) int {
		return compareBools(a.Zone != in.config.Zone, b.Zone != in.config.Zone)
	})
	return some[:min(len(some), maxSiblingsTried)]
}

// siblingAhead finds the sibling with the newest data that this instance should have received
// from the store by now. Siblings of its own zone come first, because traffic between zones is
// expensive and the table is sent to every instance that requests it. A sibling that has just
// failed to answer is selected only if there is no other. It may be suspended, which its
// heartbeats do not show yet.
func (in *Instance) siblingAhead(mine Have, failed string) (best member.Sibling, found bool) {
	now := clock.Now()
	table := in.tableFeed.overdue(now, in.config.CatchUpEvery)
	list := in.list.overdue(now, in.config.CatchUpEvery)
	for _, sibling := range in.members.View().Serving() {
		newer := (table && sibling.Revision > mine.Revision && sibling.Revision != in.unusableRevision.Load()) || (list && !sibling.UsesSubset && oplog.Position(sibling.Next) > mine.Position)
		if !newer {
			continue
		}
		if !found || best.Name == failed || (sibling.Name != failed && in.preferred(sibling, &best)) {
			best, found = *sibling, true
		}
	}
	return best, found
}

// preferred reports whether one sibling that is ahead is a better choice than another.
func (in *Instance) preferred(one, other *member.Sibling) bool {
	if near := one.Zone == in.config.Zone; near != (other.Zone == in.config.Zone) {
		return near
	}
	return one.Revision > other.Revision || (one.Revision == other.Revision && one.Next > other.Next)
}

// fetchSnapshot requests a snapshot from a sibling and applies it.
func (in *Instance) fetchSnapshot(ctx context.Context, sibling member.Sibling, mine Have) error {
	snapshot, err := in.deps.Siblings.Snapshot(ctx, sibling.Peer, mine)
	if err != nil {
		return err
	}
	if snapshot.Table != nil {
		if !in.adoptTable(snapshot.Table, sibling.Name) {
			in.unusableRevision.Store(sibling.Revision)
		}
		in.tableFeed.noteProgress(mine.Revision)
	}
	if snapshot.Servers != nil {
		in.applyList(&snapshot, sibling.Name)
		in.list.markKnown()
		in.list.noteProgress(uint64(mine.Position))
	}
	return nil
}
