package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
)

// Up to some tens of instances send each other their state directly.

// meshBeat sends heartbeats to those siblings whose turn it is. Where there are many,
// each gets only some, and is given more time before it counts as silent; those of the
// same zone get more, since bytes between zones are dear.
func (in *Instance) meshBeat(now time.Time, turn int, loads []heartbeat.Load) {
	addresses := in.peers.addresses(now)
	every := max(1, len(addresses)/in.config.FarPerBeat)
	in.members.SetSuspectAfter(max(in.config.Members.SuspectAfter, time.Duration(every*patientBeats)*in.config.Members.HeartbeatEvery))
	in.members.Watch("")
	in.sendTo(in.due(addresses, turn, every), addresses, loads)
}

// readsInMesh says whether this instance is one of the few that leave long polls waiting at
// the store: the others are sent what these are told. All that know the same instances
// choose the same; one that knows nobody reads.
func (in *Instance) readsInMesh() bool {
	self, better := in.info(), 0
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive && betterHub(sibling.Info, self) < 0 {
			better++
		}
	}
	return better < in.config.ReadersInMesh
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

// sendTo sends a heartbeat with loads and some known addresses.
func (in *Instance) sendTo(addresses, known []string, loads []heartbeat.Load) {
	now := clock.Now()
	message := in.message(now)
	message.Spent = in.Allotments.Spent(now)
	message.Loads, message.Peers = loads, in.some(known, in.config.PeersNamed)
	in.send(message, addresses...)
}

// some picks so many addresses at most, next to each other from a random one on.
func (in *Instance) some(addresses []string, most int) []string {
	if len(addresses) <= most {
		return addresses
	}
	first := int(in.deps.Random() * float64(len(addresses)))
	picked := make([]string, 0, most)
	for i := range most {
		picked = append(picked, addresses[(first+i)%len(addresses)])
	}
	return picked
}
