package origin

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Releases tracks which releases served lately. Writers hold a lock and replace an immutable history.
// Readers load it without a lock.
type Releases struct {
	// window is how long ago a stream that its caller takes up may have begun, in nanoseconds.
	window  atomic.Int64
	mu      sync.Mutex
	history atomic.Pointer[history]
}

// history holds the releases that served, as far as known.
type history struct {
	// complete is set if the history lacks no release that served since the time since.
	complete bool
	since    time.Time
	// lastListed is when a server of a release was last known to be listed. It is absent for releases
	// that are listed now.
	lastListed map[Origin]time.Time
	listed     map[Origin]bool
	// gapAt is when the list was last replaced without its changes of a short time. spanned holds the services
	// for which that hides nothing.
	gapAt   time.Time
	spanned map[string]bool
	// announcements holds the announcements of the releases that are listed or were lately.
	announcements map[Origin]announcement
}

// NewReleases returns an empty history for streams that began within a window.
func NewReleases(window time.Duration) *Releases {
	r := new(Releases)
	r.SetWindow(window)
	r.history.Store(&history{})
	return r
}

// SetWindow sets how long ago a stream that its caller takes up may have begun.
func (r *Releases) SetWindow(window time.Duration) { r.window.Store(int64(window)) }

// Window returns how long ago a stream that its caller takes up may have begun.
func (r *Releases) Window() time.Duration { return time.Duration(r.window.Load()) }

// Retention returns how long a release is remembered that is no longer listed. It is longer than the
// window, so that instances that noticed its end at different times agree on whether it still matters.
func (r *Releases) Retention() time.Duration { return retainedWindows * r.Window() }

// retainedWindows is the retention of releases in windows.
const retainedWindows = 2

// change replaces the history by a changed copy without the releases that no longer matter.
func (r *Releases) change(now time.Time, apply func(next *history)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.history.Load()
	next.lastListed, next.listed, next.announcements = maps.Clone(next.lastListed), maps.Clone(next.listed), maps.Clone(next.announcements)
	if next.lastListed == nil {
		next.lastListed, next.listed, next.announcements = make(map[Origin]time.Time), make(map[Origin]bool), make(map[Origin]announcement)
	}
	apply(&next)
	maps.DeleteFunc(next.lastListed, func(_ Origin, at time.Time) bool {
		old := now.Sub(at) > r.Retention()
		if old && next.complete && at.After(next.since) {
			// The window may grow, with the timeouts of the routes.
			next.since = at
		}
		return old
	})
	maps.DeleteFunc(next.announcements, func(at Origin, _ announcement) bool { return !next.remembers(at) })
	r.history.Store(&next)
}

// remembers reports whether a release is listed, or was within the retention.
func (h *history) remembers(at Origin) bool {
	_, lately := h.lastListed[at]
	return lately || h.listed[at]
}

// SetListed records the releases of the listed servers. isFull is set if these are all servers.
func (r *Releases) SetListed(listed map[Origin]bool, isFull bool, now time.Time) {
	r.SetListedSince(listed, isFull, now, now)
}

// SetListedSince is like SetListed, for a list that follows one that was last known to be current at a time.
// Releases that are not listed any more may have left since then.
func (r *Releases) SetListedSince(listed map[Origin]bool, isFull bool, current, now time.Time) {
	known := r.history.Load()
	if maps.Equal(listed, known.listed) && (known.complete || !isFull) {
		return
	}
	r.change(now, func(next *history) {
		joined := next.complete
		if isFull && !next.complete {
			next.complete, next.since = true, now
		}
		for at := range next.listed {
			if !listed[at] {
				next.lastListed[at] = now
				next.unlist(at, current)
			}
		}
		for at := range listed {
			if !next.listed[at] {
				next.list(at, joined, r.ForgottenAfter(), now)
			}
			delete(next.lastListed, at)
		}
		next.listed = maps.Clone(listed)
	})
}

// Listed records that servers of releases were listed, which may be gone again.
func (r *Releases) Listed(releases map[Origin]bool, now time.Time) {
	known := r.history.Load()
	for at := range releases {
		if !known.listed[at] {
			r.Extend(now, map[Origin]time.Time{at: now}, now)
		}
	}
}

