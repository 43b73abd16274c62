package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

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

// followTable keeps the table in force up to date.
func (in *Instance) followTable(ctx context.Context) {
	position, known, failures := uint64(0), false, 0
	for ctx.Err() == nil {
		asked := time.Now()
		raw, next, err := in.readTable(ctx, position, known)
		if raw != nil {
			in.adoptRaw(raw, "store")
		}
		switch {
		case err == nil:
			if known {
				failures = 0
			}
			position, known = next, true
			in.tableStore.ok(time.Now())
			if raw == nil && in.table.Load() == nil {
				in.pause(ctx, in.config.RetryEvery)
			}
		case errors.Is(err, oplog.ErrTruncated):
			// What was dropped may be dropped again while it is read anew.
			failures++
			known = false
			in.pause(ctx, in.backoff(failures))
		case ctx.Err() == nil:
			failures++
			in.tableStore.failed(time.Now(), asked, err)
			in.pause(ctx, in.backoff(failures))
		}
	}
}

// readTable reads what is new after a position, or the whole without one.
func (in *Instance) readTable(ctx context.Context, position uint64, known bool) ([]byte, uint64, error) {
	if known {
		return in.deps.Tables.Since(ctx, position, in.config.StoreWait)
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
	klog.InfoS("Table in force", "revision", revision.Number, "from", from, "hosts", len(revision.View.Routes),
		"services", len(revision.View.Services), "bytes", len(raw))
}

// followServers keeps the list of backend servers up to date.
func (in *Instance) followServers(ctx context.Context) {
	known, failures := false, 0
	for ctx.Err() == nil {
		asked := time.Now()
		err := in.readServers(ctx, known, in.listWait(failures))
		now := time.Now()
		switch {
		case err == nil:
			if known {
				failures = 0
			}
			known = true
			in.listStore.ok(now)
			in.rebuild()
			in.pause(ctx, in.readPause())
		case errors.Is(err, oplog.ErrTruncated):
			failures++
			known = false
			in.pause(ctx, in.backoff(failures))
		case ctx.Err() == nil:
			in.listStore.failed(now, asked, err)
			failures++
			in.registry.StoreAway()
			in.pause(ctx, in.backoff(failures))
		}
	}
}

// readPause is the pause between two reads of the list of servers.
func (in *Instance) readPause() time.Duration {
	stretched := in.config.ReadEvery + time.Duration(in.Instances()-1)*in.config.ReadPerSibling
	return min(stretched, in.config.ReadAtMost)
}

// listWait is how long a question for changes of the list may wait. The first
// after a failure is answered at once, so that it is known when the store was
// back, not when the next change came.
func (in *Instance) listWait(failures int) time.Duration {
	if failures > 0 {
		return 0
	}
	return in.config.StoreWait
}

func (in *Instance) readServers(ctx context.Context, known bool, wait time.Duration) error {
	if !known {
		snapshot, err := in.deps.Servers.Newest(ctx)
		if err != nil {
			return err
		}
		in.registry.StoreAnswered(time.Now())
		in.registry.Reset(snapshot, time.Now())
		return nil
	}
	changes, next, err := in.deps.Servers.Since(ctx, in.registry.View().Position, wait)
	if err != nil {
		return err
	}
	in.registry.StoreAnswered(time.Now())
	in.registry.Apply(changes, next, time.Now())
	return nil
}

// tick lets time pass for what is believed.
func (in *Instance) tick(ctx context.Context) {
	last := time.Now()
	for wait.For(ctx, in.config.Members.HeartbeatEvery) {
		now := time.Now()
		if stood := now.Sub(last) - in.config.Members.HeartbeatEvery; stood > in.config.LongPause {
			klog.InfoS("This instance stood still; what it held against servers is forgotten", "pauseMillis", stood.Milliseconds())
			in.Fleet.Forgive(now)
		}
		last = now
		in.members.Tick(now)
		in.registry.Tick(now)
		in.rebuild()
		// A sibling that died, or a server that came, changes the sums too.
		in.loadsHeard.Store(true)
		in.budgets.share(len(in.members.View().Siblings) + 1)
	}
}
