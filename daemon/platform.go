package daemon

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/edge"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/membudget"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/platform"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/sibling"
	"github.com/mastwheel/mastwheel/socket"
	"github.com/mastwheel/mastwheel/speed"
	"github.com/mastwheel/mastwheel/upstream"
	"github.com/mastwheel/mastwheel/wait"
)

// Platform is one instance on the platform, with its listeners.
type Platform struct {
	settings platform.Settings
	edge     *edge.Instance
	gateway  *forward.Gateway
	ingress  *platform.Ingress
	siblings *sibling.Server
	backends *platform.Backends
	metrics  *metrics.Set
	handOver *sibling.HandOver
	store    *platform.Store
	// budget accounts what the instance holds for its peers.
	budget *membudget.Budget
	// rejected counts store records that cannot be used.
	rejected *platform.Rejected
	// callers and fromSiblings are the listeners for callers and siblings while the instance runs.
	callers, fromSiblings net.Listener
	// lapses tracks when the process did not run.
	lapses lapses
	// metricsPort is 0 if metrics are not served.
	metricsPort int
}

// PlatformOptions holds options that are not in the platform's settings.
type PlatformOptions struct {
	// MetricsPort, if not 0, is the port at which the instance serves metrics.
	MetricsPort int
	// AdvertiseSiblings is the "ip:port" that the instance advertises to its
	// siblings, for example when a proxy is in between. If empty, the instance
	// advertises the address that it listens on.
	AdvertiseSiblings string
	// SourceAddress, if set, is the IP address from which the instance connects to backend servers, on
	// a machine that has several.
	SourceAddress string
	// DialServer, if set, opens the connections to backend servers in place of a net.Dialer.
	DialServer upstream.Dial
	// RolesByLoad makes the share of prefill engines follow the demand (edge.Config.RolesByLoad).
	RolesByLoad bool
}

// NewPlatform creates an instance and opens its socket for siblings.
func NewPlatform(settings platform.Settings, options PlatformOptions) (*Platform, error) {
	advertised := cmp.Or(options.AdvertiseSiblings, settings.Siblings)
	if _, err := netip.ParseAddrPort(advertised); err != nil {
		return nil, errors.Wrap(err, "parse the address advertised to siblings")
	}
	if options.SourceAddress != "" {
		if _, err := netip.ParseAddr(options.SourceAddress); err != nil {
			return nil, errors.Wrap(err, "parse the source address of connections to backend servers")
		}
	}
	socket, err := heartbeat.Listen(settings.Siblings)
	if err != nil {
		return nil, err
	}
	p := &Platform{settings: settings, metricsPort: options.MetricsPort, metrics: metrics.New(), budget: membudget.New(settings.MemoryBytes)}
	p.rejected = new(platform.Rejected)
	p.store = platform.NewStore(settings.Store, p.metrics.StoreCalled, p.rejected)
	connections := upstream.DefaultConfig()
	connections.Dial, connections.SourceAddress = options.DialServer, options.SourceAddress
	p.backends = platform.NewBackends(connections, p.connectionLimit, p.backpressureOf, p.budget)
	config := edge.DefaultConfig()
	config.Name, config.Zone, config.Capacity = settings.Name, settings.Zone, settings.Capacity
	config.FirstStart, config.RolesByLoad = settings.FirstStart, options.RolesByLoad
	config.RegionOf, config.EntriesAtMost = settings.Regions, platform.MaxEntries
	config.CallerAddress, config.SiblingAddress, config.Seeds = settings.Callers, advertised, settings.Seeds
	config.RetryRatio, config.RetrySlack = settings.Bounds.RetryRatio, settings.Bounds.RetrySlack
	config.RetryWindow = settings.Bounds.RetryWindow
	config.AllotmentSlack = settings.Bounds.AllotmentSlack
	config.AllotmentWindow, config.AllotmentOverage = settings.Bounds.AllotmentWindow, settings.Bounds.AllotmentOverage
	config.ColdOverage, config.ColdSlack = settings.Bounds.ColdOverage, settings.Bounds.ColdSlack
	config.Lease = edge.LeaseConfig(settings.Bounds.Lease)
	p.edge = edge.New(config, edge.Deps{
		Tables:         platform.Tables{Store: p.store},
		Servers:        platform.Servers{Store: p.store},
		Roster:         platform.Roster{Store: p.store},
		Claims:         platform.Claims{Store: p.store},
		Releases:       platform.Releases{Store: p.store},
		Streams:        platform.Streams{Store: p.store},
		OriginLog:      p.metrics.OriginLog,
		Engines:        p.backends,
		Siblings:       sibling.NewClient(),
		Socket:         socket,
		Random:         rand.Float64,
		ServersChanged: func(*registry.View) { p.closeUnusedConnections() },
	})
	p.handOver = sibling.NewHandOver(settings.Name, p.budget)
	p.gateway = forward.New(forward.Deps{
		Siblings: siblings{Instance: p.edge, HandOver: p.handOver}, OnCutOff: p.edge.SetCutOff, SiblingEnds: p.siblingEnds,
		Zone: settings.Zone, RegionOf: settings.Regions, View: p.edge, Fleet: p.edge.Fleet, Backends: p.backends,
		Budget: p.edge.Budget, Allotments: p.edge.Allotments, Metrics: p.metrics, Poison: p.edge.Poison, Random: rand.Float64,
		Origins: p.edge.Origins,
	}, forward.DefaultConfig())
	p.ingress = platform.NewIngress(p.gateway, p.budget)
	p.siblings = sibling.NewServer(p.edge.SnapshotFor, p.gateway.Serve, p.budget)
	p.registerMetrics()
	p.registerEraMetrics()
	return p, nil
}

