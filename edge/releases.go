package edge

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// Which releases served lately follows from the list of servers. Instances that have just started get it
// from their siblings, and after a loss of all instances from the store. A release is stored before streams
// begin at it (origin.AnnounceWait).

const (
	// doubtFor is how long before the list shows a server's later run the server may have been that run.
	doubtFor = 5 * time.Second
	// announceTurn is the pause between the attempts of two instances to store a new release. Each waits for
	// those of lower rank, at most for announceTurnMax.
	announceTurn    = 100 * time.Millisecond
	announceTurnMax = 2 * time.Second
	// announceSpread is the time over which instances that do not know their rank yet spread their attempts.
	announceSpread = 1500 * time.Millisecond
)

// setListed records the releases of the servers on a new list.
func (o *origins) setListed(list *registry.View, now time.Time) {
	if list.Position == 0 {
		return
	}
	current := o.list.confirmed()
	if current.IsZero() {
		current = now
	}
	if now.Sub(current) >= o.releases.ForgottenAfter() {
		o.releases.Reannounce(now)
	}
	listed := make(map[origin.Origin]bool)
	for i := range list.Servers {
		listed[originOf(&list.Servers[i].Entry)] = true
	}
	o.releases.SetListedSince(listed, !list.IsSubset, current, now)
	o.listedUpTo.Store(uint64(list.Position))
	o.firstListedAt.CompareAndSwap(nil, &now)
	o.wake()
	restored := list.Position.Era() != o.listedEra
	o.listedEra = list.Position.Era()
	if restored || o.releases.Unopened() || !o.releases.CoversWindow(now) {
		o.wakeAnnouncer()
	}
}

// MayBegin reports whether a stream that its caller may take up may begin at a release. If not, it returns
// the time until it may.
func (o *origins) MayBegin(at origin.Origin) (after time.Duration, ok bool) {
	return o.releases.MayBegin(at, clock.Now())
}

// setWindow sets how long ago streams may have begun, from the timeouts of the table's routes.
func (o *origins) setWindow(view *table.View) {
	window := o.leastWindow
	for _, routes := range view.Routes {
		for _, route := range routes {
			if route.Repeat == table.RepeatResume {
				window = max(window, originTries*route.Timeout)
			}
		}
	}
	o.releases.SetWindow(window)
}

func originOf(entry *registry.Entry) origin.Origin {
	return origin.Origin{Service: entry.Service, Release: entry.Release}
}

// noteChanges records the releases of servers that changes of the list name, also of those that a later
// change has removed again.
func (o *origins) noteChanges(changes []registry.Change, now time.Time) {
	named := make(map[origin.Origin]bool)
	for _, change := range changes {
		if change.Entry != nil {
			named[originOf(change.Entry)] = true
		}
	}
	o.releases.Listed(named, now)
}

// noteReplaced records that the list was replaced without the changes since it was last confirmed. A
// sibling's history has the releases of the changes up to the time of the list that it was made from.
func (o *origins) noteReplaced(confirmed, now time.Time) {
	o.mu.Lock()
	known := o.historyAt
	o.mu.Unlock()
	if confirmed.IsZero() && known.IsZero() {
		return
	}
	if confirmed.After(known) {
		known = confirmed
	}
	if now.Sub(known) <= origin.AnnounceWait {
		o.releases.Gap(now)
		return
	}
	klog.InfoS("Releases of the servers before now are not known, because the list was out of date for long", "ageMillis", now.Sub(confirmed).Milliseconds())
	o.releases.Restart(now, now)
	o.wakeAnnouncer()
}

// applyHistory applies a sibling's history of the releases, unless its age is unknown. The list that it was
// made from counts from the time at which it was certainly current, and the rest from now, which is later.
func (o *origins) applyHistory(message *origin.Message, sentAt, now time.Time) {
	since, lastListed, ok := message.Times(now)
	if !ok || sentAt.IsZero() {
		return
	}
	o.learning.Lock()
	defer o.learning.Unlock()
	confirmed := sentAt.Add(-message.ListAge())
	o.mu.Lock()
	missed := o.registry.View().IsSubset && confirmed.Sub(o.historyAt) > origin.AnnounceWait
	if confirmed.After(o.historyAt) {
		o.historyAt = confirmed
	}
	o.mu.Unlock()
	if missed {
		o.releases.Restart(since, now)
	}
	o.releases.ExtendFrom(since, confirmed, lastListed, now)
	stored, open := message.Announced()
	o.releases.SetStored(stored, now)
	if now.Sub(sentAt) < origin.AnnounceWait/2 {
		// A message that waited may be of the time before a release left and joined again.
		o.releases.SetOpen(open, sentAt)
	}
	if o.releases.CoversWindow(now) {
		o.informed.Store(true)
	}
}

// informedWait bounds how long an instance that has its list of servers waits for which releases are announced before
// it accepts callers. Otherwise it would not serve while the store is down.
const informedWait = time.Second

// isInformed reports whether this instance knows which releases are announced, or has waited for that. Before, it
// refuses streams at releases that have served for long.
func (o *origins) isInformed(now time.Time) bool {
	if o.informed.Load() {
		return true
	}
	listed := o.firstListedAt.Load()
	return listed != nil && now.Sub(*listed) >= informedWait
}

// historyMessage returns the releases that served lately, for siblings; nil if this instance does not
// know them all.
func (o *origins) historyMessage(now time.Time) *origin.Message {
	confirmed := o.list.confirmed()
	if o.registry.View().IsSubset || confirmed.IsZero() {
		return nil
	}
	o.learning.Lock()
	defer o.learning.Unlock()
	return o.releases.HistoryMessage(max(now.Sub(confirmed), 0), now)
}

// historyForSubscribers returns the history for the instances that this one serves as a hub, and whether
// it names other releases than the last time, or other announcements. Only the heartbeat loop calls it.
func (o *origins) historyForSubscribers(now time.Time) (message *origin.Message, changed bool) {
	if message = o.historyMessage(now); message == nil {
		return nil, false
	}
	served := o.releases.Announcements(now)
	changed = !maps.Equal(served, o.servedHistory)
	o.servedHistory = served
	return message, changed
}

// sendHistory sends the history to siblings, with an echo of a message of theirs if there is one.
func (o *origins) sendHistory(echo *heartbeat.Echo, addresses ...string) {
	sentAt := clock.Now()
	if history := o.historyMessage(sentAt); history != nil {
		o.send(heartbeat.Message{From: o.infoAt(sentAt), NoLoads: true, Hubs: o.usesHubs(), Echo: echo, Origins: history}, addresses...)
	}
}

// introduce sends an instance that has just appeared the releases that served lately, and the records
// that it keeps. It may have restarted without any, or have been cut off.
func (o *origins) introduce(to member.Info, now time.Time) {
	o.sendHistory(heartbeat.EchoOf(to), to.Peer)
	o.mu.Lock()
	o.newcomers = append(o.newcomers, to.Peer)
	o.mu.Unlock()
	o.wake()
}
