package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// followLoads takes in what siblings tell of their loads, as often as they may
// tell it.
func (in *Instance) followLoads(ctx context.Context) {
	for wait.For(ctx, in.quickBeat()) {
		if in.loadsHeard.Swap(false) {
			in.sumLoads()
		}
	}
}

// sumLoads tells each server's state what the siblings have committed there.
func (in *Instance) sumLoads() {
	total := in.peers.sum(in.members.View().Serving())
	for id := range in.servers.Load().ByRun {
		server := in.Fleet.Server(id)
		if others := total[route.ServerID(id)]; server != nil && server.Others() != others {
			server.SetOthers(others)
		}
	}
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
		Uptime:      time.Since(in.started),
		Next:        in.registry.View().Position,
	}
	info.Revision = in.Revision()
	return info
}

// beat sends heartbeats until ctx ends, and one more whenever there is news.
// Where there are many siblings each gets only some, and is given more time
// before it counts as silent; those of the same zone get more, since bytes
// between zones are dear.
func (in *Instance) beat(ctx context.Context) {
	in.sendHeartbeats()
	var told []heartbeat.Load
	sent, turn := time.Now(), 0
	for wait.For(ctx, in.quickBeat()) {
		now := time.Now()
		loads := in.loads()
		if now.Sub(sent) < in.config.Members.HeartbeatEvery && !newsIn(told, loads) {
			continue
		}
		addresses := in.peers.addresses(now)
		every := max(1, len(addresses)/in.config.FarPerBeat)
		in.members.SetSuspectAfter(max(in.config.Members.SuspectAfter, time.Duration(every*patientBeats)*in.config.Members.HeartbeatEvery))
		in.sendTo(in.due(addresses, turn, every), addresses, loads)
		told, sent = loads, now
		turn++
	}
}

// quickBeat is the least pause between two heartbeats. Siblings that do not
// know of each other's requests send theirs to the same engine, so news are told
// at once where there are few siblings; each datagram costs every one of them.
func (in *Instance) quickBeat() time.Duration {
	pause := time.Duration(len(in.members.View().Siblings)) * in.config.NewsPerSibling
	return min(max(pause, in.config.NewsEvery), in.config.Members.HeartbeatEvery)
}

// newsMemory is the change of the memory committed at an engine that siblings
// should hear of at once: a percent of an engine (source: the users' sheets).
const newsMemory = 1000

// newsIn says whether loads have changed so that siblings would decide
// otherwise.
func newsIn(told, loads []heartbeat.Load) bool {
	if len(told) != len(loads) {
		return true
	}
	for i, load := range loads {
		before := told[i]
		if before.Server != load.Server || before.InFlight != load.InFlight || before.Unread != load.Unread {
			return true
		}
		if off := load.Memory - before.Memory; off >= newsMemory || off <= -newsMemory {
			return true
		}
	}
	return false
}

// patientBeats is how many heartbeats may be missing before a sibling counts
// as silent, where they are rare: datagrams are lost now and then.
const patientBeats = 4

// due picks the siblings that get a heartbeat in a turn.
func (in *Instance) due(addresses []string, turn, every int) []string {
	if every == 1 {
		return addresses
	}
	near := make(map[string]bool)
	for _, sibling := range in.members.View().Siblings {
		if sibling.Zone == in.config.Zone {
			near[sibling.Peer] = true
		}
	}
	nearEvery := max(1, len(near)/in.config.NearPerBeat)
	var picked []string
	for i, address := range addresses {
		turns := every
		if near[address] {
			turns = nearEvery
		}
		if (i+turn)%turns == 0 {
			picked = append(picked, address)
		}
	}
	return picked
}

// sendHeartbeats sends one to every sibling.
func (in *Instance) sendHeartbeats() {
	addresses := in.peers.addresses(time.Now())
	in.sendTo(addresses, addresses, in.loads())
}

// sendTo sends a heartbeat that tells of loads and of some known addresses.
func (in *Instance) sendTo(addresses, known []string, loads []heartbeat.Load) {
	now := time.Now()
	// Ages come before what they are the ages of: news that come in between would
	// make what is older look as new.
	table, servers := in.tableFeed.age(now), in.list.age(now)
	datagram, err := heartbeat.Encode(heartbeat.Message{
		From: in.info(), Loads: loads, Peers: in.somePeers(known), Changing: in.peers.underWay(now),
		TableHeard: table, ServersHeard: servers,
	})
	if err != nil {
		klog.ErrorS(err, "Heartbeat not sent")
		return
	}
	for _, address := range addresses {
		if err := in.deps.Socket.Send(address, datagram); err != nil {
			klog.V(1).InfoS("Heartbeat not sent", "sibling", address, "err", err.Error())
		}
	}
}