// siblings implements forward.Siblings.
type siblings struct {
	*edge.Instance
	*sibling.HandOver
}

// siblingEnds returns when the graceful shutdown of a sibling that began after a time ends the requests of which the callers have
// nothing; zero if none has begun.
func (p *Platform) siblingEnds(name string, after time.Time) time.Time {
	return endOfUnbegun(p.edge.LeavingSince(name), after, p.settings.Bounds.Grace)
}

// registerEraMetrics exports the era of the store (it increases by one each time the
// store is restored from an older copy) as the instance knows it, and the number of
// answers that the instance dropped because of their era.
func (p *Platform) registerEraMetrics() {
	eras := &p.store.Eras
	p.metrics.RegisterGauge("store_era", "Era of the store, by its last answer.", func() float64 { return float64(eras.Current()) })
	p.metrics.RegisterCounter("store_eras_total", "Times that the store has come back from an older copy.", func() float64 {
		changes, _, _ := eras.Counts()
		return float64(changes)
	})
	p.metrics.RegisterCounter("store_outdated_answers_total", "Answers of the store that were dropped since they are of an era that is over.", func() float64 {
		_, outdated, _ := eras.Counts()
		return float64(outdated)
	})
	p.metrics.RegisterCounter("store_era_unusable_total", "Answers of the store whose era could not be read.", func() float64 {
		_, _, unusable := eras.Counts()
		return float64(unusable)
	})
}

