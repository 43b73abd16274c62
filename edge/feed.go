package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/oplog"
)

// feed keeps one kind of data up to date from the store: the table or the list of servers. A
// long poll is under way nearly always, but it alone is not enough. If part of the store stops
// answering, or a connection breaks without a reset, the poll is never answered. Updates were
// then known up to 26.5 s late, by all instances at once. Therefore the instances together make
// sure that one of them has sent a new request within Config.FreshFor. An instance that knows of
// updates that its own poll has not returned gives up that poll.
type feed struct {
	*Instance
	name  string
	store *dependency
	storeContact
	// read requests the changes from the store, or everything if known is false, and applies
	// the answer. It returns the time at which the store had no more than that. The time is zero
	// if this instance has newer data than the answer by now.
	read func(ctx context.Context, known bool, wait time.Duration) (at time.Time, err error)
	// pollPause is the pause between an answer and the next poll.
	pollPause func() time.Duration
	// progress returns a number that grows with each update of the data.
	progress func() uint64
	// onRecovery is called when the store answers again after it was unavailable.
	onRecovery func(at time.Time)

	// probes counts the polls in addition to the long polls, and givenUp those given up.
	probes, givenUp atomic.Uint64

	mu sync.Mutex
	// poll is the poll under way. It is nil between two polls.
	poll  *poll
	known bool
	// failures counts the failed polls in a row, and retryAt is the earliest time of the next
	// poll after a failure.
	failures int
	retryAt  time.Time
	// probing is set while a poll in addition to the long poll is under way.
	probing bool
	// advancedElsewhere is when the data was last updated by other means than the poll.
	advancedElsewhere time.Time
	// outdated is set while the data is not known to be current. It changes when the change is
	// logged.
	outdated bool
}

// poll is a poll that is under way at the store.
type poll struct {
	sentAt time.Time
	known  bool
	wait   time.Duration
	giveUp context.CancelFunc
	// givenUp is set once the feed no longer waits for the answer.
	givenUp bool
}

// follow polls in a loop until ctx ends.
func (f *feed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		begins := *f.longPollsBegin.Load()
		pause := f.next(ctx)
		if f.idles() {
			f.idle(ctx, begins)
			continue
		}
		f.pause(ctx, pause)
	}
}

// idle waits until this instance begins to leave long polls waiting, or until it is time to check
// whether it has to read from the store for another reason.
func (f *feed) idle(ctx context.Context, begins <-chan struct{}) {
	look := time.NewTimer(f.config.IdleCheckEvery)
	defer look.Stop()
	select {
	case <-ctx.Done():
	case <-begins:
	case <-look.C:
	}
}

// next polls if that is due and returns the pause until the next poll.
func (f *feed) next(ctx context.Context) time.Duration {
	if f.idles() {
		return f.config.IdleCheckEvery
	}
	if f.awaitsOthers() {
		return startCheckEvery
	}
	if began := clock.Since(f.started); f.progress() > 0 && began < f.config.StartWait {
		return f.config.StartWait - began
	}
	return f.pollOnce(ctx)
}

// idles reports whether this instance leaves the long polls to others, because there are many
// instances and this one has data already. It still makes sure that some instance has sent a
// request recently.
func (f *feed) idles() bool { return !f.longPolls.Load() && f.progress() > 0 }

// pollOnce polls once and returns the pause until the next poll.
func (f *feed) pollOnce(ctx context.Context) time.Duration {
	inner, q := f.begin(ctx)
	defer q.giveUp()
	at, err := f.read(inner, q.known, q.wait)
	now := clock.Now()
	givenUp := f.end(q)
	switch {
	case err == nil:
		f.succeeded(q.known)
		f.answered(storeAnswer{at, q.sentAt})
		return f.pollPause()
	case ctx.Err() != nil || givenUp:
		return 0
	case errors.Is(err, errLeftToOthers):
		f.markKnown()
		return f.pollPause()
	default:
		return f.failed(now, q.sentAt, err)
	}
}

// begin records a new poll. The first one after a failure does not wait for a change, so that the
// store's recovery is noticed immediately and not only at the next change.
func (f *feed) begin(ctx context.Context) (context.Context, *poll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &poll{sentAt: clock.Now(), known: f.known, wait: f.config.StoreWait}
	if f.failures > 0 {
		q.wait = 0
	}
	ctx, q.giveUp = context.WithCancel(ctx)
	f.poll = q
	return ctx, q
}

