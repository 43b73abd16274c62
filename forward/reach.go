package forward

import (
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reach"
)

// reachOf returns the record of how this instance reaches the servers of a service.
func (g *Gateway) reachOf(service string) *reach.Service {
	if known, ok := g.reaches.Load(service); ok {
		return known.(*reach.Service)
	}
	known, _ := g.reaches.LoadOrStore(service, new(reach.Service))
	return known.(*reach.Service)
}

// recordReach records what the result of a call says about the links to the service's servers.
func (f *flow) recordReach(server string, err error, now time.Time) {
	var notRun *NotRunError
	switch {
	case err == nil, errors.As(err, &notRun) && notRun.Sent:
		f.recordAnswer()
	case notRun != nil:
		f.Metrics.ServerFailed(f.service.Name, metrics.FailedConnect)
		f.reachOf(f.service.Name).Failed(server, now)
	default:
		f.Metrics.ServerFailed(f.service.Name, metrics.FailedBroken)
		f.reachOf(f.service.Name).Failed(server, now)
	}
}

// recordAnswer records that a server of the request's service answered.
func (f *flow) recordAnswer() { f.Gateway.recordAnswer(f.service.Name) }

func (g *Gateway) recordAnswer(service string) {
	if g.reachOf(service).Answered() {
		klog.InfoS("A server of a service answers again", "service", service)
	}
}