// registerMetrics exports the instance's state and the age of its data.
func (p *Platform) registerMetrics() {
	age := func(confirmed func() time.Time) func() float64 {
		return func() float64 {
			at := confirmed()
			if at.IsZero() {
				return math.NaN()
			}
			return clock.Since(at).Seconds()
		}
	}
	p.metrics.RegisterGauge("table_revision", "Revision of the table in force.", func() float64 { return float64(p.edge.Revision()) })
	p.metrics.RegisterGauge("table_age_seconds", "Time since the table was last known to be the newest; NaN before.", age(p.edge.TableConfirmed))
	p.metrics.RegisterGauge("server_list_age_seconds", "Time since the list of backend servers was last known to be current; NaN before.", age(p.edge.Confirmed))
	p.metrics.RegisterCounter("store_probes_total", "Polls of the store beside those that wait there.", func() float64 {
		extra, _ := p.edge.Polls()
		return float64(extra)
	})
	p.metrics.RegisterCounter("store_polls_given_up_total", "Polls of the store that told less than others did, or that were given up for another reason.", func() float64 {
		_, givenUp := p.edge.Polls()
		return float64(givenUp)
	})
	p.metrics.RegisterCounter("store_records_rejected_total", "Records of the store that cannot be used.", func() float64 { return float64(p.rejected.Count()) })
	p.metrics.RegisterGauge("table_rows_left_out", "Rows of the configuration in force that cannot be used.", func() float64 {
		rows, _ := p.edge.TableFaults()
		return float64(rows)
	})
	p.metrics.RegisterGauge("table_cells_adjusted", "Cells of the configuration in force that are used with another value.", func() float64 {
		_, cells := p.edge.TableFaults()
		return float64(cells)
	})
	p.metrics.RegisterGauge("servers_known", "Backend servers on the list that this instance knows.", func() float64 { return float64(p.edge.Known()) })
	p.metrics.RegisterGauge("servers", "Backend servers that this instance uses.", func() float64 { return float64(len(p.edge.Servers().ByRun)) })
	p.metrics.RegisterGauge("siblings_serving", "Siblings that serve.", func() float64 { return float64(p.edge.Serving()) })
	p.metrics.RegisterGauge("hub_serves", "Instances that this one tells what all do; 0 unless it is a hub.", func() float64 {
		serves, _ := p.edge.HubState()
		return float64(serves)
	})
	p.metrics.RegisterGauge("hub_silence_seconds", "Time since the hubs that this instance asks answered.", func() float64 {
		_, silence := p.edge.HubState()
		return silence.Seconds()
	})
	p.metrics.RegisterCounter("sibling_parts_left_out_total", "Parts of messages to siblings that did not fit into a datagram.", func() float64 {
		return float64(p.edge.PartsLeftOut())
	})
	p.metrics.RegisterCounter("sibling_values_refused_total", "Values of siblings' messages that were left out since no instance sends them.", func() float64 {
		return float64(p.edge.RefusedValues())
	})
	p.metrics.RegisterCounter("sibling_states_outdated_total", "Reports that a sibling serves which were refused because another hub had reported otherwise later.", func() float64 {
		outdated, _ := p.edge.UnusedStates()
		return float64(outdated)
	})
	p.metrics.RegisterCounter("sibling_states_former_hub_total", "Reports of silent siblings that were ignored because a former hub of this instance sent them.", func() float64 {
		_, former := p.edge.UnusedStates()
		return float64(former)
	})
	p.metrics.RegisterGauge("instances", "Instances that there are, as far as is known.", func() float64 { return float64(p.edge.Instances()) })
	p.metrics.RegisterSpeeds(p.edge.Speeds)
	for cause := range speed.Causes {
		p.metrics.RegisterSpeedsSent(cause.String(), func() uint64 { return p.edge.SpeedsSent(cause) })
	}
	suspects := func(state poison.State) func() float64 {
		return func() float64 { return float64(p.edge.Poison.Count(state)) }
	}
	p.metrics.RegisterGauge("requests_suspect", "Requests under which servers ended, and that are probed one at a time.", suspects(poison.Suspect))
	p.metrics.RegisterGauge("prompt_parts_blocked", "Parts of prompts that crash servers. Requests that have one are sent to none.", func() float64 { return float64(p.edge.Poison.BlockedParts()) })
	p.metrics.RegisterGauge("requests_blocked", "Requests that crash servers and are sent to none.", suspects(poison.Blocked))
	p.metrics.RegisterGauge("servers_limited", "Backend servers that name a rate limit.", func() float64 { return float64(p.edge.Fleet.Backpressure.Limited()) })
	p.metrics.RegisterGauge("servers_leaving", "Backend servers that have said in their answers that they leave.", func() float64 { return float64(p.edge.Fleet.Backpressure.Leaving()) })
	p.metrics.RegisterGauge("servers_resting", "Backend servers that have asked this instance to leave them alone for a while.", func() float64 {
		return float64(p.edge.Fleet.Backpressure.BackingOff(clock.Now()))
	})
	p.metrics.RegisterGauge("services_cut_off", "Services whose backend servers this instance cannot reach.", func() float64 { return float64(p.gateway.CutOffServices()) })
	p.metrics.RegisterGauge("servers_cold", "Backend servers that bear few requests since they have just started.", func() float64 {
		return float64(p.edge.Fleet.Backpressure.Cold(clock.Now()))
	})
	p.metrics.RegisterCounter("server_statements_unreadable_total", "Statements of backend servers about themselves that could not be read.", func() float64 {
		return float64(p.backends.Unreadable())
	})
	p.metrics.RegisterGauge("zones_evacuated", "Availability zones whose backend servers get nothing more.", func() float64 { return float64(p.edge.Evacuated()) })
	p.metrics.RegisterGauge("peer_memory_limit_bytes", "Bytes that the instance may hold for its peers.", func() float64 { return float64(p.budget.Limit()) })
	p.metrics.RegisterGauge("peer_memory_bytes", "Bytes that the instance holds for its peers: connections, bodies and answers.", func() float64 {
		now, _ := p.budget.Used()
		return float64(now)
	})
	p.metrics.RegisterGauge("peer_memory_peak_bytes", "Most bytes that the instance has held for its peers at a time.", func() float64 {
		_, peak := p.budget.Used()
		return float64(peak)
	})
	for _, kind := range membudget.Kinds() {
		p.metrics.RegisterCounter("peer_memory_refused_"+kind.String()+"_total", "Times that bytes for this purpose did not fit into the instance's memory.", func() float64 {
			return float64(p.budget.Refused(kind))
		})
	}
	p.metrics.RegisterGauge("requests_in_flight", "Requests being forwarded.", func() float64 { return float64(p.gateway.InFlight()) })
	p.metrics.RegisterGauge("decode_memory_free_tokens", "KV memory of decode engines that nobody has committed.", func() float64 { return float64(p.gateway.FreeMemory()) })
	p.metrics.RegisterGauge("retry_budget_left", "Retries left over all services.", p.edge.RetriesLeft)
}

