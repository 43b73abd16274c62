package forward

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
)

const (
	// unreadRetryEarliest and unreadRetryLatest bound the delay after which a caller should come back whose
	// request was refused before it was read. The caller's deadline may not be known then. Large bodies
	// take some hundred milliseconds to be received and answered.
	unreadRetryEarliest = 200 * time.Millisecond
	unreadRetryLatest   = 800 * time.Millisecond
)

// RefuseUnread counts and logs a request that is refused before it was read completely, and returns the delay after
// which its caller should come back.
func (g *Gateway) RefuseUnread(why reason.Reason) time.Duration {
	g.Metrics.Ended("", reason.NotRun, why)
	if g.logLimit.Allow(clock.Now()) {
		klog.InfoS("Refused a request before it was read", "reason", string(why))
	}
	return unreadRetryEarliest + time.Duration(g.Random()*float64(unreadRetryLatest-unreadRetryEarliest))
}
