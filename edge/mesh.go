package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
)

// Up to some tens of instances send each other their state directly.

// meshBeat sends heartbeats to the siblings that are due. With many siblings, each receives
// fewer heartbeats and is allowed a longer time without contact before it is suspected. Siblings
// of the same zone receive more, since traffic between zones is expensive.
func (in *Instance) meshBeat(now time.Time, turn int, loads []heartbeat.Load) {
	addresses := in.peers.addresses(now)
	every := max(1, len(addresses)/in.config.FarPerBeat)
	in.members.SetSuspectAfter(max(in.config.Members.SuspectAfter, time.Duration(every*tolerableLosses)*in.config.Members.HeartbeatEvery))
	in.members.Watch("")
	due, speeds := in.dueAddresses(addresses, turn, every), in.dueOwnSpeeds(now)
	if len(speeds) > 0 {
		// Each estimate is sent once, so all siblings receive this message.
		due = addresses
	}
	in.sendTo(due, addresses, loads, speeds)
}

// readsInMesh reports whether this instance is one of the few that keep long polls open at the
// store. The other instances receive the updates from these readers. All instances that know the
// same siblings choose the same readers, and an instance that knows no siblings reads itself.
func (in *Instance) readsInMesh() bool {
	self, better := in.info(), 0
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive && betterHub(sibling.Info, self) < 0 {
			better++
		}
	}
	return better < in.config.LongPollersWithoutHubs
}

// tolerableLosses is how many heartbeats may be missing before a sibling is suspected where
// heartbeats are rare, since datagrams are lost now and then.
const tolerableLosses = 4

// dueAddresses returns the addresses of the siblings that receive a heartbeat in a turn.
func (in *Instance) dueAddresses(addresses []string, turn, every int) []string {
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
	var selected []string
	for i, address := range addresses {
		turns := every
		if near[address] {
			turns = nearEvery
		}
		if (i+turn)%turns == 0 {
			selected = append(selected, address)
		}
	}
	return selected
}

// sendTo sends addresses a heartbeat that contains loads, some of the known addresses and
// estimates of servers' speeds.
func (in *Instance) sendTo(addresses, known []string, loads []heartbeat.Load, speeds []byte) {
	now := clock.Now()
	message := in.message(now)
	message.Spent = in.Allotments.Spent(now)
	message.Loads, message.NoLoads, message.Peers = loads, false, in.sample(known, in.config.PeersNamed)
	message.Speeds = speeds
	in.send(message, addresses...)
}

// sample returns at most the given number of addresses, consecutive from a random start.
func (in *Instance) sample(addresses []string, limit int) []string {
	if len(addresses) <= limit {
		return addresses
	}
	first := int(in.deps.Random() * float64(len(addresses)))
	selected := make([]string, 0, limit)
	for i := range limit {
		selected = append(selected, addresses[(first+i)%len(addresses)])
	}
	return selected
}