// connectionShare is the fraction of a server's connections that all instances
// together may open. The rest is left to other clients of the server.
const connectionShare = 0.8

// connectionLimit returns how many connections this instance may open to one
// server of a service.
func (p *Platform) connectionLimit(service string) int {
	view := p.edge.Table()
	if view == nil || view.Services[service] == nil {
		return 0
	}
	return connectionsPerInstance(view.Services[service].Connections, p.edge.Instances())
}

// connectionsPerInstance returns how many connections one instance may open to one
// server; 0 means no limit. The limit is at least 1, so an instance that has a request
// for a server can connect to it, regardless of the number of instances.
func connectionsPerInstance(connections, instances int) int {
	if connections == 0 {
		return 0
	}
	return max(int(float64(connections)*connectionShare)/instances, 1)
}

// backpressureOf returns the backpressure state that one run of a server's process has
// reported. It takes no lock for servers in the list of backend servers.
func (p *Platform) backpressureOf(run string) *backpressure.Server {
	if server := p.edge.Fleet.Server(run); server != nil {
		return server.Pressure
	}
	return p.edge.Fleet.Backpressure.Server(run)
}

// closeUnusedConnections closes idle connections and those to servers that are no
// longer in use.
func (p *Platform) closeUnusedConnections() {
	servers := p.edge.Servers()
	p.backends.Maintain(func(id string) bool { return servers.ByRun[id] != nil }, clock.Now())
	p.handOver.Prune(clock.Now())
}

