package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/wait"
)

// Instances that start together would all read the same of the store, each whole: with a
// thousand of them and ten thousand servers that is gigabytes. Few read, and tell the rest.

// startLook is the pause between two looks at whether this instance is to read.
const startLook = 100 * time.Millisecond

// awaitsOthers says whether this instance leaves the first read to others as yet.
func (f *feed) awaitsOthers() bool {
	began := clock.Since(f.started)
	switch {
	case !f.config.FirstStart || f.progress() > 0 || began >= f.config.FirstPatience:
		return false
	case began < f.config.ReaderPatience:
		return true
	}
	return !f.reads.Load()
}

// errLeftToOthers means that a long list is not read on, for a sibling has told it.
var errLeftToOthers = errors.New("a sibling has told the list")

// readsOn is asked when the list of servers has more pages than the first. It returns nil if
// this instance is to read them: one that tells others does, once it has heard of its
// siblings; the others do if nobody tells them for long, some of them at a time.
func (in *Instance) readsOn(ctx context.Context) error {
	began, known := clock.Now(), in.registry.View().Position
	chance := probesAtMost / float64(max(in.Instances(), probesAtMost))
	for wait.For(ctx, startLook) {
		waited := clock.Since(began)
		switch {
		case in.registry.View().Position > known && !in.needsWholeNow():
			return errLeftToOthers
		case waited < in.config.ReaderPatience && clock.Since(in.started) < 2*in.config.ReaderPatience:
		case in.reads.Load():
			return nil
		case waited >= in.config.FirstPatience/2:
			if in.deps.Random() < chance {
				klog.InfoS("The whole list is read, since nobody tells it", "waitedMillis", waited.Milliseconds(), "instances", in.Instances())
				return nil
			}
			chance *= 2
		}
	}
	return ctx.Err()
}

// needsWholeNow says whether this instance has to know the whole list and knows a part.
func (in *Instance) needsWholeNow() bool { return in.registry.View().Part && in.needsWhole() }
