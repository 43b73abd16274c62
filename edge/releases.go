package edge

import (
	"context"
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
// from their siblings, and after a loss of all instances from the store, where one instance keeps it.

const (
	// historyWait is how long an instance that starts waits for the history of a sibling before it reads
	// the stored releases. Siblings send it when they receive the first heartbeat.
	historyWait = 800 * time.Millisecond
	// historyGap is how long the list of servers may be unconfirmed before it is replaced without the
	// changes in between. No server starts, serves streams and is gone again in that time.
	historyGap = 5 * time.Second
)

// setListed records the releases of the servers on a new list.
func (o *origins) setListed(list *registry.View, now time.Time) {
	if list.Position == 0 {
		return
	}
	listed := make(map[origin.Origin]bool)
	for i := range list.Servers {
		listed[originOf(&list.Servers[i].Entry)] = true
	}
	o.releases.SetListed(listed, !list.IsSubset, now)
	o.wake()
}

// setWindow sets how long ago streams may have begun, from the timeouts of the table's routes.
func (o *origins) setWindow(view *table.View) {
	window := originWindow
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

// noteReplaced records that the list was replaced without the changes since it was last confirmed.
func (o *origins) noteReplaced(confirmed, now time.Time) {
	o.mu.Lock()
	informed := o.historyReceivedAt.After(confirmed)
	o.mu.Unlock()
	if confirmed.IsZero() || informed || now.Sub(confirmed) <= historyGap {
		return
	}
	klog.InfoS("Releases of the servers before now are not known, because the list was out of date for long", "ageMillis", now.Sub(confirmed).Milliseconds())
	o.releases.Restart(now, now)
}

// applyHistory applies a sibling's history of the releases.
func (o *origins) applyHistory(message *origin.Message, now time.Time) {
	since, lastListed, ok := message.Times(now)
	if !ok {
		return
	}
	confirmed := now.Add(-message.ListAge())
	o.mu.Lock()
	missed := o.registry.View().IsSubset && confirmed.Sub(o.historyAt) > historyGap
	if confirmed.After(o.historyAt) {
		o.historyAt, o.historyReceivedAt = confirmed, now
	}
	o.mu.Unlock()
	if missed {
		o.releases.Restart(since, now)
	}
	o.releases.Extend(since, lastListed, now)
}

// historyMessage returns the releases that served lately, for siblings; nil if this instance does not
// know them all.
func (o *origins) historyMessage(now time.Time) *origin.Message {
	confirmed := o.list.confirmed()
	if o.registry.View().IsSubset || confirmed.IsZero() {
		return nil
	}
	return o.releases.HistoryMessage(now.Sub(confirmed), now)
}

// historyForSubscribers returns the history for the instances that this one serves as a hub, and whether
// other releases are listed than the last time. Only the heartbeat loop calls it.
func (o *origins) historyForSubscribers(now time.Time) (message *origin.Message, changed bool) {
	if message = o.historyMessage(now); message == nil {
		return nil, false
	}
	lately := o.releases.Lately(now)
	changed = len(lately) != len(o.servedHistory)
	for at := range lately {
		changed = changed || !o.servedHistory[at]
	}
	o.servedHistory = make(map[origin.Origin]bool, len(lately))
	for at := range lately {
		o.servedHistory[at] = true
	}
	return message, changed
}

// introduce sends an instance that has just appeared the releases that served lately, and the records
// that it keeps. It may have restarted without any, or have been cut off.
func (o *origins) introduce(to member.Info, now time.Time) {
	if history := o.historyMessage(now); history != nil {
		o.send(heartbeat.Message{Origins: history}, to.Peer)
	}
	o.mu.Lock()
	o.newcomers = append(o.newcomers, to.Peer)
	o.mu.Unlock()
	o.wake()
}

// ReleaseStore keeps the releases that served lately in the platform's store.
type ReleaseStore interface {
	// Load returns the releases that were saved last. It returns false if none ever were.
	Load(ctx context.Context) (releases map[origin.Origin]bool, saved bool, err error)
	Save(ctx context.Context, releases map[origin.Origin]bool) error
}

// followReleases reads the stored releases where no sibling knows the history. The instance of the
// lowest rank stores them when they change.
func (o *origins) followReleases(ctx context.Context) {
	var stored map[origin.Origin]bool
	era, failures := o.era(), 0
	o.pause(ctx, historyWait)
	for ctx.Err() == nil {
		if current := o.era(); current != era {
			// The store may have lost the last record.
			era, stored = current, nil
		}
		var err error
		stored, err = o.keepReleases(ctx, stored)
		if err == nil {
			failures = 0
			pause := o.config.IdleCheckEvery
			if o.registry.View().Position == 0 {
				pause = o.config.Members.HeartbeatEvery
			}
			o.pause(ctx, pause)
			continue
		}
		failures++
		o.pause(ctx, o.backoff(failures))
	}
}

// keepReleases reads or stores the releases if that is due. It returns what is stored, or nil if this
// instance does not know.
func (o *origins) keepReleases(ctx context.Context, stored map[origin.Origin]bool) (map[origin.Origin]bool, error) {
	now, list := clock.Now(), o.registry.View()
	if list.IsSubset || list.Position == 0 || o.stopping.Load() {
		return nil, nil
	}
	covered := o.releases.CoversWindow(now)
	// An instance that has just started does not know its rank yet.
	keeps := o.orders.rank() == 0 && clock.Since(o.started) >= o.config.HubGrace
	switch {
	case stored == nil && (keeps || !covered):
		return o.loadReleases(ctx, now)
	case !keeps && covered:
		return nil, nil
	case !keeps:
		return stored, nil
	}
	releases := make(map[origin.Origin]bool)
	for at := range o.releases.Lately(now) {
		releases[at] = true
	}
	if !covered {
		maps.Copy(releases, stored)
	}
	if maps.Equal(releases, stored) {
		return stored, nil
	}
	if err := o.deps.Releases.Save(ctx, releases); err != nil {
		logStore("Failed to store the releases of the servers", err)
		return stored, err
	}
	return releases, nil
}

// loadReleases reads the stored releases and adds them to the history, which covers all streams then.
func (o *origins) loadReleases(ctx context.Context, now time.Time) (map[origin.Origin]bool, error) {
	stored, saved, err := o.deps.Releases.Load(ctx)
	if err != nil {
		logStore("Failed to read the stored releases of the servers", err)
		return nil, err
	}
	if !saved {
		return make(map[origin.Origin]bool), nil
	}
	if o.releases.CoversWindow(now) {
		return stored, nil
	}
	lastListed := make(map[origin.Origin]time.Time, len(stored))
	for at := range stored {
		lastListed[at] = now
	}
	klog.InfoS("Read the releases of the servers that the store keeps", "releases", len(stored))
	o.releases.Extend(now.Add(-o.releases.Window()), lastListed, now)
	return stored, nil
}
