package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/wait"
)

// pause waits for a jittered duration, so that instances do not act in step. It returns false if
// ctx ended first.
func (in *Instance) pause(ctx context.Context, mean time.Duration) bool {
	return wait.For(ctx, time.Duration(float64(mean)*(0.75+0.5*in.deps.Random())))
}

// backoff returns the pause after the given number of failures in a row.
func (in *Instance) backoff(failures int) time.Duration {
	return min(in.config.RetryEvery<<min(failures-1, 10), in.config.RetryAtMost)
}

// newTableFeed returns the feed that follows the operators' table.
func (in *Instance) newTableFeed() *feed {
	return &feed{
		Instance: in, name: "table", store: newDependency("store: table"), read: in.readTable,
		pollPause: func() time.Duration {
			if in.table.Load() == nil {
				return in.config.RetryEvery
			}
			return 0
		},
		progress:   in.Revision,
		onRecovery: func(time.Time) {},
	}
}

// newListFeed returns the feed that follows the list of backend servers.
func (in *Instance) newListFeed() *feed {
	return &feed{
		Instance: in, name: "list of servers", store: newDependency("store: list of servers"), read: in.readServers,
		pollPause:  in.readPause,
		progress:   func() uint64 { return uint64(in.registry.View().Position) },
		onRecovery: in.registry.StoreReturned,
	}
}

// readTable applies the changes of the operators' configuration after the known position, or the
// full configuration in force if known is false.
func (in *Instance) readTable(ctx context.Context, known bool, wait time.Duration) (time.Time, error) {
	sentAt := clock.Now()
	changes, next, err := in.fetchTable(ctx, known, wait)
	if err != nil {
		return time.Time{}, err
	}
	if changes.Table != nil {
		in.adoptTable(changes.Table, "store")
	}
	in.applyEvacuation(changes, next)
	// With two polls under way, the earlier one may be answered later.
	for before := in.tablePosition.Load(); ; before = in.tablePosition.Load() {
		if uint64(next) < before {
			return time.Time{}, nil
		}
		if in.tablePosition.CompareAndSwap(before, uint64(next)) {
			return answeredAt(sentAt, wait), nil
		}
	}
}

func (in *Instance) fetchTable(ctx context.Context, known bool, wait time.Duration) (changes OperatorChanges, next oplog.Position, err error) {
	if known {
		return in.deps.Tables.Since(ctx, oplog.Position(in.tablePosition.Load()), wait)
	}
	return in.deps.Tables.Newest(ctx)
}

// adoptTable makes a configuration the table in force if it is newer. It reports whether the configuration can be used.
func (in *Instance) adoptTable(raw []byte, from string) (usable bool) {
	revision, err := in.deps.Tables.Decode(raw)
	if err != nil {
		klog.ErrorS(err, "Failed to decode configuration; keeping the table in force", "from", from)
		return false
	}
	revision.Since = clock.Now()
	for {
		before := in.table.Load()
		if before != nil && before.Number >= revision.Number {
			return true
		}
		if in.table.CompareAndSwap(before, revision) {
			break
		}
	}
	in.rebuild()
	if in.usesHubs() || in.longPolls.Load() {
		in.sendHeartbeats()
	}
	revision.log(from)
	return true
}

// readPause returns the pause between two reads of the list of servers.
func (in *Instance) readPause() time.Duration {
	stretched := in.config.ReadEvery + time.Duration(in.Instances()-1)*in.config.ReadPerSibling
	return min(stretched, in.config.ReadAtMost)
}

// readServers applies the changes of the list of servers after the known position, or the full
// list if known is false.
func (in *Instance) readServers(ctx context.Context, known bool, wait time.Duration) (time.Time, error) {
	sentAt := clock.Now()
	if !known {
		snapshot, err := in.deps.Servers.Newest(ctx, in.awaitReadTurn)
		if err != nil {
			return time.Time{}, err
		}
		in.list.noteAnswer(storeAnswer{sentAt, sentAt}, false)
		in.Origins.noteReplaced(in.list.confirmed(), clock.Now())
		in.registry.ResetWithFilter(snapshot, nil, clock.Now())
		in.rebuild()
		in.reviewSubset(clock.Now())
		return in.confirmedUpTo(sentAt, snapshot.Position), nil
	}
	from := in.registry.View().Position
	changes, next, err := in.deps.Servers.Since(ctx, from, wait)
	if err != nil {
		return time.Time{}, err
	}
	at := answeredAt(sentAt, wait)
	before := in.registry.View()
	// The registry must know that the store was unavailable before it judges a removal.
	answer := storeAnswer{at, sentAt}
	in.list.noteAnswer(answer, false)
	in.Origins.noteChanges(changes, clock.Now())
	in.registry.Apply(changes, next, clock.Now())
	in.rebuild()
	if next > before.Position {
		in.sendUpdates(heartbeat.Updates{From: from, To: next, Changes: changes}, answer, before, "")
	}
	return in.confirmedUpTo(at, next), nil
}

// confirmedUpTo returns at if this instance's list ends at the position. It returns zero if the
// list is already newer.
func (in *Instance) confirmedUpTo(at time.Time, position oplog.Position) time.Time {
	if position < in.registry.View().Position {
		return time.Time{}
	}
	return at
}

// tick runs the periodic work: it expires old state, updates the sums and shares, and detects
// suspensions of this instance.
func (in *Instance) tick(ctx context.Context) {
	last, suspended := clock.Now(), clock.Suspended()
	var reviewed, shared time.Time
	for wait.For(ctx, in.config.Members.HeartbeatEvery) {
		now := clock.Now()
		if late := now.Sub(last) - in.config.Members.HeartbeatEvery; late > in.config.SuspendedAfter {
			klog.InfoS("Cleared failures of servers after this instance was suspended", "pauseMillis", late.Milliseconds(), "suspendedMillis", (clock.Suspended() - suspended).Milliseconds())
			in.Fleet.ResetFailures(now)
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
		in.Origins.wake()
		if now.Sub(reviewed) >= in.config.ReviewEvery {
			reviewed = now
			in.reviewSubset(now)
		}
		// A dead sibling or a new server changes the sums too.
		in.sumLoads()
		in.budgets.setInstances(in.budgetInstances(now))
		in.forgetSiblings()
		in.transit.Forget(now)
		if now.Sub(shared) >= in.config.ReviewEvery || in.Fleet.Backpressure.AnyRestricted() {
			shared = now
			in.updateLimitSharing(now)
		}
		in.pruneBackpressure(now)
	}
}
