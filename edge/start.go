package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/wait"
)

// Instances that start together would all read the same full data from the store. With a thousand
// instances and ten thousand servers that is gigabytes. So only a few read, and they send the
// data to the other instances.

// startCheckEvery is the pause between two checks whether this instance is to read from the store.
const startCheckEvery = 100 * time.Millisecond

// awaitsOthers reports whether this instance still leaves the first read to other instances.
func (f *feed) awaitsOthers() bool {
	began := clock.Since(f.started)
	switch {
	case !f.config.FirstStart || f.progress() > 0 || began >= f.config.FirstReadTimeout:
		return false
	case began < f.config.ReaderWait:
		return true
	}
	return !f.longPolls.Load()
}

// errLeftToOthers means that the remaining pages of a long list are not read, because a sibling
// has sent the list.
var errLeftToOthers = errors.New("list of servers was sent by a sibling")

// awaitReadTurn is called when the list of servers has more pages than the first. It returns nil
// if this instance is to read them. A reader that sends the list to other instances reads these
// pages once it has had time for contact with its siblings. The other instances read the pages if
// no sibling sends the list for long, only some of them at a time.
func (in *Instance) awaitReadTurn(ctx context.Context) error {
	began, known := clock.Now(), in.registry.View().Position
	chance := probesAtMost / float64(max(in.Instances(), probesAtMost))
	for wait.For(ctx, startCheckEvery) {
		waited := clock.Since(began)
		switch {
		case in.registry.View().Position > known && !in.needsFullListNow():
			return errLeftToOthers
		case waited < in.config.ReaderWait && clock.Since(in.started) < 2*in.config.ReaderWait:
		case in.longPolls.Load():
			return nil
		case waited >= in.config.FirstReadTimeout/2:
			if in.deps.Random() < chance {
				klog.InfoS("Reading the full list of backend servers because no sibling sent it", "waitedMillis", waited.Milliseconds(), "instances", in.Instances())
				return nil
			}
			chance *= 2
		}
	}
	return ctx.Err()
}

// needsFullListNow reports whether this instance needs the full list of servers and knows only a
// subset.
func (in *Instance) needsFullListNow() bool { return in.registry.View().IsSubset && in.needsFullList() }
