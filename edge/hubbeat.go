package edge

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
)

// usesHubs reports whether there are too many instances for each to send its state to all
// others.
func (in *Instance) usesHubs() bool { return in.Instances() > in.config.MeshAtMost }

// hubBeat sends this instance's state to its hubs if that is due. As a hub, it also sends hub
// digests to its subscribers.
func (in *Instance) hubBeat(now time.Time, loads []heartbeat.Load, changed, urgent bool) {
	in.members.SetSuspectAfter(in.config.DirectSilence)
	view := in.members.View()
	self := in.info()
	chosen := in.hubs.chooseAndStore(self, view.Siblings, now)
	ownHubs := chosen[self.Zone]
	hub := containsName(ownHubs, self.Name)
	in.setLongPolls(ownHubs[0].Name == self.Name)
	if before := in.hubs.setFollowed(ownHubs[0].Name); before != ownHubs[0].Name {
		klog.InfoS("Hub chosen", "hub", ownHubs[0].Name, "before", before, "zone", self.Zone, "capacity", ownHubs[0].Capacity,
			"instances", in.Instances(), "isHub", hub)
	}
	settled := in.hubs.setHub(hub, now) >= in.config.HubGrace
	in.watch(settled)
	every := in.config.KeepAliveEvery
	if changed || urgent || in.hubs.takeAcknowledge() {
		every = 0
	}
	// The beat may run a little early, so nine tenths of the interval are enough.
	if in.hubs.due(&in.hubs.lastNotify, every*9/10, now) {
		in.sendToHubs(now, self, chosen, hub, settled, loads)
	}
	if in.hubs.due(&in.hubs.lastDiscovery, in.config.DiscoveryEvery, now) {
		in.discoverHubs(now, view, loads)
		in.introduceHubs()
	}
	if in.hubs.due(&in.hubs.lastReview, in.config.ReviewEvery, now) {
		in.reviewSubscribers()
	}
	in.serveIfDue(now, view, settled, urgent, loads)
}

// urgentDigestPause is the least pause between two urgent hub digests. Reports of many servers that
// change at the same moment reach a hub within some tens of milliseconds. If each were sent on by
// itself, the digests would take most of the bytes that an instance may send and receive a second.
const urgentDigestPause = 25 * time.Millisecond

// serveIfDue sends a hub digest to each subscriber if the pause since the last one is over. An
// urgent digest that is not due yet is sent after urgentDigestPause.
func (in *Instance) serveIfDue(now time.Time, view *member.View, settled, urgent bool, loads []heartbeat.Load) {
	urgent = urgent || in.hubs.urgentPending
	every := max(in.config.HubBeatEvery, in.hubs.pause)
	if urgent {
		every = urgentDigestPause
	}
	if !in.hubs.due(&in.hubs.lastServe, every, now) {
		if in.hubs.urgentPending = urgent; urgent && in.hubs.isHub() {
			in.wake()
		}
		return
	}
	in.hubs.urgentPending = false
	in.hubs.pause = in.config.hubPause(in.serveSubscribers(now, view, settled, urgent, loads))
}

// hubPause returns the pause after digests of the given total size.
func (c Config) hubPause(bytes int) time.Duration {
	pause := time.Duration(float64(bytes) / float64(c.HubBytes) * float64(time.Second))
	return min(pause, c.HubSilence*2/3)
}

// watch lets this instance judge the siblings of its own zone by its direct contact with them. A
// hub does so once all of them have had the time to choose it.
func (in *Instance) watch(settled bool) {
	if settled {
		in.members.Watch(in.config.Zone)
	} else {
		in.members.Watch("")
	}
}

func containsName(infos []member.Info, name string) bool {
	for _, info := range infos {
		if info.Name == name {
			return true
		}
	}
	return false
}

// sendToHubs sends a heartbeat to the hubs of this instance's zone. Only the best hub is
// requested to send digests. An instance that is the best hub itself requests them from the
// second one until it has settled. A hub also requests them from the best hub of each other
// zone.
func (in *Instance) sendToHubs(now time.Time, self member.Info, chosen map[string][]member.Info, hub, settled bool, loads []heartbeat.Load) {
	requested := make(map[string]bool)
	message := in.message(now)
	message.Hubs, message.Loads, message.NoLoads = true, loads, false
	message.Spent = in.Allotments.Spent(now)
	message.Speeds = in.dueOwnSpeeds(now)
	in.hubs.recordSent(message.From.Uptime, loads)
	wanted := !settled || chosen[self.Zone][0].Name != self.Name
	for _, info := range chosen[self.Zone] {
		if info.Name == self.Name {
			continue
		}
		in.sendToHub(now, message, info, wanted, requested)
		wanted = false
	}
	if hub {
		// Other zones receive the commitments and the spending of this zone in its hub's
		// digests.
		message.Loads, message.Spent, message.Speeds = nil, nil, nil
		for zone, infos := range chosen {
			if zone != self.Zone {
				in.sendToHub(now, message, infos[0], true, requested)
			}
		}
	}
	for _, name := range in.hubs.dropSilent(requested, now) {
		klog.InfoS("Hub did not answer and is avoided for a while", "sibling", name, "silentMillis", in.config.HubSilence.Milliseconds(), "avoidedMillis", in.config.HubAvoidedFor.Milliseconds())
	}
}

