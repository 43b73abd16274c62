package edge

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/wait"
)

// keepFresh has the store asked beside the long polls that wait there, when nobody has
// had an answer for a while.
func (in *Instance) keepFresh(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for wait.For(ctx, in.probePause()) {
		now := clock.Now()
		for _, feed := range in.feeds() {
			if feed.probeDue(now) && feed.beginProbe() {
				asking.Go(func() { feed.probe(ctx) })
			}
		}
	}
}

// probePause is the pause until the next look: answers that are fresh need none until they may
// no longer be. Instances do not look in step.
func (in *Instance) probePause() time.Duration {
	due := in.config.FreshFor
	for _, feed := range in.feeds() {
		last := feed.latest()
		if last.IsZero() {
			due = 0
			continue
		}
		due = min(due, in.config.FreshFor-clock.Since(last))
	}
	spread := in.deps.Random()
	if due <= 0 {
		return time.Duration((0.75 + 0.5*spread) * float64(in.config.ProbeEvery))
	}
	return due + time.Duration(spread*float64(in.config.ProbeEvery))
}

// beginProbe notes that the store is polled beside; false if it is already.
func (f *feed) beginProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probing {
		return false
	}
	f.probing = true
	return true
}

func (f *feed) endProbe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probing = false
}

// probeDue draws whether this instance is the one to ask. Of n instances each
// asks with a probability of 1/n at its first look, and twice as much at each
// further one, so that about one asks whoever lives, and one that is cut off from
// all others still does so itself: 0.9 s later with 62 of them. While many hear each
// other and none is answered, some probesAtMost ask at each look.
func (f *feed) probeDue(now time.Time) bool {
	last := f.latest()
	over := now.Sub(last) - f.config.FreshFor
	if last.IsZero() || over < 0 || f.failing(now) {
		return false
	}
	doubled := float64(uint64(1) << min(over/f.config.ProbeEvery, maxDoublings))
	if f.usesHubs() && f.hubs.connected(now) {
		doubled = min(doubled, probesAtMost)
	}
	return f.deps.Random() < doubled/float64(max(f.Serving()+1, f.hubs.count(now)))
}

const (
	// maxDoublings keeps the doubling within a float's range; by then any number of
	// instances asks for certain.
	maxDoublings = 30
	// probesAtMost is how many of many instances ask at each look while none is
	// answered. More find the one that the store serves sooner, where it serves few;
	// each call is priced, and without a bound 295 would make 590 calls a second.
	probesAtMost = 4
)

// failing says whether the last poll failed, so that the next is due anyhow, or
// too early.
func (f *feed) failing(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idles() {
		return now.Before(f.retryAt)
	}
	return f.failures > 0 || !f.known
}

// probe asks for what is new at once, and passes it on to the siblings.
func (f *feed) probe(ctx context.Context) {
	defer f.endProbe()
	f.probes.Add(1)
	asked, before := clock.Now(), f.progress()
	f.mu.Lock()
	known := f.known
	f.mu.Unlock()
	at, err := f.read(ctx, known, 0)
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, errLeftToOthers) {
		f.learnt()
		return
	}
	if err != nil {
		f.failed(clock.Now(), asked, err)
		f.giveUp("another poll failed")
		return
	}
	f.succeeded(known)
	f.answered(at)
	f.grew(before)
	f.sendHeartbeats()
}

// grew notes that the belief may have grown since, by other ways than the poll
// under way.
func (f *feed) grew(before uint64) {
	if f.progress() <= before {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.surpassed = clock.Now()
}
