package edge

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/origin"
)

// ReleaseStore keeps the announced releases in the platform's store.
type ReleaseStore interface {
	// Load returns the stored releases and the condition for the next Save.
	Load(ctx context.Context) (stored StoredReleases, condition oplog.Position, err error)
	// Save replaces the stored releases if nothing else was saved since the condition was read. saved is
	// false if something was. A call with an error may have taken effect.
	Save(ctx context.Context, next StoredReleases, condition oplog.Position) (after oplog.Position, saved bool, err error)
}

// StoredReleases is what the store has of the releases at which streams may have begun.
type StoredReleases struct {
	Releases origin.Announced
	// Complete is set if no other release matters. It is not set after the store was restored from an
	// older copy, which may lack releases.
	Complete bool
}

// equal reports whether both are the same.
func (s StoredReleases) equal(other StoredReleases) bool {
	if s.Complete != other.Complete || len(s.Releases) != len(other.Releases) {
		return false
	}
	for at, open := range s.Releases {
		if before, known := other.Releases[at]; !known || before != open {
			return false
		}
	}
	return true
}

// announcer keeps the stored releases up to date. Only its loop uses it.
type announcer struct {
	*origins
	// stored is what the store has, if known is set, and condition that of the next call that changes it.
	stored    StoredReleases
	condition oplog.Position
	known     bool
	// era is the era of the store to which stored belongs. It is 0 before the store's first answer.
	era      uint64
	eraKnown bool
	// readAt is when the stored releases were last read, and unstoredSince since when a listed release is
	// not known to be stored.
	readAt, unstoredSince time.Time
	// firstTurn is the turn of this instance while it does not know its rank.
	firstTurn time.Duration
	failures  int
}

// wakeAnnouncer makes the announcer check the releases now.
func (o *origins) wakeAnnouncer() {
	select {
	case o.announcerWoken <- struct{}{}:
	default:
	}
}

// followReleases announces new releases, and reads the stored ones where this instance does not know
// which releases matter.
func (o *origins) followReleases(ctx context.Context) {
	a := &announcer{origins: o, firstTurn: time.Duration(o.deps.Random() * float64(announceSpread))}
	for ctx.Err() == nil {
		timer := time.NewTimer(a.step(ctx))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-o.announcerWoken:
		}
		timer.Stop()
	}
}

// step does what is due and returns the time until the next check.
func (a *announcer) step(ctx context.Context) time.Duration {
	if a.stopping.Load() {
		return a.config.IdleCheckEvery
	}
	list := a.registry.View()
	if a.listedUpTo.Load() == 0 {
		// A stored release that is listed after the record was read would count as one that has just joined.
		return a.config.Members.HeartbeatEvery
	}
	if list.IsSubset {
		a.known = false
	} else if err := a.update(ctx, clock.Now()); err != nil {
		a.failures++
		if !errors.Is(err, errOthersStored) {
			logStore("Failed to read or store the releases of the servers", err)
		}
		return a.backoff(a.failures)
	}
	a.failures = 0
	opened := a.openReleases(clock.Now())
	switch {
	case opened && a.isKeeper():
		// Who starts after a loss of all instances does not have to wait for these releases again.
		return 0
	case a.releases.Unopened():
		return announceTurn
	case a.isKeeper() && !a.stored.Complete && a.releases.CoversWindow(clock.Now()):
		// The record is completed from a list that was confirmed after the record was read. Until then, who
		// starts after a loss of all instances knows no release for the only one.
		return a.config.FreshFor
	}
	return a.config.IdleCheckEvery
}

// update reads or changes the stored releases if that is due.
func (a *announcer) update(ctx context.Context, now time.Time) error {
	if era := a.origins.era(); era != a.era || !a.eraKnown {
		if a.eraKnown {
			a.releases.ForgetStored(now)
		}
		a.era, a.eraKnown, a.known = era, true, false
	}
	if !a.releases.Unstored(now) {
		a.unstoredSince = time.Time{}
	} else if a.unstoredSince.IsZero() {
		a.unstoredSince = now
	}
	if !a.known && a.mustRead(now) {
		if err := a.read(ctx); err != nil {
			return err
		}
	}
	if next := a.next(now); a.known && a.mayWrite(next, now) {
		return a.write(ctx, next)
	}
	return nil
}

// mustRead reports whether this instance needs what the store has. Instances of a high rank are told by
// others.
func (a *announcer) mustRead(now time.Time) bool {
	switch {
	case !a.releases.CoversWindow(now):
		return a.readAt.IsZero() || now.Sub(a.readAt) >= a.config.IdleCheckEvery
	case a.isAnnounceTurn(now):
		return true
	}
	return a.isKeeper()
}

// isKeeper reports whether this instance is the one that keeps the stored releases up to date beyond the
// announcement of new ones. An instance that has just started does not know its rank.
func (a *announcer) isKeeper() bool {
	return a.orders.rank() == 0 && clock.Since(a.started) >= a.config.HubGrace
}