func (in *Instance) sendToHub(now time.Time, message heartbeat.Message, to member.Info, want bool, requested map[string]bool) {
	message.RequestHub = want
	message.Shares = nil
	if want && message.From.UsesSubset {
		message.Shares = in.uses.Load().Shares()
	}
	if want {
		requested[to.Name] = true
		message.Seen, message.SeenRun = in.hubs.noteRequest(to, now)
	}
	in.send(message, to.Peer)
}

// discoverHubs sends a request for hub digests and for the names of better hubs to some addresses
// that belong to no known sibling. If no hub or subscriber is in contact with this instance, it
// sends the request to known siblings too, whatever their state.
func (in *Instance) discoverHubs(now time.Time, view *member.View, loads []heartbeat.Load) {
	known := make(map[string]bool, len(view.Siblings))
	for _, sibling := range view.Siblings {
		known[sibling.Peer] = true
	}
	unknown := slices.DeleteFunc(in.peers.addresses(now), func(address string) bool { return known[address] })
	if !in.hubs.connected(now) {
		unknown = slices.AppendSeq(unknown, maps.Keys(known))
	}
	if len(unknown) == 0 {
		return
	}
	message := in.message(now)
	message.Hubs, message.RequestHub, message.Loads, message.NoLoads = true, true, loads, false
	in.send(message, in.sample(unknown, in.config.DiscoveryAtOnce)...)
}

// hubsOfZones returns the hubs of each zone as this instance chose them at the last beat.
func (in *Instance) hubsOfZones(now time.Time) map[string][]member.Info {
	if chosen := in.hubs.lastChoice(now); chosen != nil {
		return chosen
	}
	return in.hubs.choose(in.info(), in.members.View().Siblings, now)
}

// introduceHubs informs the subscribing hubs of other zones of the hubs of this zone. Without
// that, two hubs that have each found half of their zone would never learn of each other.
func (in *Instance) introduceHubs() {
	for name, to := range in.hubs.current() {
		if to.zone != in.config.Zone {
			in.redirect(member.Info{Name: name, Zone: to.zone, Peer: to.peer})
		}
	}
}

// serveSubscribers sends a hub digest to each subscriber and returns the total number of bytes
// sent.
func (in *Instance) serveSubscribers(now time.Time, view *member.View, settled, urgent bool, loads []heartbeat.Load) (bytes int) {
	subscribers := in.hubs.toServe(now, in.config.KeepAliveEvery, urgent)
	if len(subscribers) == 0 {
		return 0
	}
	in.hubs.updateLog(view.Siblings, settled)
	zone := in.peers.sum(directContacts(view, in.config.Zone, now, in.config.DirectSilence))
	addLoads(zone, commitments(loads))
	total := in.hubs.otherZones(now)
	addLoads(total, zone)
	sums, err := in.dueSums(zone, total)
	if err != nil {
		klog.ErrorS(err, "Failed to encode hub digests for subscribers")
		return 0
	}
	message := in.message(now)
	message.Hubs = true
	message.Changing = in.peers.allUnderWay(now)
	instances := in.Instances()
	teams := in.Allotments.Balances(in.config.TeamsAtOnce, now)
	speeds := in.dueHubSpeeds(now)
	history, changed := in.Origins.historyForSubscribers(in.started.Add(message.From.Uptime))
	news := urgent || changed || message.Poison != nil || message.Pressure != nil || len(message.Changing) > 0 || len(teams) > 0
	repeat := newRepetition(view, in.config.Zone, in.config.RepeatedAtOnce, now)
	for _, to := range subscribers {
		digest := &heartbeat.Digest{Summed: true, Teams: teams, Instances: instances, After: to.seen, ReceiverUptime: to.uptime, Outgrown: to.outgrown}
		digest.Zone = to.zone != in.config.Zone
		digest.Observations, digest.To = in.hubs.missingChanges(to.seen, view, repeat.keep(digest.Zone), now)
		some := false
		if digest.Loads, some, err = sums.of(to.subscriber, digest.Zone); err != nil {
			klog.ErrorS(err, "Failed to encode hub digest for subscriber", "sibling", to.name)
			continue
		}
		digest.Speeds = speeds.of(to.subscriber, digest.Zone, sums.servers, now)
		if to.part && !to.due && !news && !some && len(digest.Observations) == 0 && len(digest.Speeds) == 0 {
			continue
		}
		if settled {
			digest.Observations = append(digest.Observations, repeat.next(digest.Zone, &to.turn)...)
		}
		in.hubs.recordDigest(to.name, to.turn, now)
		message.Digest, message.Origins, message.Echo = digest, nil, &heartbeat.Echo{Run: to.run, Uptime: to.uptime}
		if to.part {
			message.Origins = history
		}
		bytes += in.send(message, to.peer)
	}
	return bytes
}

