package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/logging"
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

// forgetBackpressure drops what was said by servers that are not on the list any more.
func (in *Instance) forgetBackpressure(now time.Time) {
	servers := in.servers.Load()
	in.Fleet.Backpressure.Keep(func(run string) bool { return servers.ByRun[run] != nil }, now)
}