// connectionCheckInterval is the pause between two checks for unused connections.
// There are few unused connections, and closing one a little late costs nothing.
const connectionCheckInterval = time.Second

// endpoint is an address and the function that serves it.
type endpoint struct {
	address string
	serve   func(net.Listener) error
}

func (p *Platform) listeners() []endpoint {
	directory := platform.NewDirectory(p.edge, p.settings.Bounds.EntryTTL)
	all := []endpoint{
		{p.settings.Callers, p.ingress.Serve},
		{p.settings.Ready, directory.Serve},
		{p.settings.Directory, directory.Serve},
		{p.settings.Siblings, p.siblings.Serve},
	}
	if p.metricsPort > 0 {
		all = append(all, endpoint{metricsAddress(p.settings.Callers, p.metricsPort), p.serveMetrics})
	}
	return all
}

// Run serves until stop is done and the graceful shutdown that follows has
// finished, or until ctx is done.
func (p *Platform) Run(ctx, stop context.Context) error {
	if stop.Err() != nil {
		// Callers that would connect find another instance at once.
		klog.InfoS("Stop", "instance", p.settings.Name, "inFlight", 0)
		return nil
	}
	// exits is when the process exits at the latest, once the instance was told to stop.
	var exits time.Time
	group, ctx := errgroup.WithContext(ctx)
	for _, served := range p.listeners() {
		listener, err := net.Listen("tcp", served.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		defer listener.Close()
		switch served.address {
		case p.settings.Callers:
			p.callers = listener
		case p.settings.Siblings:
			p.fromSiblings = listener
		}
		context.AfterFunc(ctx, func() { listener.Close() })
		group.Go(func() error { return ignoreAfterDone(ctx, served.serve(steadyListener{listener})) })
	}
	group.Go(func() error { return p.edge.Run(ctx) })
	group.Go(func() error {
		p.gateway.WatchReach(ctx)
		return nil
	})
	group.Go(func() error {
		p.lapses.watch(ctx)
		return nil
	})
	group.Go(func() error {
		for wait.For(ctx, connectionCheckInterval) {
			p.closeUnusedConnections()
		}
		return nil
	})
	group.Go(func() error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return nil
		}
		exits = p.shutdown().run(clock.Now())
		return errStopped
	})
	err := group.Wait()
	if errors.Is(err, errStopped) {
		// What was read until the listeners closed is refused, which needs a while without processor time.
		pollUntil(exits, endedPollInterval, p.isIdle)
		p.ingress.Close()
		klog.InfoS("Stop", "instance", p.settings.Name, "inFlight", p.gateway.InFlight())
		return nil
	}
	return err
}

// ignoreAfterDone drops the error of a listener that was closed because ctx was done.
func ignoreAfterDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// errStopped ends the goroutines of Run after a graceful shutdown.
var errStopped = errors.New("stopped")

// isIdle reports whether all answers to callers and siblings are written, and none of their requests waits to be read.
func (p *Platform) isIdle() bool {
	return p.gateway.InFlight()+p.ingress.Answering()+p.siblings.Answering() == 0 && p.unread() == 0
}

// unread returns the number of connections of callers and siblings that wait to be accepted, or have a request that was not read.
func (p *Platform) unread() int {
	return socket.Backlog(p.callers) + p.ingress.Unread() + socket.Backlog(p.fromSiblings) + p.siblings.Unread()
}

func metricsAddress(callers string, port int) string {
	host, _, err := net.SplitHostPort(callers)
	if err != nil {
		panic("daemon: validated address cannot be parsed: " + err.Error())
	}
	return net.JoinHostPort(host, fmt.Sprint(port))
}

func (p *Platform) serveMetrics(listener net.Listener) error {
	handler := promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{})
	return errors.Wrap(http.Serve(listener, handler), "serve metrics")
}
