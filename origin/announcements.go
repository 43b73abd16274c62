package origin

import "time"

// A release is announced before streams that callers may take up begin at it: it is stored, and then
// every instance has the time to learn of it. Otherwise an instance that cannot know of it yet, because
// its list is a little older or because it has just started, would take another release for the only one.

// AnnounceWait is how long after a release was first listed streams may begin at it. By then no instance
// relies on a list of servers without the release: a list counts as current for 1.5 s, instances that get
// their list from a hub add the 0.3 s between two of its messages, and the rest is a margin.
const AnnounceWait = 2 * time.Second

// announcement is the state of one release's announcement.
type announcement struct {
	// firstListed is when a server of the release appeared on this instance's list, and goneAt a time after
	// which the last one left it. They are zero if that has not happened.
	firstListed, goneAt time.Time
	// openElsewhere is when another instance last reported that streams may begin at the release.
	openElsewhere time.Time
	// joined is set if the release was not listed before, as far as is known. It is not set for releases
	// that an instance finds listed when it starts.
	joined bool
	// stored is set if the store is known to have the release, and open if streams may begin at it.
	stored, open bool
}

// list starts the announcement of a release that appears on the list, unless it is open and was listed a
// short time ago. After almost a window other instances may have forgotten the release.
func (h *history) list(at Origin, joined bool, forgottenAfter time.Duration, now time.Time) {
	known := h.announcements[at]
	wasOpen := known.open && now.Sub(known.goneAt) < forgottenAfter
	isOpen := now.Sub(known.openElsewhere) < AnnounceWait/2
	h.announcements[at] = announcement{
		firstListed: now, joined: joined || known.joined, stored: known.stored || isOpen, open: wasOpen || isOpen,
	}
}

// unlist records that the last server of a release has left the list after a time.
func (h *history) unlist(at Origin, after time.Time) {
	known := h.announcements[at]
	known.goneAt = after
	h.announcements[at] = known
}

// Reannounce starts all announcements anew. It is for an instance whose list was not current for so long that
// a listed release may have been gone, and forgotten by other instances, in the meantime.
func (r *Releases) Reannounce(now time.Time) {
	r.change(now, func(next *history) {
		for at := range next.announcements {
			next.announcements[at] = announcement{firstListed: now}
		}
	})
}

// ForgottenAfter is the time without a server after which other instances may have forgotten a release.
func (r *Releases) ForgottenAfter() time.Duration { return r.Window() - AnnounceWait }

// Announced holds releases that the store has. The value tells whether streams may begin at the release.
type Announced map[Origin]bool

// SetStored records what the store has. A release that joins the list later than the record was read opens
// by its own wait: the record may be of the time when the release served before.
func (r *Releases) SetStored(stored Announced, now time.Time) {
	r.setAnnounced(stored, now, func(known announcement, listed, open bool) announcement {
		known.stored = true
		known.joined = known.joined || !listed
		known.open = known.open || (open && !known.joined)
		return known
	})
}

// SetOpen records that streams may begin at releases according to another instance.
func (r *Releases) SetOpen(open []Origin, now time.Time) {
	releases := make(Announced, len(open))
	for _, at := range open {
		releases[at] = true
	}
	r.setAnnounced(releases, now, func(known announcement, listed, _ bool) announcement {
		known.stored = true
		if listed {
			known.open = true
		} else {
			known.openElsewhere = now
		}
		return known
	})
}

func (r *Releases) setAnnounced(releases Announced, now time.Time, apply func(known announcement, listed, open bool) announcement) {
	known := r.history.Load()
	changes := false
	for at, open := range releases {
		changes = changes || (known.remembers(at) && apply(known.announcements[at], known.listed[at], open) != known.announcements[at])
	}
	if !changes {
		return
	}
	r.change(now, func(next *history) {
		for at, open := range releases {
			if next.remembers(at) {
				next.announcements[at] = apply(next.announcements[at], next.listed[at], open)
			}
		}
	})
}

