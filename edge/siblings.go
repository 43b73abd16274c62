package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// followLoads takes in what siblings send of their loads, as often as they may
// send it.
func (in *Instance) followLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.loadsHeard:
		}
		// What others send meanwhile is summed with it.
		if !wait.For(ctx, in.quickBeat()) {
			return
		}
		in.sumLoads()
	}
}

// hearLoads has what siblings have sent summed anew.
func (in *Instance) hearLoads() {
	select {
	case in.loadsHeard <- struct{}{}:
	default:
	}
}

// sumLoads notes in each server's state what the siblings have committed there.
func (in *Instance) sumLoads() {
	total := in.others(clock.Now())
	for id := range in.servers.Load().ByRun {
		server := in.Fleet.Server(id)
		if others := total[route.ServerID(id)]; server != nil && server.Others() != others {
			server.SetOthers(others)
		}
	}
}

// others is what the siblings have committed, by server.
func (in *Instance) others(now time.Time) map[uint32]route.Commitment {
	view := in.members.View()
	if !in.usesHubs() {
		return in.peers.sum(view.Serving())
	}
	if !in.hubs.isHub() {
		if sums := in.hubs.sumsOf(); sums != nil {
			return sums
		}
	}
	total := in.peers.sum(direct(view, in.config.Zone, now, in.config.DirectSilence))
	addLoads(total, in.hubs.others(now))
	return total
}

// info is what this instance says about itself.
func (in *Instance) info() member.Info {
	info := member.Info{
		Name:        in.config.Name,
		Incarnation: operation.Incarnation(in.self.Load()),
		Zone:        in.config.Zone,
		Caller:      in.config.CallerAddress,
		Peer:        in.config.SiblingAddress,
		Draining:    !in.Ready(),
		Uptime:      clock.Since(in.started),
		Capacity:    in.config.Capacity,
	}
	list := in.registry.View()
	info.Next, info.Part = uint64(list.Position), list.Part
	info.Revision = in.Revision()
	return info
}

// loads lists what this instance has committed, by server.
func (in *Instance) loads() []heartbeat.Load {
	var loads []heartbeat.Load
	for id := range in.servers.Load().ByRun {
		server := in.Fleet.Server(id)
		if server == nil {
			continue
		}
		own := server.Own()
		if own != (route.Commitment{}) {
			loads = append(loads, heartbeat.Load{
				Server: route.ServerID(id), InFlight: own.InFlight, Unread: own.Unread, Memory: own.Memory,
			})
		}
	}
	slices.SortFunc(loads, func(a, b heartbeat.Load) int { return cmp.Compare(a.Server, b.Server) })
	return loads
}

// heard takes a sibling's heartbeat.
func (in *Instance) heard(message heartbeat.Message) {
	if message.Known > operation.Incarnation(in.self.Load()) {
		in.self.Store(uint64(message.Known) + 1)
		klog.InfoS("A sibling knows a later run of this instance; counting on from it", "incarnation", in.self.Load(), "sibling", message.From.Name)
	}
	now := clock.Now()
	for _, peer := range message.Peers {
		in.peers.learn(peer, now)
	}
	if message.From.Name == in.config.Name || message.From.Peer == "" {
		return
	}
	before, known := in.members.Find(message.From.Name)
	if in.members.Heard(message.From, now) {
		in.take(message, now)
		in.logSibling(before, known, message.From)
		if !known || before.Incarnation != message.From.Incarnation || before.Draining != message.From.Draining {
			in.hurryHub()
		}
		if !known || before.Incarnation != message.From.Incarnation || now.Sub(before.Heard) > missedAfter {
			in.introducePoison(message.From, now)
			in.introduceBackpressure(message.From, now)
		}
		return
	}
	if known && before.Incarnation > message.From.Incarnation {
		in.correct(message.From, before.Incarnation)
	}
}

// take takes in what a sibling says that counts as heard.
func (in *Instance) take(message heartbeat.Message, now time.Time) {
	in.peers.take(message, now)
	if message.Digest == nil || !in.followsHub() {
		in.hearLoads()
	}
	for _, change := range message.Changing {
		until := now.Add(min(change.Left, longestChange))
		in.peers.hears(change.Server, until)
		if server := in.Fleet.ServerByID(change.Server); server != nil {
			server.Changing(until)
		}
	}
	in.takePoison(message, now)
	in.takeBackpressure(message, now)
	in.takeSpent(message, now)
	in.takeUpdates(message, now)
	in.takeEvacuation(message)
	table := hears(in.tableFeed, message.TableHeard, message.From.Revision, now)
	list := hears(in.list, message.ServersHeard, message.From.Next, now)
	if table || list || message.From.Revision > in.Revision() {
		in.hurryHub()
	}
	in.heardOfHubs(message, now)
}

// longestChange bounds what is believed of a server's change of role: it takes 6 s
// (source: the users' sheets).
const longestChange = 30 * time.Second

// hurryHub has a hub send those that it serves at once.
func (in *Instance) hurryHub() {
	if in.usesHubs() && in.hubs.isHub() {
		in.sendHeartbeats()
	}
}

// hears takes in how long ago the store answered a sibling, or someone that it
// heard of, how far its log went, and returns whether that is an update that others wait
// for. An answer from the future would keep everyone from asking until then.
func hears(f *feed, age *time.Duration, progress uint64, now time.Time) bool {
	if age == nil || *age < 0 {
		return false
	}
	before := f.latest()
	f.hear(now.Add(-*age), progress <= f.progress())
	return f.latest().Sub(before) >= f.config.FreshFor/2
}

// logSibling writes a line when a sibling appears or changes its state.
func (in *Instance) logSibling(before member.Sibling, known bool, now member.Info) {
	if known && before.Incarnation == now.Incarnation && before.Draining == now.Draining && before.State != member.Suspect {
		return
	}
	klog.InfoS("Sibling heard", "sibling", now.Name, "incarnation", now.Incarnation, "zone", now.Zone,
		"before", before.State, "draining", now.Draining, "revision", now.Revision)
}

// correct sends a sibling that restarted with its clock set back the incarnation under
// which it is known here.
func (in *Instance) correct(sibling member.Info, known operation.Incarnation) {
	datagram, err := heartbeat.Encode(heartbeat.Message{From: in.info(), Known: known})
	if err == nil {
		err = in.deps.Socket.Send(sibling.Peer, datagram)
	}
	if err != nil {
		klog.InfoS("Sibling not sent its later run", "sibling", sibling.Name, "err", err.Error())
	}
}

func (in *Instance) strange(err error) {
	klog.V(1).InfoS("Datagram dropped", "err", err.Error())
}
