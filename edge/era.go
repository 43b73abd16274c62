package edge

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/oplog"
)

// era returns the latest era of the store (it increases each time the store is restored from an
// older copy) that this instance knows from its own polls or from its siblings.
func (in *Instance) era() uint64 {
	return max(in.registry.View().Position.Era(), oplog.Position(in.tablePosition.Load()).Era())
}

// followEra puts this instance on the list of instances again after the store was restored from
// an older copy, which may lack it. The instances do so with one call each, spread over
// Config.AnnounceWithin.
func (in *Instance) followEra(ctx context.Context) {
	known := in.era()
	for in.pause(ctx, in.config.IdleCheckEvery) {
		era := in.era()
		if era <= known {
			continue
		}
		// While no era is known (known is 0), the first one is logged too.
		klog.InfoS("New store era; adding this instance to the list of instances again", "era", era, "before", known,
			"revision", in.Revision(), "position", in.registry.View().Position)
		began := clock.Now()
		in.pause(ctx, in.config.AnnounceWithin/2)
		failures := 0
		for !in.announce(ctx) && in.pause(ctx, in.backoff(failures+1)) {
			failures++
		}
		klog.InfoS("This instance was added to the list of instances again", "era", era, "tookMillis", clock.Since(began).Milliseconds(), "failures", failures)
		// known is 0 until the store's first answer, so the era of that answer passes the check
		// above like a later one.
		known = era
	}
}
