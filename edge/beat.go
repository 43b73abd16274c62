package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/wait"
)

// beat sends heartbeats until ctx ends, and one more whenever something has changed.
func (in *Instance) beat(ctx context.Context) {
	var announced []heartbeat.Load
	sent, turn := time.Time{}, 0
	for more := true; more; more = in.rest(ctx) {
		now := clock.Now()
		in.shareAllotments(now)
		loads := in.loads()
		changed, urgent := loadsChanged(announced, loads), in.urgent.Swap(false)
		many := in.usesHubs()
		in.inMesh.Store(!many)
		switch {
		case many:
			in.hubBeat(now, loads, changed, urgent)
			if changed {
				announced = loads
			}
		case changed || urgent || now.Sub(sent) >= in.config.Members.HeartbeatEvery:
			in.setReads(in.readsInMesh())
			in.meshBeat(now, turn, loads)
			announced, sent = loads, now
			turn++
		}
	}
}

// committed has a change of this instance's commitments sent to its hubs. Without, they
// would hear of it with the next beat, and what is known of engines' memory be half a
// beat older: of 3,691 streams 3,276 were in time by updates of two beats, 3,393 by updates
// of one and 3,530 by updates of half a beat (TestLoadsMustBeFresh).
func (in *Instance) committed() {
	if !in.inMesh.Load() {
		in.wake()
	}
}

// hurryAll has a heartbeat sent at once to all who hear this instance.
func (in *Instance) hurryAll() {
	in.urgent.Store(true)
	in.wake()
}

// wake ends the rest between two beats.
func (in *Instance) wake() {
	select {
	case in.hurried <- struct{}{}:
	default:
	}
}

// urgentGap lies between two beats at least, so that what is urgent at the same time
// goes out together.
const urgentGap = 10 * time.Millisecond

// rest waits until the next beat, or until something is urgent, but for a short while
// in any case. It returns false when ctx ended first.
func (in *Instance) rest(ctx context.Context) bool {
	quick := in.quickBeat()
	switch {
	case in.hubs.isHub():
		quick = min(quick, in.config.HubBeatEvery)
	case in.registry.View().Part && !in.Allotments.Bounds():
		// What has changed meanwhile matters to few, and wakes the beat if it matters soon.
		quick = in.config.KeepEvery
	}
	least := min(urgentGap, quick)
	timer := time.NewTimer(quick)
	defer timer.Stop()
	began := clock.Now()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-in.hurried:
		return wait.For(ctx, least-min(clock.Since(began), least))
	}
}

// sendHeartbeats has heartbeats sent at once to all who hear this instance.
func (in *Instance) sendHeartbeats() {
	if !in.usesHubs() {
		addresses := in.peers.addresses(clock.Now())
		in.sendTo(addresses, addresses, in.loads())
		return
	}
	in.hurryAll()
}

// quickBeat is the least pause between two heartbeats. Siblings that do not
// know of each other's requests send theirs to the same engine, so updates are sent
// at once where there are few siblings; each datagram costs every one of them.
func (in *Instance) quickBeat() time.Duration {
	pause := time.Duration(len(in.members.View().Siblings)) * in.config.QuickBeatPerSibling
	return min(max(pause, in.config.QuickBeat), in.config.Members.HeartbeatEvery)
}

// changedMemory is the change of the memory committed at an engine that siblings
// should hear of at once: a percent of an engine (source: the users' sheets).
const changedMemory = 1000

// loadsChanged says whether loads have changed so that siblings would decide
// otherwise.
func loadsChanged(announced, loads []heartbeat.Load) bool {
	if len(announced) != len(loads) {
		return true
	}
	for i, load := range loads {
		before := announced[i]
		if before.Server != load.Server || differ(before.Commitment(), load.Commitment()) {
			return true
		}
	}
	return false
}

// message is what each heartbeat says.
func (in *Instance) message(now time.Time) heartbeat.Message {
	// Ages come before what they are the ages of: updates that come in between would
	// make what is older look as new.
	table, servers := in.tableFeed.age(now), in.list.age(now)
	return heartbeat.Message{
		From: in.info(), Changing: in.peers.underWay(now), TableHeard: table, ServersHeard: servers,
		Poison: in.Poison.Update(now), Pressure: in.Fleet.Backpressure.Update(now),
		Evacuation: in.evacuation.Load(),
	}
}

// send sends a message to addresses, and returns the bytes of one datagram.
func (in *Instance) send(message heartbeat.Message, addresses ...string) int {
	datagram, err := heartbeat.Encode(message)
	if err != nil {
		klog.ErrorS(err, "Heartbeat not sent")
		return 0
	}
	for _, address := range addresses {
		if err := in.deps.Socket.Send(address, datagram); err != nil {
			klog.V(1).InfoS("Heartbeat not sent", "sibling", address, "err", err.Error())
		}
	}
	return len(datagram)
}
