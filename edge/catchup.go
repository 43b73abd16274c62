package edge

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
)

// Have is what an instance that asks already holds.
type Have struct {
	Revision uint64
	Position oplog.Position
}

// Snapshot is what one instance sends another that cannot reach the store.
type Snapshot struct {
	// Table is the configuration in force, if it is newer than what the other
	// has.
	Table []byte `cbor:"1,keyasint,omitempty"`
	// Servers is the list of backend servers, if it is newer.
	Servers *registry.Snapshot `cbor:"2,keyasint,omitempty"`
}

// SnapshotFor returns what this instance knows beyond what another has.
func (in *Instance) SnapshotFor(have Have) Snapshot {
	var snapshot Snapshot
	if revision := in.table.Load(); revision != nil && revision.Number > have.Revision {
		snapshot.Table = revision.Raw
	}
	if list := in.registry.View(); list.Position > have.Position {
		servers := list.Snapshot()
		snapshot.Servers = &servers
	}
	return snapshot
}

// catchUp asks a sibling that knows more than the store has answered: the store
// may be away, or slow, or not answer just this instance.
func (in *Instance) catchUp(ctx context.Context) {
	var before Have
	failed := ""
	for in.pause(ctx, in.config.CatchUpEvery) {
		mine := in.have()
		sibling, ahead := in.ahead(mine, failed)
		failed = ""
		// Where a long poll waits at the store, it may be about to be answered with the same.
		if !ahead || (mine != before && in.reads.Load() && !in.usesHubs()) {
			before = mine
			continue
		}
		if err := in.askSibling(ctx, sibling, mine); err != nil {
			klog.InfoS("Sibling not asked", "sibling", sibling.Name, "err", err.Error())
			failed = sibling.Name
			in.askStore(ctx, sibling, mine)
		}
	}
}

// askStore asks the store for what a sibling did not send, where no long poll waits
// there.
func (in *Instance) askStore(ctx context.Context, sibling member.Sibling, mine Have) {
	behind := map[*feed]bool{in.tableFeed: sibling.Revision > mine.Revision, in.list: oplog.Position(sibling.Next) > mine.Position}
	for _, feed := range in.feeds() {
		if behind[feed] && feed.idles() && !feed.failing(clock.Now()) && feed.beginProbe() {
			feed.probe(ctx)
		}
	}
}

func (in *Instance) have() Have {
	return Have{Revision: in.tableFeed.progress(), Position: in.registry.View().Position}
}

// ahead finds the sibling that knows most beyond what this instance has, and
// should have come by now. One that has just failed to answer is asked only
// if there is no other: it may stand still, and heartbeats do not show that yet.
func (in *Instance) ahead(mine Have, failed string) (best member.Sibling, found bool) {
	now := clock.Now()
	table := in.tableFeed.waiting(now, in.config.CatchUpEvery)
	list := in.list.waiting(now, in.config.CatchUpEvery)
	for _, sibling := range in.members.View().Serving() {
		newer := (table && sibling.Revision > mine.Revision) || (list && oplog.Position(sibling.Next) > mine.Position)
		if !newer {
			continue
		}
		further := sibling.Revision > best.Revision || (sibling.Revision == best.Revision && sibling.Next > best.Next)
		if !found || best.Name == failed || (further && sibling.Name != failed) {
			best, found = sibling, true
		}
	}
	return best, found
}

// askSibling takes in what a sibling knows beyond what this instance has.
func (in *Instance) askSibling(ctx context.Context, sibling member.Sibling, mine Have) error {
	snapshot, err := in.deps.Siblings.Snapshot(ctx, sibling.Peer, mine)
	if err != nil {
		return err
	}
	if snapshot.Table != nil {
		in.adoptRaw(snapshot.Table, sibling.Name)
		in.tableFeed.grew(mine.Revision)
	}
	if snapshot.Servers != nil {
		in.registry.Reset(*snapshot.Servers, clock.Now())
		in.rebuild()
		in.list.grew(uint64(mine.Position))
		klog.InfoS("List of servers taken from a sibling", "sibling", sibling.Name, "position", snapshot.Servers.Position, "had", mine.Position)
	}
	return nil
}