// somePeers picks addresses that the receivers may not know.
func (in *Instance) somePeers(addresses []string) []string {
	if len(addresses) <= in.config.PeersTold {
		return addresses
	}
	first := int(in.deps.Random() * float64(len(addresses)))
	picked := make([]string, 0, in.config.PeersTold)
	for i := range in.config.PeersTold {
		picked = append(picked, addresses[(first+i)%len(addresses)])
	}
	return picked
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
	now := time.Now()
	for _, peer := range message.Peers {
		in.peers.learn(peer, now)
	}
	if message.From.Name == in.config.Name || message.From.Peer == "" {
		return
	}
	before, known := in.members.Find(message.From.Name)
	if in.members.Heard(message.From, now) {
		in.peers.take(message, now)
		in.loadsHeard.Store(true)
		for _, change := range message.Changing {
			if server := in.Fleet.ServerByID(change.Server); server != nil {
				server.Changing(now.Add(change.Left))
			}
		}
		hears(in.tableFeed, message.TableHeard, message.From.Revision, now)
		hears(in.list, message.ServersHeard, message.From.Next, now)
		in.logSibling(before, known, message.From)
		return
	}
	if known && before.Incarnation > message.From.Incarnation {
		in.correct(message.From, before.Incarnation)
	}
}

// hears takes in how long ago the store told a sibling, or someone that it
// heard of, how far its log went. An answer from the future would keep everyone
// from asking until then.
func hears(f *feed, age *time.Duration, progress uint64, now time.Time) {
	if age != nil && *age >= 0 {
		f.hear(now.Add(-*age), progress <= f.progress())
	}
}

// logSibling writes a line when a sibling appears or changes its state.
func (in *Instance) logSibling(before member.Sibling, known bool, now member.Info) {
	if known && before.Incarnation == now.Incarnation && before.Draining == now.Draining && before.State != member.Suspect {
		return
	}
	klog.InfoS("Sibling heard", "sibling", now.Name, "incarnation", now.Incarnation, "zone", now.Zone,
		"before", before.State, "draining", now.Draining, "revision", now.Revision)
}

// correct tells a sibling that restarted with its clock set back under which
// incarnation it is known here.
func (in *Instance) correct(sibling member.Info, known operation.Incarnation) {
	datagram, err := heartbeat.Encode(heartbeat.Message{From: in.info(), Known: known})
	if err == nil {
		err = in.deps.Socket.Send(sibling.Peer, datagram)
	}
	if err != nil {
		klog.InfoS("Sibling not told of its later run", "sibling", sibling.Name, "err", err.Error())
	}
}

func (in *Instance) strange(err error) {
	klog.V(1).InfoS("Datagram dropped", "err", err.Error())
}

// Entry returns the addresses that callers should use: those of this instance
// and of the siblings that are alive.
func (in *Instance) Entry(string) []string {
	var addresses []string
	if in.Ready() {
		addresses = append(addresses, in.config.CallerAddress)
	}
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive {
			addresses = append(addresses, sibling.Caller)
		}
	}
	first := int(in.deps.Random() * float64(len(addresses)+1))
	return append(addresses[min(first, len(addresses)):], addresses[:min(first, len(addresses))]...)
}

// followRoster finds siblings that neither a seed nor another sibling names.
func (in *Instance) followRoster(ctx context.Context) {
	announced := false
	for ctx.Err() == nil {
		every := in.config.RosterEvery
		if !announced && !in.stopping.Load() {
			err := in.deps.Roster.Announce(ctx, in.config.Name, in.config.SiblingAddress)
			announced = err == nil
			if err != nil {
				logStore("Not yet on the list of instances", err)
				every = in.config.RetryEvery
			}
		}
		addresses, err := in.deps.Roster.Addresses(ctx)
		if err != nil {
			every = in.config.RetryEvery
		}
		for name, address := range addresses {
			if name != in.config.Name {
				in.peers.learn(address, time.Now())
			}
		}
		in.pause(ctx, every)
	}
}