// read reads the stored releases. If they are complete, the history covers all streams then.
func (a *announcer) read(ctx context.Context) error {
	stored, condition, err := a.deps.Releases.Load(ctx)
	if err != nil {
		return err
	}
	a.learning.Lock()
	defer a.learning.Unlock()
	now := clock.Now()
	a.stored, a.condition, a.known, a.readAt = stored, condition, true, now
	since, covered := a.releases.Since()
	if covered = covered && a.releases.CoversWindow(now); !covered {
		klog.InfoS("Read the releases of the servers that the store keeps", "releases", len(stored.Releases), "complete", stored.Complete)
		if complete := now.Add(-a.releases.Retention()); stored.Complete && (since.IsZero() || complete.Before(since)) {
			since = complete
		}
	}
	a.releases.Extend(cmp.Or(since, now), a.lastListed(stored.Releases, covered, now), now)
	a.releases.SetStored(stored.Releases, now)
	a.informed.Store(true)
	return nil
}

// lastListed returns when servers of stored releases may last have been listed. An instance whose history is
// complete knows that of the releases that it remembers. Others were stored by an instance with a newer list.
func (a *announcer) lastListed(stored origin.Announced, covered bool, now time.Time) map[origin.Origin]time.Time {
	remembered := a.releases.Retained(now)
	lastListed := make(map[origin.Origin]time.Time, len(stored))
	for at := range stored {
		if _, known := remembered[at]; !known || !covered {
			lastListed[at] = now
		}
	}
	return lastListed
}

// next returns what the store should have. A release is removed only by an instance that knows that it
// has not served for as long as releases are remembered.
func (a *announcer) next(now time.Time) StoredReleases {
	// An older list may lack releases that others have stored since.
	current := a.isCurrent(now) && !a.isBehind() && a.list.confirmed().After(a.readAt)
	next := StoredReleases{Releases: a.releases.Announcements(now), Complete: a.stored.Complete || (current && a.releases.CoversWindow(now))}
	if current && a.releases.CoversRetention(now) {
		return next
	}
	for at, open := range a.stored.Releases {
		if _, remembered := next.Releases[at]; !remembered {
			next.Releases[at] = open
		}
	}
	return next
}

// mayWrite reports whether this instance is to replace what the store has.
func (a *announcer) mayWrite(next StoredReleases, now time.Time) bool {
	if next.equal(a.stored) {
		return false
	}
	if a.isKeeper() {
		return true
	}
	return a.isAnnounceTurn(now)
}

// isAnnounceTurn reports whether a listed release is not known to be stored, though the instances of lower
// ranks have had the time to store it.
func (a *announcer) isAnnounceTurn(now time.Time) bool {
	if a.unstoredSince.IsZero() {
		return false
	}
	turn := min(time.Duration(a.orders.rank())*announceTurn, announceTurnMax)
	if clock.Since(a.started) < a.config.HubGrace {
		turn = a.firstTurn
	}
	return now.Sub(a.unstoredSince) >= turn
}

// errOthersStored means that another instance changed the stored releases in the meantime.
var errOthersStored = errors.New("another instance has stored releases")

// write replaces what the store has, unless another instance did.
func (a *announcer) write(ctx context.Context, next StoredReleases) error {
	after, saved, err := a.deps.Releases.Save(ctx, next, a.condition)
	if err == nil && !saved {
		err = errOthersStored
	}
	if err != nil {
		// A call without an answer may have taken effect.
		a.known, a.readAt = false, time.Time{}
		return err
	}
	for at := range next.Releases {
		if _, before := a.stored.Releases[at]; !before {
			klog.InfoS("Release announced", "service", at.Service, "version", at.Release, "position", a.registry.View().Position)
		}
	}
	a.stored, a.condition = next, after
	a.releases.SetStored(next.Releases, clock.Now())
	a.sendHistory()
	return nil
}

// openReleases opens the releases whose wait is over, and returns whether there were any.
func (a *announcer) openReleases(now time.Time) bool {
	opened := a.releases.Opened(now)
	for _, at := range opened {
		klog.InfoS("Streams that callers may take up may begin at a release", "service", at.Service, "version", at.Release)
	}
	return len(opened) > 0
}

// sendHistory sends the history to the siblings, or to the hubs where there are many. Hubs send it to the
// instances that they serve.
func (a *announcer) sendHistory() {
	now := clock.Now()
	addresses := a.peers.addresses(now)
	if a.usesHubs() {
		addresses = nil
		for _, infos := range a.hubsOfZones(now) {
			for _, info := range infos {
				if info.Name != a.config.Name {
					addresses = append(addresses, info.Peer)
				}
			}
		}
	}
	a.origins.sendHistory(nil, addresses...)
}
