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

// followLoads sums the loads (the requests and memory assigned to each server) that siblings send,
// as often as they may send them.
func (in *Instance) followLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.loadsReceived:
		}
		// Loads that other siblings send meanwhile are included in the sum.
		if !wait.For(ctx, in.minBeatPause()) {
			return
		}
		in.sumLoads()
	}
}

// requestLoadSum makes followLoads sum the loads of siblings again.
func (in *Instance) requestLoadSum() {
	select {
	case in.loadsReceived <- struct{}{}:
	default:
	}
}

// sumLoads sets the commitments (the requests and memory that an instance has assigned to
// servers) of the siblings in each server's state.
func (in *Instance) sumLoads() {
	total := in.siblingCommitments(clock.Now())
	for id := range in.servers.Load().ByRun {
		server := in.Fleet.Server(id)
		if others := total[route.ServerID(id)]; server != nil && server.Others() != others {
			server.SetOthers(others)
		}
	}
}

// siblingCommitments returns the commitments of the siblings by server.
func (in *Instance) siblingCommitments(now time.Time) map[uint32]route.Commitment {
	view := in.members.View()
	if !in.usesHubs() {
		return in.peers.sum(view.Serving())
	}
	if !in.hubs.isHub() {
		if sums := in.hubs.hubSums(); sums != nil {
			return sums
		}
	}
	total := in.peers.sum(directContacts(view, in.config.Zone, now, in.config.DirectSilence))
	addLoads(total, in.hubs.otherZones(now))
	return total
}

// info returns what this instance reports about itself.
func (in *Instance) info() member.Info { return in.infoAt(clock.Now()) }

// infoAt is like info, with the uptime at a time. Receivers date the ages in a message by its uptime.
func (in *Instance) infoAt(now time.Time) member.Info {
	info := member.Info{
		Name:        in.config.Name,
		Incarnation: operation.Incarnation(in.incarnation.Load()),
		Zone:        in.config.Zone,
		Caller:      in.config.CallerAddress,
		Peer:        in.config.SiblingAddress,
		Draining:    !in.Ready(),
		Uptime:      now.Sub(in.started),
		Capacity:    in.config.Capacity,
		CutOff:      in.cutOff.Load(),
	}
	list := in.registry.View()
	info.Next, info.UsesSubset = uint64(list.Position), list.IsSubset
	info.Revision = in.Revision()
	return info
}

// loads lists the commitments of this instance by server.
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

// handleMessage handles a sibling's heartbeat.
func (in *Instance) handleMessage(message heartbeat.Message) {
	if !in.accept(&message) {
		return
	}
	if message.Known > operation.Incarnation(in.incarnation.Load()) {
		in.incarnation.Store(uint64(message.Known) + 1)
		klog.InfoS("Raised the incarnation of this instance because a sibling knows it under a later one", "incarnation", in.incarnation.Load(), "sibling", message.From.Name)
	}
	now := clock.Now()
	sentAt := in.dateMessage(message, now)
	in.Origins.apply(message, sentAt, now)
	for _, peer := range message.Peers {
		in.peers.addAddress(peer, now)
	}
	if message.From.Name == in.config.Name || message.From.Peer == "" {
		return
	}
	before, known := in.members.Find(message.From.Name)
	if in.members.ApplyHeartbeat(message.From, now) {
		in.applyMessage(message, sentAt, now)
		in.logSibling(before, known, message.From)
		if !known || before.Incarnation != message.From.Incarnation || before.Draining != message.From.Draining {
			in.hurryHub()
		}
		if !known || before.Incarnation != message.From.Incarnation || now.Sub(before.LastContact) > missedAfter {
			in.sendFullPoison(message.From, now)
			in.sendFullBackpressure(message.From, now)
			in.Origins.introduce(message.From, now)
		}
		return
	}
	if known && before.Incarnation > message.From.Incarnation {
		in.sendKnownIncarnation(message.From, before.Incarnation)
	}
}

// applyMessage applies the contents of a message that is accepted from a sibling.
func (in *Instance) applyMessage(message heartbeat.Message, sentAt, now time.Time) {
	in.peers.record(message, now)
	if message.Digest == nil || !in.followsHub() {
		in.requestLoadSum()
	}
	for _, change := range message.Changing {
		until := now.Add(min(change.Left, longestChange))
		in.peers.addSiblingChange(change.Server, until)
		if server := in.Fleet.ServerByID(change.Server); server != nil {
			server.SetRoleChangeUntil(until)
		}
	}
	in.mergePoison(message, now)
	in.mergeBackpressure(message, now)
	in.applySpent(message, now)
	in.speeds.apply(message, now)
	in.applyUpdates(message, sentAt, now)
	in.mergeEvacuation(message)
	table := applyStoreAge(in.tableFeed, message.TableContactAge, message.From.Revision, sentAt, now)
	list := applyStoreAge(in.list, message.ServersContactAge, message.From.Next, sentAt, now)
	if table || list || message.From.Revision > in.Revision() {
		in.hurryHub()
	}
	in.handleHubMessage(message, now)
}

// longestChange bounds the duration of a role change that a sibling reports. A role change takes
// 6 s in the reference workload.
const longestChange = 30 * time.Second

// hurryHub sends hub digests to the subscribers immediately if this instance is a hub.
func (in *Instance) hurryHub() {
	if in.usesHubs() && in.hubs.isHub() {
		in.sendHeartbeats()
	}
}

// applyStoreAge applies how long ago the store answered a sibling, directly or through other
// instances, and up to which position of the log. It returns whether that is an update that other
// instances wait for. An age in the future would keep all instances from polling until then, so
// it is ignored. sentAt is when the age was sent, zero if unknown.
func applyStoreAge(f *feed, age *time.Duration, progress uint64, sentAt, now time.Time) bool {
	if age == nil || *age < 0 {
		return false
	}
	before := f.certain()
	f.noteAnswer(answerAt(*age, *age, sentAt, now), progress <= f.progress())
	return f.certain().Sub(before) >= f.config.FreshFor/2
}

// logSibling logs when a sibling appears or changes its state.
func (in *Instance) logSibling(before member.Sibling, known bool, now member.Info) {
	if known && before.Incarnation == now.Incarnation && before.Draining == now.Draining && before.State != member.Suspect {
		return
	}
	klog.InfoS("Heartbeat received from new or changed sibling", "sibling", now.Name, "incarnation", now.Incarnation, "zone", now.Zone,
		"before", before.State, "draining", now.Draining, "revision", now.Revision)
}

// sendKnownIncarnation sends a sibling that restarted with its clock set back the incarnation
// under which this instance knows it.
func (in *Instance) sendKnownIncarnation(sibling member.Info, known operation.Incarnation) {
	datagram, err := heartbeat.Encode(heartbeat.Message{From: in.info(), NoLoads: true, Known: known})
	if err == nil {
		err = in.deps.Socket.Send(sibling.Peer, datagram)
	}
	if err != nil {
		klog.InfoS("Failed to notify a restarted sibling of its later known incarnation", "sibling", sibling.Name, "err", err.Error())
	}
}

func (in *Instance) logDropped(err error) {
	klog.V(1).InfoS("Failed to read or decode a heartbeat datagram", "err", err.Error())
}
