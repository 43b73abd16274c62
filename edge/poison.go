package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/poison"
)

// Instances send each other, with their heartbeats, at which servers requests ran when
// these ended: callers send a request that crashes servers to any instance.

// takePoison takes in what a sibling says of servers that ended. Hubs, and through them
// all others, are sent on; where all hear each other, they need not be.
func (in *Instance) takePoison(message heartbeat.Message, now time.Time) {
	in.Poison.Merge(message.Poison, in.usesHubs(), now)
}

// missedAfter is the silence after which a sibling may have missed what it was sent: more
// than two heartbeats to a hub, 300 ms each, and less than the second for which it is sent.
// A sibling that had been cut off while 60 servers ended would else know of them 16 s
// later, by what is repeated in turn, and 38 s with 58 instances.
const missedAfter = 900 * time.Millisecond

// introducePoison sends an instance that has just appeared all that speaks against
// requests: it may have started anew, and know nothing, or have been cut off.
func (in *Instance) introducePoison(to member.Info, now time.Time) {
	for _, update := range in.Poison.Whole(now) {
		message := in.message(now)
		message.Poison = update
		in.send(message, to.Peer)
	}
}

// logPoison writes a line for each change of what is known of a request.
func logPoison(change poison.Transition) {
	klog.InfoS("Request that may crash servers", "fingerprint", change.Request.String(), "before", change.Before, "state", change.State,
		"crashes", change.Crashes, "tied", change.Tied, "probes", change.Probes)
}
