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

// usesHubs says whether there are too many instances for each to send its state to all others.
func (in *Instance) usesHubs() bool { return in.Instances() > in.config.MeshAtMost }

// hubBeat sends the hubs this instance's state, if that is due, and those that ask
// this instance what all others do.
func (in *Instance) hubBeat(now time.Time, loads []heartbeat.Load, changed, urgent bool) {
	in.members.SetSuspectAfter(in.config.DirectSilence)
	view := in.members.View()
	self := in.info()
	chosen := in.hubs.chooseAnew(self, view.Siblings, now)
	mine := chosen[self.Zone]
	hub := holds(mine, self.Name)
	in.setReads(mine[0].Name == self.Name)
	if before := in.hubs.follow(mine[0].Name); before != mine[0].Name {
		klog.InfoS("Hub chosen", "hub", mine[0].Name, "before", before, "zone", self.Zone, "capacity", mine[0].Capacity,
			"instances", in.Instances(), "isHub", hub)
	}
	settled := in.hubs.serve(hub, now) >= in.config.HubGrace
	in.watch(settled)
	every := in.config.KeepEvery
	if changed || urgent || in.hubs.takeAcknowledge() {
		every = 0
	}
	// The beat may come a little early.
	if in.hubs.due(&in.hubs.notified, every*9/10, now) {
		in.sendToHubs(now, self, chosen, hub, settled, loads)
	}
	if in.hubs.due(&in.hubs.greeted, in.config.HelloEvery, now) {
		in.greet(now, view, loads)
		in.introduceHubs()
	}
	if in.hubs.due(&in.hubs.reviewed, in.config.ReviewEvery, now) {
		in.reviewSubscribers()
	}
	every = max(in.config.HubBeatEvery, in.hubs.pause)
	if urgent {
		every = 0
	}
	if in.hubs.due(&in.hubs.served, every, now) {
		in.hubs.pause = in.config.hubPause(in.serveSubscribers(now, view, settled, urgent, loads))
	}
}

// hubPause is the pause after digests of so many bytes in all.
func (c Config) hubPause(bytes int) time.Duration {
	pause := time.Duration(float64(bytes) / float64(c.HubBytes) * float64(time.Second))
	return min(pause, c.HubSilence*2/3)
}

// watch judges the members of the own zone by what is heard of them, once all of them
// have had the time to choose this instance as a hub.
func (in *Instance) watch(settled bool) {
	if settled {
		in.members.Watch(in.config.Zone)
	} else {
		in.members.Watch("")
	}
}

func holds(infos []member.Info, name string) bool {
	for _, info := range infos {
		if info.Name == name {
			return true
		}
	}
	return false
}

// sendToHubs sends a heartbeat to the hubs of the own zone. The best of them is asked
// for what it knows, and by itself, until it has settled, the second. A hub asks the
// best one of each other zone too.
func (in *Instance) sendToHubs(now time.Time, self member.Info, chosen map[string][]member.Info, hub, settled bool, loads []heartbeat.Load) {
	asked := make(map[string]bool)
	message := in.message(now)
	message.Hubs, message.Loads = true, loads
	message.Spent = in.Allotments.Spent(now)
	in.hubs.say(message.From.Uptime, loads)
	wanted := !settled || chosen[self.Zone][0].Name != self.Name
	for _, info := range chosen[self.Zone] {
		if info.Name == self.Name {
			continue
		}
		in.sendToHub(now, message, info, wanted, asked)
		wanted = false
	}
	if hub {
		// Other zones hear what this one has committed and spent in its hub's digests.
		message.Loads, message.Spent = nil, nil
		for zone, infos := range chosen {
			if zone != self.Zone {
				in.sendToHub(now, message, infos[0], true, asked)
			}
		}
	}
	for _, name := range in.hubs.review(asked, now) {
		klog.InfoS("Hub silent; left alone for a while", "sibling", name, "silentMillis", in.config.HubSilence.Milliseconds(), "avoidedMillis", in.config.HubAvoidedFor.Milliseconds())
	}
}

func (in *Instance) sendToHub(now time.Time, message heartbeat.Message, to member.Info, want bool, asked map[string]bool) {
	message.Want = want
	message.Uses = nil
	if want && message.From.Part {
		message.Uses = in.uses.Load().Shares()
	}
	if want {
		asked[to.Name] = true
		message.Seen, message.SeenRun = in.hubs.ask(to, now)
	}
	in.send(message, to.Peer)
}

// greet asks some addresses that belong to no known sibling who their hubs are. One
// that nobody answers asks siblings too, whatever it believes of them.
func (in *Instance) greet(now time.Time, view *member.View, loads []heartbeat.Load) {
	known := make(map[string]bool, len(view.Siblings))
	for _, sibling := range view.Siblings {
		known[sibling.Peer] = true
	}
	strangers := slices.DeleteFunc(in.peers.addresses(now), func(address string) bool { return known[address] })
	if !in.hubs.connected(now) {
		strangers = slices.AppendSeq(strangers, maps.Keys(known))
	}
	if len(strangers) == 0 {
		return
	}
	message := in.message(now)
	message.Hubs, message.Want, message.Loads = true, true, loads
	in.send(message, in.some(strangers, in.config.HelloAtOnce)...)
}

