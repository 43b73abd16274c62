package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/poison"
)

// With their heartbeats, instances send each other which requests ran at which servers when
// these crashed. Callers may send a request that crashes servers to any instance.

// mergePoison merges what a sibling reports of crashed servers. With hubs, the report is
// forwarded to the hubs and by them to all other instances. Without hubs all instances receive it
// directly.
func (in *Instance) mergePoison(message heartbeat.Message, now time.Time) {
	in.Poison.Merge(message.Poison, in.usesHubs(), now)
}

// missedAfter is the time without contact after which a sibling may have missed updates. It is
// more than two heartbeats to a hub, which are 300 ms apart, and less than the second for which
// an update is sent. A sibling that was cut off while 60 servers crashed would otherwise learn
// of them 16 s later through the repeated states, or 38 s later with 58 instances.
const missedAfter = 900 * time.Millisecond

// sendFullPoison sends all records of suspect requests to an instance that has just appeared. It
// may have restarted without any records, or have been cut off.
func (in *Instance) sendFullPoison(to member.Info, now time.Time) {
	for _, update := range in.Poison.FullUpdates(now) {
		message := in.message(now)
		message.Poison = update
		in.send(message, to.Peer)
	}
}

// logPoison logs a change of the state of a request, or that a part of prompts is blocked or no longer is.
// Parts that sound requests share are under suspicion for moments after each crash.
func logPoison(change poison.Transition) {
	if change.Request.IsPart() {
		if change.Before != change.State && (change.Before == poison.Blocked || change.State == poison.Blocked) {
			klog.InfoS("Part of prompts that may crash servers changed state", "fingerprint", change.Request.String(), "before", change.Before, "state", change.State,
				"crashes", change.Crashes, "tied", change.Tied, "probes", change.Probes)
		}
		return
	}
	klog.InfoS("Request that may crash servers changed state", "fingerprint", change.Request.String(), "before", change.Before, "state", change.State,
		"crashes", change.Crashes, "tied", change.Tied, "probes", change.Probes)
}