// Restart records that releases may have served unnoticed before a time.
func (r *Releases) Restart(since, now time.Time) {
	r.change(now, func(next *history) { next.complete, next.since = true, since })
}

// Gap records that the list was replaced without its changes of the last AnnounceWait at most. No streams began in that
// time at a release that came and left, unless it was the only one of its service (isAlone).
func (r *Releases) Gap(now time.Time) {
	r.change(now, func(next *history) {
		spanned := make(map[string]bool)
		for at := range next.listed {
			spanned[at.Service] = true
		}
		for at, last := range next.lastListed {
			// Other instances may have noticed the end of the release sooner.
			if now.Sub(last) <= r.Retention()-2*AnnounceWait {
				spanned[at.Service] = true
			}
		}
		if now.Sub(next.gapAt) < r.Window()+AnnounceWait {
			maps.DeleteFunc(spanned, func(service string, _ bool) bool { return !next.spanned[service] })
		}
		next.gapAt, next.spanned = now, spanned
	})
}

// lacksNothing reports whether no release of a service can have been missed in a gap since a time.
func (h *history) lacksNothing(service string, since time.Time) bool {
	return h.spanned[service] || !h.gapAt.After(since)
}

// Extend records a history that is known from elsewhere: it is complete since a time, and servers of
// these releases were last listed at the given times.
func (r *Releases) Extend(since time.Time, lastListed map[Origin]time.Time, now time.Time) {
	r.change(now, func(next *history) {
		if !next.complete || since.Before(next.since) {
			next.complete, next.since = true, since
		}
		for at, listed := range lastListed {
			if !next.listed[at] && listed.After(next.lastListed[at]) {
				next.lastListed[at] = listed
			}
		}
	})
}

// ExtendFrom is like Extend, for a history that another instance made from a list of servers that was current
// at a time. It does not extend the history across a gap in which a release can have served unnoticed.
func (r *Releases) ExtendFrom(since, confirmed time.Time, lastListed map[Origin]time.Time, now time.Time) {
	if own, complete := r.Since(); complete && confirmed.Before(own.Add(-AnnounceWait)) {
		since = own
	}
	r.Extend(since, lastListed, now)
}

// Since returns from when on the history is complete, if it is.
func (r *Releases) Since() (since time.Time, complete bool) {
	known := r.history.Load()
	return known.since, known.complete
}

// CoversRetention reports whether the history is complete for as long as releases are remembered.
func (r *Releases) CoversRetention(now time.Time) bool {
	since, complete := r.Since()
	return complete && now.Sub(since) >= r.Retention()
}

// CoversWindow reports whether the history is complete for all streams that callers may take up.
func (r *Releases) CoversWindow(now time.Time) bool {
	since, complete := r.Since()
	return complete && now.Sub(since) >= r.Window()
}

// Retained returns when a server of each release that matters was last listed: now for those that are
// listed.
func (r *Releases) Retained(now time.Time) map[Origin]time.Time {
	known := r.history.Load()
	retained := make(map[Origin]time.Time, len(known.listed)+len(known.lastListed))
	for at := range known.listed {
		retained[at] = now
	}
	for at, last := range known.lastListed {
		if now.Sub(last) <= r.Retention() {
			retained[at] = last
		}
	}
	return retained
}

// Sole returns the only release of a service at which a stream that callers may take up can have begun.
// It returns false if there were several, or if that is not known.
func (r *Releases) Sole(service string, now time.Time) (release string, ok bool) {
	if !r.CoversWindow(now) {
		return "", false
	}
	known := r.history.Load()
	if !known.lacksNothing(service, now.Add(-r.Window())) {
		return "", false
	}
	found := 0
	for at := range known.listed {
		if at.Service == service {
			release = at.Release
			found++
		}
	}
	for at, last := range known.lastListed {
		if at.Service == service && now.Sub(last) <= r.Window() {
			release = at.Release
			found++
		}
	}
	return release, found == 1
}