// hubsOfZones returns the hubs of each zone as this instance chose them with the last beat.
func (in *Instance) hubsOfZones(now time.Time) map[string][]member.Info {
	if chosen := in.hubs.lastChoice(now); chosen != nil {
		return chosen
	}
	return in.hubs.choose(in.info(), in.members.View().Siblings, now)
}

// introduceHubs lets the hubs of other zones that ask this one know which hubs their zone
// has: two that have each found half of their zone would else never hear of each other.
func (in *Instance) introduceHubs() {
	for name, to := range in.hubs.current() {
		if to.zone != in.config.Zone {
			in.redirect(member.Info{Name: name, Zone: to.zone, Peer: to.peer})
		}
	}
}

// serveSubscribers sends a digest to each instance that has asked lately, and returns
// their bytes.
func (in *Instance) serveSubscribers(now time.Time, view *member.View, settled, urgent bool, loads []heartbeat.Load) (bytes int) {
	subscribers := in.hubs.toServe(now, in.config.KeepEvery, urgent)
	if len(subscribers) == 0 {
		return 0
	}
	in.hubs.account(view.Siblings, settled)
	zone := in.peers.sum(direct(view, in.config.Zone, now, in.config.DirectSilence))
	addLoads(zone, commitments(loads))
	total := in.hubs.others(now)
	addLoads(total, zone)
	sums, err := in.dueSums(zone, total)
	if err != nil {
		klog.ErrorS(err, "Digests not sent")
		return 0
	}
	message := in.message(now)
	message.Hubs = true
	message.Changing = in.peers.allUnderWay(now)
	instances := in.Instances()
	teams := in.Allotments.Levels(in.config.TeamsAtOnce, now)
	news := urgent || message.Poison != nil || message.Pressure != nil || len(message.Changing) > 0 || len(teams) > 0
	repeat := newRepetition(view, in.config.Zone, in.config.RepeatedAtOnce, now)
	for _, to := range subscribers {
		digest := &heartbeat.Digest{Summed: true, Teams: teams, Instances: instances, After: to.seen, Echo: to.uptime, Outgrown: to.outgrown}
		digest.Zone = to.zone != in.config.Zone
		digest.Observations, digest.Upto = in.hubs.lacks(to.seen, view, repeat.keep(digest.Zone), now)
		some := false
		if digest.Loads, some, err = sums.of(to.subscriber, digest.Zone); err != nil {
			klog.ErrorS(err, "Digest not sent", "sibling", to.name)
			continue
		}
		if to.part && !to.due && !news && !some && len(digest.Observations) == 0 {
			continue
		}
		if settled {
			digest.Observations = append(digest.Observations, repeat.next(digest.Zone, &to.turn)...)
		}
		in.hubs.told(to.name, to.turn, now)
		message.Digest = digest
		bytes += in.send(message, to.peer)
	}
	return bytes
}

// direct returns the siblings of a zone that were heard directly of late.
func direct(view *member.View, zone string, now time.Time, within time.Duration) []*member.Sibling {
	var heard []*member.Sibling
	for _, sibling := range view.Siblings {
		if sibling.Zone == zone && now.Sub(sibling.Heard) <= within {
			heard = append(heard, sibling)
		}
	}
	return heard
}

// heardOfHubs takes what a message says between hubs and members.
func (in *Instance) heardOfHubs(message heartbeat.Message, now time.Time) {
	if message.Digest != nil {
		in.takeDigest(message, now)
	}
	switch {
	case message.Want:
		in.wanted(message, now)
	case !message.Hubs && in.usesHubs():
		in.redirect(message.From)
	}
}

// takeDigest takes in what a hub knows.
func (in *Instance) takeDigest(message heartbeat.Message, now time.Time) {
	for _, seen := range message.Digest.Observations {
		if seen.Age < 0 {
			// From the future: it would count for ever.
			continue
		}
		before, known := in.members.Find(seen.Info.Name)
		in.members.Report(seen.Info, seen.State, now.Add(-seen.Age), now)
		if known && before.Reported != "" && before.Reported != seen.State {
			klog.InfoS("Sibling reported", "sibling", seen.Info.Name, "incarnation", seen.Info.Incarnation, "zone", seen.Info.Zone,
				"before", before.Reported, "state", seen.State, "by", message.From.Name)
		}
	}
	in.members.ConfirmReports(now)
	in.hubs.take(message, in.config.Zone, now)
	if message.Digest.Outgrown {
		in.outgrown.Store(&message.From.Name)
	}
	if message.Digest.Summed {
		in.sumLoads()
	}
}

// wanted serves an instance that asks this one to be its hub, or names it better
// ones: of its own zone anyone is served, of another one its hubs are.
func (in *Instance) wanted(message heartbeat.Message, now time.Time) {
	chosen := in.hubsOfZones(now)
	near := message.From.Zone == in.config.Zone
	served := near || holds(chosen[message.From.Zone], message.From.Name)
	if served {
		in.hubs.asked(message, operation.Incarnation(in.self.Load()), now)
	}
	if !served || (near && !holds(chosen[in.config.Zone], in.config.Name)) {
		in.redirect(message.From)
	}
}

// redirect names an instance the hubs that its zone and this one's have.
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