// directContacts returns the siblings of a zone whose last direct contact is at most the given
// duration ago.
func directContacts(view *member.View, zone string, now time.Time, within time.Duration) []*member.Sibling {
	var siblings []*member.Sibling
	for _, sibling := range view.Siblings {
		if sibling.Zone == zone && now.Sub(sibling.LastContact) <= within {
			siblings = append(siblings, sibling)
		}
	}
	return siblings
}

// handleHubMessage handles the parts of a message that concern hubs and their subscribers.
func (in *Instance) handleHubMessage(message heartbeat.Message, now time.Time) {
	if message.Digest != nil {
		in.applyDigest(message, now)
	}
	switch {
	case message.RequestHub:
		in.handleSubscription(message, now)
	case !message.Hubs && in.usesHubs():
		in.redirect(message.From)
	}
}

// applyDigest merges the digest of a hub into this instance's view.
func (in *Instance) applyDigest(message heartbeat.Message, now time.Time) {
	former := in.hubs.isFormer(message.From.Name, now)
	refused := 0
	for _, seen := range message.Digest.Observations {
		if seen.Age < 0 {
			// An observation from the future would never expire.
			continue
		}
		if former && seen.State != member.Alive && seen.State != member.Leaving {
			// A former hub has no contact any more with the siblings that left it too.
			in.hubs.formerStates.Add(1)
			continue
		}
		before, known := in.members.Find(seen.Info.Name)
		if in.members.Report(seen.Info, seen.State, now.Add(-seen.Age), now) {
			refused++
			in.hubs.outdatedStates.Add(1)
		}
		if known && before.Reported != "" && before.Reported != seen.State {
			klog.InfoS("Sibling state reported", "sibling", seen.Info.Name, "incarnation", seen.Info.Incarnation, "zone", seen.Info.Zone,
				"before", before.Reported, "state", seen.State, "by", message.From.Name)
		}
	}
	in.members.ConfirmReports(now)
	if in.hubs.applyDigest(message, in.config.Zone, refused > 0, now) {
		klog.InfoS("States of siblings are older than those of another hub and are requested again", "hub", message.From.Name, "siblings", refused,
			"afterMillis", refusedStatesAfter.Milliseconds())
	}
	if message.Digest.Outgrown {
		in.outgrown.Store(&message.From.Name)
	}
	if message.Digest.Summed {
		in.sumLoads()
	}
}

// handleSubscription serves an instance that requests digests from this one, or sends it better
// hubs. Any instance of the own zone is served. Of another zone, only its hubs are served.
func (in *Instance) handleSubscription(message heartbeat.Message, now time.Time) {
	chosen := in.hubsOfZones(now)
	near := message.From.Zone == in.config.Zone
	served := near || containsName(chosen[message.From.Zone], message.From.Name)
	if served {
		in.hubs.subscribe(message, operation.Incarnation(in.incarnation.Load()), now)
	}
	if !served || (near && !containsName(chosen[in.config.Zone], in.config.Name)) {
		in.redirect(message.From)
	}
}

// redirect sends an instance the hubs of its own zone and of this instance's zone.
func (in *Instance) redirect(to member.Info) {
	now := clock.Now()
	chosen := in.hubsOfZones(now)
	digest := &heartbeat.Digest{Instances: in.Instances()}
	for _, zone := range []string{to.Zone, in.config.Zone} {
		for _, info := range chosen[zone] {
			if sibling, known := in.members.Find(info.Name); known && info.Name != to.Name {
				digest.Observations = append(digest.Observations, observationOf(info, sibling, now))
			}
		}
	}
	message := in.message(now)
	message.Hubs, message.Digest = true, digest
	in.send(message, to.Peer)
}
