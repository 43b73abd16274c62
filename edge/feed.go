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

// feed keeps one belief up to date from the store: the table, or the list of
// servers. One long poll is under way nearly always. It alone would
// not do: where the store falls silent in part, or a connection does without a
// reset, the poll is never answered, and updates were known up to 26.5 s late, to
// all instances at once. So the instances together see to it that one of them has
// asked anew within Config.FreshFor, and one that knows of updates which its own
// poll has not brought gives that poll up.
type feed struct {
	*Instance
	name  string
	store *dependency
	answers
	// read asks the store for what is new, or for everything unless something is
	// known, and takes it in. It returns when the store had no more than that; zero
	// if it has brought less than is believed by now.
	read func(ctx context.Context, known bool, wait time.Duration) (at time.Time, err error)
	// rest is the pause between an answer and the next poll.
	rest func() time.Duration
	// progress grows with what is believed.
	progress func() uint64
	// returned is called when the store answers again after it was away.
	returned func(at time.Time)

	// probes and givenUp count polls.
	probes, givenUp atomic.Uint64

	mu sync.Mutex
	// poll is the one that is under way; nil between two.
	poll  *poll
	known bool
	// failures counts the polls in a row that failed, and retryAt is when the
	// next may be asked.
	failures int
	retryAt  time.Time
	// probing is set while the store is polled beside the poll that waits.
	probing bool
	// surpassed is when the belief last grew by other ways than the poll.
	surpassed time.Time
	// old is set while the belief is not known to be current, once that was
	// logged.
	old bool
}

// poll is one that is under way at the store.
type poll struct {
	asked  time.Time
	known  bool
	wait   time.Duration
	giveUp context.CancelFunc
	// givenUp is set once its answer is no longer waited for.
	givenUp bool
}

// follow polls again and again until ctx ends.
func (f *feed) follow(ctx context.Context) {
	for ctx.Err() == nil {
		begins := *f.begins.Load()
		pause := f.next(ctx)
		if f.idles() {
			f.idle(ctx, begins)
			continue
		}
		f.pause(ctx, pause)
	}
}

// idle waits until this instance begins to leave long polls waiting, or a look is due at
// whether it should read for another reason.
func (f *feed) idle(ctx context.Context, begins <-chan struct{}) {
	look := time.NewTimer(f.config.IdleLook)
	defer look.Stop()
	select {
	case <-ctx.Done():
	case <-begins:
	case <-look.C:
	}
}

// next polls, if this instance is to, and returns the pause until the next.
func (f *feed) next(ctx context.Context) time.Duration {
	if f.idles() {
		return f.config.IdleLook
	}
	if f.awaitsOthers() {
		return startLook
	}
	if began := clock.Since(f.started); f.progress() > 0 && began < f.config.StartPatience {
		return f.config.StartPatience - began
	}
	return f.pollOnce(ctx)
}

// idles says whether others leave long polls waiting at the store: there are many
// instances, and this one believes something already. It still sees to it that
// somebody has asked lately.
func (f *feed) idles() bool { return !f.reads.Load() && f.progress() > 0 }

// pollOnce polls once and returns the pause until the next.
func (f *feed) pollOnce(ctx context.Context) time.Duration {
	inner, q := f.begin(ctx)
	defer q.giveUp()
	at, err := f.read(inner, q.known, q.wait)
	now := clock.Now()
	givenUp := f.end(q)
	switch {
	case err == nil:
		f.succeeded(q.known)
		f.answered(at)
		return f.rest()
	case ctx.Err() != nil || givenUp:
		return 0
	case errors.Is(err, errLeftToOthers):
		f.learnt()
		return f.rest()
	default:
		return f.failed(now, q.asked, err)
	}
}

// begin notes a poll. The first after a failure is answered at once, so that
// it is known when the store was back, not when the next change came.
func (f *feed) begin(ctx context.Context) (context.Context, *poll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := &poll{asked: clock.Now(), known: f.known, wait: f.config.StoreWait}
	if f.failures > 0 {
		q.wait = 0
	}
	ctx, q.giveUp = context.WithCancel(ctx)
	f.poll = q
	return ctx, q
}

