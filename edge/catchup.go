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

// Have is what an instance that asks already holds, and what it wants.
type Have struct {
	Revision uint64         `cbor:"1,keyasint,omitempty"`
	Position oplog.Position `cbor:"2,keyasint,omitempty"`
	// Name and Zone are those of the instance that asks.
	Name string `cbor:"3,keyasint,omitempty"`
	Zone string `cbor:"4,keyasint,omitempty"`
	// Uses are the shares of the servers that it uses; nil if it has not been given any.
	Uses []subset.Share `cbor:"5,keyasint,omitempty"`
	// Whole is set if it has to know the whole list, and Anew if it needs the list again
	// though it has it up to Position.
	Whole bool `cbor:"6,keyasint,omitempty"`
	Anew  bool `cbor:"7,keyasint,omitempty"`
}

// same says whether as much is known as before.
func (h *Have) same(before Have) bool {
	return h.Revision == before.Revision && h.Position == before.Position
}

// Snapshot is what one instance sends another that cannot reach the store.
type Snapshot struct {
	// Table is the configuration in force, if it is newer than what the other
	// has.
	Table []byte `cbor:"1,keyasint,omitempty"`
	// Servers is the list of backend servers, if it is newer. Part is set if only those are
	// on it that the other is to use by Shares.
	Servers *registry.Snapshot `cbor:"2,keyasint,omitempty"`
	Part    bool               `cbor:"3,keyasint,omitempty"`
	Shares  []subset.Share     `cbor:"4,keyasint,omitempty"`
}

// SnapshotFor returns what this instance knows beyond what another has.
func (in *Instance) SnapshotFor(have Have) Snapshot {
	var snapshot Snapshot
	if revision := in.table.Load(); revision != nil && revision.Number > have.Revision {
		snapshot.Table = revision.Raw
	}
	list := in.registry.View()
	if !list.Part && (list.Position > have.Position || (have.Anew && list.Position == have.Position && list.Position > 0)) {
		table := snapshot.Table
		snapshot = in.partFor(have, list)
		snapshot.Table = table
	}
	return snapshot
}

// catchUp asks a sibling that knows more than the store has answered: the store
// may be away, or slow, or not answer just this instance.
func (in *Instance) catchUp(ctx context.Context) {
	before := in.have()
	failed := ""
	for in.pause(ctx, in.catchUpPause()) {
		mine := in.have()
		if in.readAnew(ctx, mine) {
			continue
		}
		sibling, ahead := in.ahead(mine, failed)
		failed = ""
		// Where a long poll waits at the store, it may be about to be answered with the same.
		if !ahead || (!mine.same(before) && in.reads.Load() && !in.usesHubs()) {
			before = mine
			continue
		}
		if !in.tryAsking(ctx, sibling, mine) {
			failed = sibling.Name
			in.askStore(ctx, sibling, mine)
		}
	}
}

// catchUpPause is the pause between two looks: one that is told of changes by its hubs as they
// come looks only for what got lost.
func (in *Instance) catchUpPause() time.Duration {
	if in.registry.View().Part && !in.needsWhole() {
		return in.config.KeepEvery
	}
	return in.config.CatchUpEvery
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
	return Have{
		Revision: in.tableFeed.progress(), Position: in.registry.View().Position,
		Name: in.config.Name, Zone: in.config.Zone, Uses: in.uses.Load().Shares(), Whole: in.needsWhole(),
	}
}

// readAnew reads the list again that this instance knows otherwise than it has to: in part
// though it is a hub by now, or by shares that do not suit any more. It says whether that was
// due.
func (in *Instance) readAnew(ctx context.Context, mine Have) bool {
	list := in.registry.View()
	hub := in.outgrown.Load()
	due := list.Part && (mine.Whole || hub != nil)
	if !due {
		return false
	}
	mine.Anew = true
	if !mine.Whole {
		mine.Uses = nil
		if sibling, known := in.members.Find(*hub); known {
			in.outgrown.Store(nil)
			in.tryAsking(ctx, sibling, mine)
		}
		return true
	}
	for _, sibling := range in.nearFirst(func(s *member.Sibling) bool { return !s.Part && oplog.Position(s.Next) >= list.Position }) {
		if in.tryAsking(ctx, *sibling, mine) && !in.registry.View().Part {
			return true
		}
	}
	in.list.readWhole("no sibling has the whole list")
	return true
}

// tryAsking asks a sibling, and says whether it answered.
func (in *Instance) tryAsking(ctx context.Context, sibling member.Sibling, mine Have) bool {
	err := in.askSibling(ctx, sibling, mine)
	if err != nil {
		klog.InfoS("Sibling not asked", "sibling", sibling.Name, "err", err.Error())
	}
	return err == nil
}

// askedAtMost is how many siblings are asked in a row.
const askedAtMost = 4

// nearFirst returns some siblings that serve and of which something holds, those of the own
// zone first.
func (in *Instance) nearFirst(holds func(*member.Sibling) bool) []*member.Sibling {
	var some []*member.Sibling
	for _, sibling := range in.members.View().Serving() {
		if holds(sibling) {
			some = append(some, sibling)
		}
	}
	slices.SortStableFunc(some, func(a, b *member.Sibling) int {
		return compareBools(a.Zone != in.config.Zone, b.Zone != in.config.Zone)
	})
	return some[:min(len(some), askedAtMost)]
}

// ahead finds the sibling that knows most beyond what this instance has, and
// should have come by now, in its zone if one does there: a table is sent to all that
// ask, and bytes between zones are dear. One that has just failed to answer is asked only
// if there is no other: it may stand still, and heartbeats do not show that yet.
func (in *Instance) ahead(mine Have, failed string) (best member.Sibling, found bool) {
	now := clock.Now()
	table := in.tableFeed.waiting(now, in.config.CatchUpEvery)
	list := in.list.waiting(now, in.config.CatchUpEvery)
	for _, sibling := range in.members.View().Serving() {
		newer := (table && sibling.Revision > mine.Revision) || (list && !sibling.Part && oplog.Position(sibling.Next) > mine.Position)
		if !newer {
			continue
		}
		if !found || best.Name == failed || (sibling.Name != failed && in.rather(sibling, &best)) {
			best, found = *sibling, true
		}
	}
	return best, found
}

// rather says whether one sibling that is ahead is to be asked rather than another.
func (in *Instance) rather(one, other *member.Sibling) bool {
	if near := one.Zone == in.config.Zone; near != (other.Zone == in.config.Zone) {
		return near
	}
	return one.Revision > other.Revision || (one.Revision == other.Revision && one.Next > other.Next)
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
		in.takeList(&snapshot, sibling.Name)
		in.list.learnt()
		in.list.grew(uint64(mine.Position))
	}
	return nil
}
