package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/wait"
)

// pause waits a jittered while, so that instances do not act in step; it
// returns false when ctx ended first.
func (in *Instance) pause(ctx context.Context, mean time.Duration) bool {
	return wait.For(ctx, time.Duration(float64(mean)*(0.75+0.5*in.deps.Random())))
}

// backoff is the pause after so many failures in a row.
func (in *Instance) backoff(failures int) time.Duration {
	return min(in.config.RetryEvery<<min(failures-1, 10), in.config.RetryAtMost)
}

// newTableFeed follows the operators' table.
func (in *Instance) newTableFeed() *feed {
	return &feed{
		Instance: in, name: "table", store: newDependency("store: table"), read: in.readTable,
		rest: func() time.Duration {
			if in.table.Load() == nil {
				return in.config.RetryEvery
			}
			return 0
		},
		progress: in.Revision,
		returned: func(time.Time) {},
	}
}

// newListFeed follows the list of backend servers.
func (in *Instance) newListFeed() *feed {
	return &feed{
		Instance: in, name: "list of servers", store: newDependency("store: list of servers"), read: in.readServers,
		rest:     in.readPause,
		progress: func() uint64 { return uint64(in.registry.View().Position) },
		returned: in.registry.StoreReturned,
	}
}

// readTable takes in the newest configuration: after the position known, or the
// one in force.
func (in *Instance) readTable(ctx context.Context, known bool, wait time.Duration) (time.Time, error) {
	asked := clock.Now()
	changes, next, err := in.askTable(ctx, known, wait)
	if err != nil {
		return time.Time{}, err
	}
	if changes.Table != nil {
		in.adoptRaw(changes.Table, "store")
	}
	in.readEvacuation(changes, next)
	// Of two polls at a time the earlier one may be answered later.
	for before := in.tablePosition.Load(); ; before = in.tablePosition.Load() {
		if uint64(next) < before {
			return time.Time{}, nil
		}
		if in.tablePosition.CompareAndSwap(before, uint64(next)) {
			return answeredAt(asked, wait), nil
		}
	}
}

func (in *Instance) askTable(ctx context.Context, known bool, wait time.Duration) (changes OperatorChanges, next oplog.Position, err error) {
	if known {
		return in.deps.Tables.Since(ctx, oplog.Position(in.tablePosition.Load()), wait)
	}
	return in.deps.Tables.Newest(ctx)
}

// adoptRaw makes a configuration the table in force, if it is newer.
func (in *Instance) adoptRaw(raw []byte, from string) {
	revision, err := in.deps.Tables.Decode(raw)
	if err != nil {
		klog.ErrorS(err, "Configuration cannot be used; the table stays", "from", from)
		return
	}
	for {
		before := in.table.Load()
		if before != nil && before.Number >= revision.Number {
			return
		}
		if in.table.CompareAndSwap(before, revision) {
			break
		}
	}
	in.rebuild()
	if in.usesHubs() || in.reads.Load() {
		in.sendHeartbeats()
	}
	klog.InfoS("Table in force", "revision", revision.Number, "from", from, "hosts", len(revision.View.Routes),
		"services", len(revision.View.Services), "bytes", len(raw))
}

// readPause is the pause between two reads of the list of servers.
func (in *Instance) readPause() time.Duration {
	stretched := in.config.ReadEvery + time.Duration(in.Instances()-1)*in.config.ReadPerSibling
	return min(stretched, in.config.ReadAtMost)
}

// readServers takes in the changes of the list since the position known, or the
// whole list.
func (in *Instance) readServers(ctx context.Context, known bool, wait time.Duration) (time.Time, error) {
	asked := clock.Now()
	if !known {
		snapshot, err := in.deps.Servers.Newest(ctx, in.readsOn)
		if err != nil {
			return time.Time{}, err
		}
		in.list.hear(asked, false)
		in.registry.Take(snapshot, nil, clock.Now())
		in.rebuild()
		in.reviewUses(clock.Now())
		return in.confirmedUpTo(asked, snapshot.Position), nil
	}
	from := in.registry.View().Position
	changes, next, err := in.deps.Servers.Since(ctx, from, wait)
	if err != nil {
		return time.Time{}, err
	}
	at := answeredAt(asked, wait)
	before := in.registry.View()
	// That the store was away must be known before a removal is judged.
	in.list.hear(at, false)
	in.registry.Apply(changes, next, clock.Now())
	in.rebuild()
	if next > before.Position {
		in.sendUpdates(updatesOf(from, next, changes, at), before, "")
	}
	return in.confirmedUpTo(at, next), nil
}

// confirmedUpTo is when the list was known to end at a position; zero if more is
// known.
func (in *Instance) confirmedUpTo(at time.Time, position oplog.Position) time.Time {
	if position < in.registry.View().Position {
		return time.Time{}
	}
	return at
}

// tick lets time pass for what is believed.
func (in *Instance) tick(ctx context.Context) {
	last, suspended := clock.Now(), clock.Suspended()
	var reviewed, shared time.Time
	for wait.For(ctx, in.config.Members.HeartbeatEvery) {
		now := clock.Now()
		if stood := now.Sub(last) - in.config.Members.HeartbeatEvery; stood > in.config.LongPause {
			klog.InfoS("This instance stood still; what it held against servers is forgotten", "pauseMillis", stood.Milliseconds(), "suspendedMillis", (clock.Suspended() - suspended).Milliseconds())
			in.Fleet.Forgive(now)
		}
		last, suspended = now, clock.Suspended()
		clock.Check()
		in.members.Tick(now)
		in.registry.Tick(now)
		in.Poison.Tick(now)
		for _, feed := range in.feeds() {
			feed.review(now)
		}
		in.rebuild()
		if now.Sub(reviewed) >= in.config.ReviewEvery {
			reviewed = now
			in.reviewUses(now)
		}
		// A sibling that died, or a server that came, changes the sums too.
		in.sumLoads()
		in.budgets.share(in.sharing(now))
		in.forgetSiblings()
		if now.Sub(shared) >= in.config.ReviewEvery || in.Fleet.Backpressure.Holds() {
			shared = now
			in.shareLimits(now)
		}
		in.forgetBackpressure(now)
	}
}