// ForgetStored records that the store may have lost all releases. Streams go on to begin at those that are
// open, since the other instances know them.
func (r *Releases) ForgetStored(now time.Time) {
	r.change(now, func(next *history) {
		for at, known := range next.announcements {
			known.stored = false
			next.announcements[at] = known
		}
	})
}

// Unstored reports whether a release at which streams may begin, or may have begun, is not known to be stored.
func (r *Releases) Unstored(now time.Time) bool {
	known := r.history.Load()
	for at := range known.listed {
		if !known.announcements[at].stored {
			return true
		}
	}
	for at, last := range known.lastListed {
		if one, announced := known.announcements[at]; announced && !one.stored && now.Sub(last) <= r.Window() {
			return true
		}
	}
	return false
}

// Unopened reports whether a listed release is not open.
func (r *Releases) Unopened() bool {
	known := r.history.Load()
	for at := range known.listed {
		if !known.announcements[at].open {
			return true
		}
	}
	return false
}

// Announcements returns the releases that the store should have, as far as this instance knows.
func (r *Releases) Announcements(now time.Time) Announced {
	known := r.history.Load()
	all := make(Announced)
	for at := range r.Retained(now) {
		all[at] = r.isOpen(known, at, now)
	}
	return all
}

// IsStored reports whether the store is known to have a release.
func (r *Releases) IsStored(at Origin) bool { return r.history.Load().announcements[at].stored }

// MayBegin reports whether streams that callers may take up may begin at a release. If not, it returns
// the time until they may, which is an estimate while the release is not stored.
func (r *Releases) MayBegin(at Origin, now time.Time) (after time.Duration, ok bool) {
	known := r.history.Load()
	one := known.announcements[at]
	if r.isOpen(known, at, now) {
		return 0, true
	}
	left := AnnounceWait
	if known.listed[at] {
		left = one.firstListed.Add(AnnounceWait).Sub(now)
	}
	if r.isAlone(known, at, now) {
		left = 0
	}
	if !one.stored {
		return max(left, storeDelay), false
	}
	return max(left, 0), left <= 0
}

// storeDelay is how long it usually takes to store a release.
const storeDelay = 200 * time.Millisecond

// isAlone reports whether no other release of the service can have served since streams began that may
// still be taken up, in the view of any instance.
func (r *Releases) isAlone(known *history, at Origin, now time.Time) bool {
	if !known.complete || now.Sub(known.since) < r.Window()+AnnounceWait || !known.lacksNothing(at.Service, now.Add(-r.Window()-AnnounceWait)) {
		return false
	}
	for other := range known.listed {
		if other.Service == at.Service && other != at {
			return false
		}
	}
	for other, last := range known.lastListed {
		if other.Service == at.Service && other != at && now.Sub(last) <= r.Retention() {
			return false
		}
	}
	return true
}

// Opened records the releases whose wait is over, and returns those that were not open before.
func (r *Releases) Opened(now time.Time) (opened []Origin) {
	known := r.history.Load()
	for at := range known.listed {
		if known.announcements[at].open {
			continue
		}
		if _, ok := r.MayBegin(at, now); ok {
			opened = append(opened, at)
		}
	}
	if len(opened) > 0 {
		r.SetOpen(opened, now)
	}
	return opened
}

// Open returns the releases at which streams may begin according to all that other instances can know: they
// are listed, or were until a short time ago.
func (r *Releases) Open(now time.Time) (open []Origin) {
	known := r.history.Load()
	for at := range known.announcements {
		if r.isOpen(known, at, now) {
			open = append(open, at)
		}
	}
	return open
}

// isOpen reports whether streams may begin at a release that is listed, or was until a short time ago.
func (r *Releases) isOpen(known *history, at Origin, now time.Time) bool {
	one := known.announcements[at]
	return one.open && (known.listed[at] || now.Sub(one.goneAt) < r.ForgottenAfter())
}
