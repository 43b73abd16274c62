package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/member"
)

// Limits on the log lines about changed server status reports. The burst covers all servers of
// a large deployment at once. The rate covers servers whose reports change with each answer.
const (
	statusPerSecond = 10
	statusBurst     = 300
)

func newLogLimit() *logging.Limit { return logging.NewLimit(statusPerSecond, statusBurst, clock.Now()) }

// logBackpressure logs a change of a server's status report.
func (in *Instance) logBackpressure(change backpressure.Change) {
	if !in.statusLogLimit.Allow(clock.Now()) {
		return
	}
	klog.InfoS("Server status report changed", "server", change.Server, "before", change.Before, "now", change.Now, "by", change.By,
		"ageMillis", change.Age.Milliseconds())
}

// mergeBackpressure merges the server status reports that a sibling sends. With hubs (the
// instances that distribute the state of their zone), the reports are forwarded, so that they
// reach all instances through the hubs. Without hubs each instance already sends its reports to
// all others.
func (in *Instance) mergeBackpressure(message heartbeat.Message, now time.Time) {
	in.Fleet.Backpressure.Merge(message.Pressure, message.From.Name, in.usesHubs(), now)
}

// sendFullBackpressure sends all known server status reports to an instance that has just
// appeared. It may have just started and know nothing, or it may have been cut off.
func (in *Instance) sendFullBackpressure(to member.Info, now time.Time) {
	for _, update := range in.Fleet.Backpressure.FullUpdate(now) {
		message := in.message(now)
		message.Pressure = update
		in.send(message, to.Peer)
	}
}

// silentCountedFor is how long an instance that is in contact with most others assumes that a
// silent sibling still sends to servers. After that the sibling is more likely gone than cut
// off.
const silentCountedFor = 10 * time.Second

// updateLimitSharing sets which instances share the rate limits of servers: those that accept
// requests. Silent siblings may only be cut off, and an instance that has just started does not
// know all siblings yet. An instance that is in contact with few of its known siblings is most
// likely cut off itself, and limits itself to its share among all of them.
func (in *Instance) updateLimitSharing(now time.Time) {
	share := backpressure.Instances{Self: in.config.Name}
	silent := 0
	if in.Ready() {
		share.Active = append(share.Active, in.config.Name)
	}
	for _, sibling := range in.members.View().Siblings {
		switch {
		case sibling.State == member.Alive && !sibling.Draining:
			share.Active = append(share.Active, sibling.Name)
		case sibling.State == member.Leaving:
		case now.Sub(sibling.LastContactAnywhere) < silentCountedFor:
			share.Silent++
		default:
			silent++
		}
	}
	// An instance that starts while it is cut off knows its siblings only by their addresses.
	named := len(in.peers.addresses(now)) + 1 - len(share.Active)
	if silent = max(share.Silent+silent, named); len(share.Active) <= silent {
		share.Silent = silent
	}
	if now.Sub(in.started) < in.config.HubGrace {
		share.Silent = max(share.Silent, assumedInstances-len(share.Active))
	}
	in.Fleet.Backpressure.SetInstances(share)
}

// pruneBackpressure drops the status reports of servers that are no longer on the list of
// servers.
func (in *Instance) pruneBackpressure(now time.Time) {
	servers := in.servers.Load()
	in.Fleet.Backpressure.Prune(func(run string) bool { return servers.ByRun[run] != nil }, now)
}
