package edge

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/wait"
)

// keepFresh sends extra polls to the store, besides the open long polls, when no instance is certain of
// an answer for a while. The answer to a long poll may be as old as the poll.
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

// certainSince returns the time up to which the store certainly answered an instance, or the start of this
// instance if there is none.
func (f *feed) certainSince() time.Time {
	if certain := f.certain(); certain.After(f.started) {
		return certain
	}
	return f.started
}

// probePause returns the pause until the next check. No check is needed before the last answers
// may be stale. A random part keeps the instances from checking at the same time.
func (in *Instance) probePause() time.Duration {
	due := in.config.FreshFor
	for _, feed := range in.feeds() {
		due = min(due, in.config.FreshFor-clock.Since(feed.certainSince()))
	}
	spread := in.deps.Random()
	if due <= 0 {
		return time.Duration((0.75 + 0.5*spread) * float64(in.config.ProbeEvery))
	}
	return due + time.Duration(spread*float64(in.config.ProbeEvery))
}

// beginProbe records that an extra poll starts. It returns false if one is already in progress.
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

// probeDue decides at random whether this instance is the one to poll. Each of n instances polls
// with probability 1/n at its first check and doubles the probability at each further check. So
// about one instance polls whichever of them are alive, and an instance that is cut off from all
// others still polls itself, 0.9 s later with 62 instances. While many instances are in contact
// and none receives an answer, about probesAtMost of them poll at each check.
func (f *feed) probeDue(now time.Time) bool {
	over := now.Sub(f.certainSince()) - f.config.FreshFor
	if f.latest().IsZero() || over < 0 || f.failing(now) {
		return false
	}
	doubled := float64(uint64(1) << min(over/f.config.ProbeEvery, maxDoublings))
	if f.usesHubs() && f.hubs.connected(now) {
		doubled = min(doubled, probesAtMost)
	}
	return f.deps.Random() < doubled/float64(max(f.Serving()+1, f.hubs.count(now)))
}

const (
	// maxDoublings keeps the doubling within the range of a float. By then an instance polls
	// with certainty whatever their number.
	maxDoublings = 30
	// probesAtMost is how many of many instances poll at each check while none receives an
	// answer. More of them find the instance that the store answers sooner, if it answers only a
	// few. But each call is billed, and without a bound 295 instances would make 590 calls a
	// second.
	probesAtMost = 4
)

// failing reports whether the last poll failed. In that case the next poll is due anyway, or an
// extra one would come too early.
func (f *feed) failing(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idles() {
		return now.Before(f.retryAt)
	}
	return f.failures > 0 || !f.known
}

// probe polls the store for updates, without waiting at the store for one, and forwards them to
// the siblings.
func (f *feed) probe(ctx context.Context) {
	defer f.endProbe()
	f.probes.Add(1)
	requested, before := clock.Now(), f.progress()
	f.mu.Lock()
	known := f.known
	f.mu.Unlock()
	at, err := f.read(ctx, known, 0)
	if known && f.idles() && errors.Is(err, oplog.ErrTruncated) {
		// This instance has no long poll that would read everything next, and its next probe may be a second away.
		known = false
		f.requestFullRead("the store does not have its position")
		at, err = f.read(ctx, known, 0)
	}
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, errLeftToOthers) {
		f.markKnown()
		return
	}
	if err != nil {
		f.failed(clock.Now(), requested, err)
		f.giveUp("another poll failed")
		return
	}
	f.succeeded(known)
	f.answered(storeAnswer{at, requested})
	f.noteProgress(before)
	f.sendHeartbeats()
}

// noteProgress records that the feed may have advanced beyond before by other means than the poll
// in progress.
func (f *feed) noteProgress(before uint64) {
	if f.progress() <= before {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advancedElsewhere = clock.Now()
}
