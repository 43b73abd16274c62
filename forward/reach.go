package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reach"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/wait"
)

const (
	// reachCheckInterval is the pause between two checks of the links to the servers.
	reachCheckInterval = 200 * time.Millisecond
	// silentAfter is the time without an answer after which a server with waiting requests counts as
	// failed for this purpose. One silent server is no cut, and any answer of another outweighs it.
	silentAfter = 700 * time.Millisecond
	// probeTimeout bounds one probe of a server. It allows for a lost packet.
	probeTimeout = 600 * time.Millisecond
	// probePause is the pause after a failed probe.
	probePause = 200 * time.Millisecond
	// probeServers is how many servers of a service are probed at once. Only if none of them answers
	// does the service count as cut off.
	probeServers = 3
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
	case notRun != nil && notRun.AtLimit:
	case notRun != nil:
		f.unanswered++
		f.Metrics.ServerFailed(f.service.Name, metrics.FailedConnect)
		f.reachOf(f.service.Name).ConnectFailed(server, now)
	default:
		f.unanswered++
		f.Metrics.ServerFailed(f.service.Name, metrics.FailedBroken)
		f.reachOf(f.service.Name).Failed(server, now)
	}
}

// whileLinked returns a context that also ends once all links to the servers of the request's service are
// lost. Until a request is sent to run, a sibling can serve it instead.
func (f *flow) whileLinked(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(f.reachOf(f.service.Name).Linked(), cancel)
	return ctx, func() { stop(); cancel() }
}

// linksLost reports whether all links to the servers of the request's service are lost.
func (f *flow) linksLost() bool { return f.reachOf(f.service.Name).Linked().Err() != nil }

// recordAnswer records that a server of the request's service answered.
func (f *flow) recordAnswer() { f.Gateway.recordAnswer(f.service.Name) }

func (g *Gateway) recordAnswer(service string) {
	if g.reachOf(service).Answered() {
		g.recordRestored(service)
	}
}

// recordConnected records that a server of a service answered over a new connection, or that the service
// has no servers.
func (g *Gateway) recordConnected(service string) {
	if g.reachOf(service).Connected(clock.Now()) {
		g.recordRestored(service)
	}
}

// recordRestored ends the state in which a service is cut off.
func (g *Gateway) recordRestored(service string) {
	klog.InfoS("A server of a service answers again, or the service has none any more", "service", service)
	// The failures before were those of the links.
	for _, entry := range g.entriesOf(service) {
		if server := g.Fleet.Server(entry.Run()); server != nil {
			server.ResetFailures(clock.Now())
		}
	}
	g.cutOffChanged(-1)
}

// WatchReach checks, until ctx ends, whether this instance still reaches the servers of each service.
func (g *Gateway) WatchReach(ctx context.Context) {
	for wait.For(ctx, reachCheckInterval) {
		view := g.View.Table()
		if view == nil {
			continue
		}
		g.reaches.Range(func(name, _ any) bool {
			g.checkReach(ctx, name.(string), view.Services[name.(string)])
			return true
		})
	}
}

// poolsOf returns the pools of the servers of a service.
func (g *Gateway) poolsOf(service string) [3][]*table.BackendView {
	servers := g.View.Servers()
	return [...][]*table.BackendView{servers.Plain[service], servers.Prefill[service], servers.Decode[service]}
}

// entriesOf returns the servers of a service.
func (g *Gateway) entriesOf(service string) []*registry.Entry {
	byRun := g.View.Servers().ByRun
	var entries []*registry.Entry
	for _, pool := range g.poolsOf(service) {
		for _, backend := range pool {
			if entry := byRun[backend.Name]; entry != nil {
				entries = append(entries, entry)
			}
		}
	}
	return entries
}

// recordSilence records the servers of a service that are silent, and returns the number of all.
func (g *Gateway) recordSilence(service string, known *reach.Service, now time.Time) (servers int) {
	for _, pool := range g.poolsOf(service) {
		for _, backend := range pool {
			servers++
			if server := g.Fleet.Server(backend.Name); server != nil && server.SilentFor(now) > silentAfter {
				known.Failed(backend.Name, now)
			}
		}
	}
	return servers
}

// checkReach probes the servers of a service if its links are suspected or cut off.
func (g *Gateway) checkReach(ctx context.Context, name string, service *table.ServiceView) {
	known := g.reachOf(name)
	servers := g.recordSilence(name, known, clock.Now())
	if service == nil || servers == 0 {
		// There is nothing to be cut off from.
		g.recordConnected(name)
		return
	}
	if !known.Suspected(servers) && !known.IsCutOff() || !known.BeginProbe() {
		return
	}
	entries := g.entriesOf(name)
	go func() {
		defer known.EndProbe()
		if g.probeAny(ctx, service, entries) {
			g.recordConnected(service.Name)
			return
		}
		if ctx.Err() == nil && known.ConfirmCutOff() {
			failed, since := known.State()
			klog.InfoS("No server of a service can be reached; requests are handed over to siblings", "service", service.Name,
				"failedServers", failed, "noAnswerMillis", clock.Since(since).Milliseconds())
			g.cutOffChanged(1)
		}
		wait.For(ctx, probePause)
	}()
}

// probeAny probes some of the servers and reports whether any of them answered.
func (g *Gateway) probeAny(ctx context.Context, service *table.ServiceView, entries []*registry.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	var answered atomic.Bool
	first := int(g.Random() * float64(len(entries)))
	for i := range min(probeServers, len(entries)) {
		entry := entries[(first+i)%len(entries)]
		probes.Go(func() {
			if g.Backends.Probe(ctx, entry, service.HealthPath) == nil {
				answered.Store(true)
				cancel()
			}
		})
	}
	probes.Wait()
	return answered.Load()
}

// cutOffChanged counts the services that are cut off, and reports when the first becomes so or the
// last no longer is.
func (g *Gateway) cutOffChanged(change int64) {
	// The lock keeps the reports in the order of the counts.
	g.cutOffReport.Lock()
	defer g.cutOffReport.Unlock()
	before := g.cutOffServices.Load()
	count := g.cutOffServices.Add(change)
	if g.OnCutOff != nil && (before > 0) != (count > 0) {
		g.OnCutOff(count > 0)
	}
}

// CutOffServices returns the number of services whose servers this instance cannot reach.
func (g *Gateway) CutOffServices() int { return int(g.cutOffServices.Load()) }