// end records that a poll is no longer under way. It returns whether the poll was given up.
func (f *feed) end(q *poll) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poll = nil
	return q.givenUp
}

// succeeded records an answer. An answer to a full read does not reset the count of failures,
// because the log may be truncated again during the next full read.
func (f *feed) succeeded(known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known {
		f.failures = 0
	}
	f.known = true
}

// markKnown records that a sibling has sent all data, so that only later changes have to be read.
func (f *feed) markKnown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
}

// requestFullRead makes the next poll read everything. If a poll for changes is under way, it is
// given up.
func (f *feed) requestFullRead(why string) {
	f.mu.Lock()
	due := f.known
	f.known = false
	f.mu.Unlock()
	if due {
		f.giveUp(why)
	}
}

// answered records that the store answered this instance.
func (f *feed) answered(answer storeAnswer) {
	f.store.ok(clock.Now())
	f.noteAnswer(answer, true)
}

// answeredAt returns the time of the store's answer, as far as known. A poll that waited for updates is
// answered as soon as the store gets them, but the answer may have waited on its way or in this instance.
// An immediate answer is only known to be later than the poll's start.
func answeredAt(sentAt time.Time, wait time.Duration) time.Time {
	if wait > 0 {
		return clock.Now()
	}
	return sentAt
}

// noteAnswer records an answer to any instance, and whether this instance has all the data of
// that answer.
func (f *feed) noteAnswer(answer storeAnswer, complete bool) {
	if f.storeContact.observe(answer, complete) {
		klog.InfoS("Store answers again", "dependency", f.store.name, "atMillisAgo", clock.Since(answer.at).Milliseconds())
		f.onRecovery(answer.at)
	}
}

// failed records a poll without a useful answer, and returns the pause until the next poll.
func (f *feed) failed(now, sentAt time.Time, err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	if errors.Is(err, oplog.ErrTruncated) {
		f.known = false
	} else {
		f.store.failed(now, sentAt, err)
	}
	pause := f.backoff(f.failures)
	f.retryAt = now.Add(pause)
	return pause
}

// pollSlack is how much later than other instances' polls a poll may return updates. A slow store
// takes about 240 ms, which is 60 times its usual 4 ms, in a fault that the service requirements
// list.
const pollSlack = 300 * time.Millisecond

// review gives up a poll that should have returned updates known from other sources. It also
// logs when the data becomes outdated or current.
func (f *feed) review(now time.Time) {
	f.mu.Lock()
	lost := f.poll != nil && f.poll.sentAt.Before(f.advancedElsewhere) && now.Sub(f.advancedElsewhere) >= pollSlack
	f.mu.Unlock()
	if lost {
		f.giveUp("other instances had updates that it had not returned")
	}
	f.logAge(now)
}

// giveUp ends the poll under way, if there is one.
func (f *feed) giveUp(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.poll == nil || f.poll.givenUp {
		return
	}
	klog.InfoS("Gave up poll of the store", "dependency", f.store.name, "why", why,
		"askedMillisAgo", clock.Since(f.poll.sentAt).Milliseconds(), "waitMillis", f.poll.wait.Milliseconds())
	f.givenUp.Add(1)
	f.poll.givenUp = true
	f.poll.giveUp()
}

// logAge logs when the data is no longer known to be current, and when it is again.
func (f *feed) logAge(now time.Time) {
	confirmed := f.confirmed()
	f.mu.Lock()
	defer f.mu.Unlock()
	old := !confirmed.IsZero() && now.Sub(confirmed) >= unavailableAfter
	if old == f.outdated {
		return
	}
	f.outdated = old
	// The key belief says whether the table or the list of servers is meant.
	line := "Table or server list is current again"
	if old {
		line = "Table or server list may be out of date"
	}
	fields := []any{"belief", f.name, "progress", f.progress(), "ageMillis", now.Sub(confirmed).Milliseconds(), "failures", f.failures}
	if f.poll != nil {
		fields = append(fields, "askedMillisAgo", now.Sub(f.poll.sentAt).Milliseconds())
	}
	klog.InfoS(line, fields...)
}

// overdue reports whether a poll has been under way for at least the given duration, or the
// store does not answer this instance, or this instance leaves the long polls to others.
func (f *feed) overdue(now time.Time, atLeast time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 || !f.known || f.idles() {
		return true
	}
	return f.poll != nil && now.Sub(f.poll.sentAt) >= atLeast
}