// end notes that a poll is no longer under way, and returns whether it was
// given up.
func (f *feed) end(q *poll) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poll = nil
	return q.givenUp
}

// succeeded notes an answer. That to a read of everything ends no row of
// failures: what was dropped may be dropped again while it is read anew.
func (f *feed) succeeded(known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known {
		f.failures = 0
	}
	f.known = true
}

// learnt notes that a sibling has told everything: only what is new since has to be read.
func (f *feed) learnt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
}

// readWhole has everything read with the next poll, unless that is under way.
func (f *feed) readWhole(why string) {
	f.mu.Lock()
	due := f.known
	f.known = false
	f.mu.Unlock()
	if due {
		f.giveUp(why)
	}
}

// answered notes an answer to this instance, and when the store had no more.
func (f *feed) answered(at time.Time) {
	f.store.ok(clock.Now())
	f.hear(at, true)
}

// answeredAt is when the store had no more than it answered: one that waited for updates
// passed them on as it got them; of an immediate answer nothing is known but that it
// is later than the poll.
func answeredAt(asked time.Time, wait time.Duration) time.Time {
	if wait > 0 {
		return clock.Now()
	}
	return asked
}

// hear notes an answer to any instance, and whether all that it said is
// believed here.
func (f *feed) hear(at time.Time, all bool) {
	if f.answers.heard(at, all) {
		klog.InfoS("The store answers again", "dependency", f.store.name, "atMillisAgo", clock.Since(at).Milliseconds())
		f.returned(at)
	}
}

// failed notes a poll without an answer of use, and returns the pause until
// the next.
func (f *feed) failed(now, asked time.Time, err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	if errors.Is(err, oplog.ErrTruncated) {
		f.known = false
	} else {
		f.store.failed(now, asked, err)
	}
	pause := f.backoff(f.failures)
	f.retryAt = now.Add(pause)
	return pause
}

// pollSlack is how long a poll may bring updates later than others do: a
// slow store takes some 240 ms (source: the users' kinds of trouble, 60 times its
// usual 4 ms).
const pollSlack = 300 * time.Millisecond

// review gives up a poll that should have brought what is known otherwise, and
// writes a line when the belief begins or ceases to be old.
func (f *feed) review(now time.Time) {
	f.mu.Lock()
	lost := f.poll != nil && f.poll.asked.Before(f.surpassed) && now.Sub(f.surpassed) >= pollSlack
	f.mu.Unlock()
	if lost {
		f.giveUp("others had updates that it did not")
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
	klog.InfoS("Poll of the store given up", "dependency", f.store.name, "why", why,
		"askedMillisAgo", clock.Since(f.poll.asked).Milliseconds(), "waitMillis", f.poll.wait.Milliseconds())
	f.givenUp.Add(1)
	f.poll.givenUp = true
	f.poll.giveUp()
}

// logAge writes a line when the belief is no longer known to be current, and
// when it is again.
func (f *feed) logAge(now time.Time) {
	confirmed := f.confirmed()
	f.mu.Lock()
	defer f.mu.Unlock()
	old := !confirmed.IsZero() && now.Sub(confirmed) >= awayAfter
	if old == f.old {
		return
	}
	f.old = old
	line := "Known to be current again"
	if old {
		line = "Not known to be current"
	}
	fields := []any{"belief", f.name, "progress", f.progress(), "ageMillis", now.Sub(confirmed).Milliseconds(), "failures", f.failures}
	if f.poll != nil {
		fields = append(fields, "askedMillisAgo", now.Sub(f.poll.asked).Milliseconds())
	}
	klog.InfoS(line, fields...)
}

// waiting says whether a poll has been under way for so long, or whether the
// store does not answer this instance.
func (f *feed) waiting(now time.Time, lasts time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 || !f.known || f.idles() {
		return true
	}
	return f.poll != nil && now.Sub(f.poll.asked) >= lasts
}
