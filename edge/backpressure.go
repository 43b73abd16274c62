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

// Changes of what servers say that are logged: all servers of a large deployment at once,
// and then a few a second of servers that change their minds with each answer.
const (
	saysPerSecond = 10
	saysBurst     = 300
)

func newSaysLimit() *logging.Limit { return logging.NewLimit(saysPerSecond, saysBurst, clock.Now()) }

// logBackpressure writes a line for a change of what a server says of itself.
func (in *Instance) logBackpressure(change backpressure.Change) {
	if !in.says.Allow(clock.Now()) {
		return
	}
	klog.InfoS("Server says of itself", "server", change.Server, "before", change.Before, "now", change.Now, "by", change.By,
		"ageMillis", change.Age.Milliseconds())
}

// takeBackpressure takes in what a sibling says of servers. Hubs, and through them all
// others, are sent on; where all hear each other, they need not be.
func (in *Instance) takeBackpressure(message heartbeat.Message, now time.Time) {
	in.Fleet.Backpressure.Merge(message.Pressure, message.From.Name, in.usesHubs(), now)
}

// introduceBackpressure sends an instance that has just appeared all that is known: it may
// have started anew, and know nothing, or have been cut off.
func (in *Instance) introduceBackpressure(to member.Info, now time.Time) {
	for _, update := range in.Fleet.Backpressure.Whole(now) {
		message := in.message(now)
		message.Pressure = update
		in.send(message, to.Peer)
	}
}

// countedSilent is how long an instance that has fallen silent is taken to send to servers
// out of sight by one that hears most others: it is more likely gone than cut off.
const countedSilent = 10 * time.Second

// shareLimits says who shares what limited servers take: the instances that take requests.
// Of those that are not heard some may only be cut off, and one that has just started has
// not heard of all. One that hears few of those that it knew is most likely cut off itself,
// and keeps to its part among all.
func (in *Instance) shareLimits(now time.Time) {
	share := backpressure.Instances{Self: in.config.Name}
	silent := 0
	if in.Ready() {
		share.Taking = append(share.Taking, in.config.Name)
	}
	for _, sibling := range in.members.View().Siblings {
		switch {
		case sibling.State == member.Alive && !sibling.Draining:
			share.Taking = append(share.Taking, sibling.Name)
		case sibling.State == member.Leaving:
		case now.Sub(sibling.HeardAnywhere) < countedSilent:
			share.Silent++
		default:
			silent++
		}
	}
	// One that starts while it is cut off knows others by their addresses only.
	named := len(in.peers.addresses(now)) + 1 - len(share.Taking)
	if silent = max(share.Silent+silent, named); len(share.Taking) <= silent {
		share.Silent = silent
	}
	if now.Sub(in.started) < in.config.HubGrace {
		share.Silent = max(share.Silent, unknownInstances-len(share.Taking))
	}
	in.Fleet.Backpressure.SetInstances(share)
}

// forgetBackpressure drops what was said by servers that are not on the list any more.
func (in *Instance) forgetBackpressure(now time.Time) {
	servers := in.servers.Load()
	in.Fleet.Backpressure.Keep(func(run string) bool { return servers.ByRun[run] != nil }, now)
}
