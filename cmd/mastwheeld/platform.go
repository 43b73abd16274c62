package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/edge"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/platform"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/sibling"
	"github.com/mastwheel/mastwheel/upstream"
)

// platformCommand runs an instance on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run one instance on the users' platform, with its settings from $" + platform.SettingsVariable,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "only check the settings"},
			&cli.IntFlag{Name: "verbosity", Usage: "log `LEVEL`: 0 for refusals, failures and beliefs, 2 for every request"},
			&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics at this `PORT`; 0 for none"},
		},
		Action: runPlatform,
	}
}

// logQueue is how many lines may wait for a reader that does not keep up: a
// few seconds' worth under load, and less than a megabyte.
const logQueue = 2000

func runPlatform(ctx context.Context, command *cli.Command) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if command.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	output := logging.NewBounded(os.Stdout, logQueue)
	if err := logging.Setup(output, command.Int("verbosity")); err != nil {
		return err
	}
	limitMemory(settings.MemoryBytes)
	return servePlatform(ctx, settings, command.Int("metrics-port"))
}

const (
	// memoryShare of the limit may be used before the collector works harder;
	// the rest is for stacks, sockets and what the runtime does not count.
	memoryShare = 0.6
	// collectAt lets the heap grow to this percentage of what is live: memory
	// is cheaper than processor time on these instances.
	collectAt = 300
)

func limitMemory(limit int64) {
	debug.SetGCPercent(collectAt)
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare))
	}
}

// platformInstance is one instance with its listeners.
type platformInstance struct {
	settings platform.Settings
	edge     *edge.Instance
	gateway  *forward.Gateway
	backends *platform.Backends
	metrics  *metrics.Set
}

func newPlatformInstance(settings platform.Settings, socket *heartbeat.Socket) *platformInstance {
	p := &platformInstance{settings: settings, metrics: metrics.New()}
	store := platform.NewStore(settings.Store, nil)
	p.backends = platform.NewBackends(upstream.DefaultConfig(), p.connectionLimit)
	config := edge.DefaultConfig()
	config.Name, config.Zone = settings.Name, settings.Zone
	config.CallerAddress, config.SiblingAddress, config.Seeds = settings.Callers, settings.Siblings, settings.Seeds
	config.RetryRatio, config.RetrySlack = settings.Bounds.RetryRatio, settings.Bounds.RetrySlack
	config.Lease = edge.LeaseConfig(settings.Bounds.Lease)
	p.edge = edge.New(config, edge.Deps{
		Tables:   platform.Tables{Store: store},
		Servers:  platform.Servers{Store: store},
		Roster:   platform.Roster{Store: store},
		Claims:   platform.Claims{Store: store},
		Engines:  p.backends,
		Siblings: sibling.NewClient(),
		Socket:   socket,
		Random:   rand.Float64,
		ServersChanged: func(view *registry.View) {
			p.backends.Keep(func(id string) bool { return view.Find(id) != nil }, time.Now())
		},
	})
	p.gateway = forward.New(forward.Deps{
		Zone: settings.Zone, Beliefs: p.edge, Fleet: p.edge.Fleet, Backends: p.backends,
		Budget: p.edge.Budget, Metrics: p.metrics, Random: rand.Float64,
	}, forward.DefaultConfig())
	return p
}

// connectionShare is the part of a server's connections that the instances
// together may open: others connect there too.
const connectionShare = 0.8

// connectionLimit is this instance's share of the connections to one server.
func (p *platformInstance) connectionLimit(service string) int {
	view := p.edge.Table()
	if view == nil || view.Services[service] == nil {
		return 0
	}
	limit := float64(view.Services[service].Connections) * connectionShare
	return int(limit / float64(p.edge.Instances()))
}

func servePlatform(ctx context.Context, settings platform.Settings, metricsPort int) error {
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	socket, err := heartbeat.Listen(settings.Siblings)
	if err != nil {
		return err
	}
	p := newPlatformInstance(settings, socket)
	go watchHangups()
	klog.InfoS("Start", "instance", settings.Name, "zone", settings.Zone, "callers", settings.Callers, "siblings", settings.Siblings, "store", settings.Store)
	return p.run(ctx, stop, metricsPort)
}

// run serves until a graceful shutdown is over.
func (p *platformInstance) run(ctx, stop context.Context, metricsPort int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	directory := platform.NewDirectory(p.edge, p.settings.Bounds.EntryTTL)
	services := []struct {
		address string
		serve   func(net.Listener) error
	}{
		{p.settings.Callers, platform.NewIngress(p.gateway).Serve},
		{p.settings.Ready, directory.Serve},
		{p.settings.Directory, directory.Serve},
		{p.settings.Siblings, sibling.NewServer(p.edge.Tell).Serve},
	}
	if metricsPort > 0 {
		services = append(services, struct {
			address string
			serve   func(net.Listener) error
		}{metricsAddress(p.settings.Callers, metricsPort), p.serveMetrics})
	}
	for _, service := range services {
		listener, err := net.Listen("tcp", service.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		defer listener.Close()
		group.Go(func() error { return service.serve(listener) })
	}
	group.Go(func() error { return p.edge.Run(ctx) })
	group.Go(func() error {
		select {
		case <-stop.Done():
		case <-ctx.Done():
			return nil
		}
		p.drain()
		return errStopped
	})
	err := group.Wait()
	if errors.Is(err, errStopped) {
		klog.InfoS("Stop", "instance", p.settings.Name, "inFlight", p.gateway.InFlight())
		return nil
	}
	return err
}

// errStopped ends a group of services after a graceful shutdown.
var errStopped = errors.New("stopped")

// lastMoment is kept of the time until the process is killed, to write the
// last lines and to close what is open.
const lastMoment = 700 * time.Millisecond

// drain serves on for as long as the platform allows: callers keep this
// instance's address for a while after siblings have stopped naming it.
func (p *platformInstance) drain() {
	began := time.Now()
	p.gateway.Stop(began)
	klog.InfoS("Graceful shutdown begins", "instance", p.settings.Name, "inFlight", p.gateway.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Grace-lastMoment)
	defer cancel()
	p.edge.Stop(ctx)
	<-ctx.Done()
}

func metricsAddress(callers string, port int) string {
	host, _, err := net.SplitHostPort(callers)
	if err != nil {
		panic("mastwheeld: an address that was checked is no address: " + err.Error())
	}
	return net.JoinHostPort(host, fmt.Sprint(port))
}

func (p *platformInstance) serveMetrics(listener net.Listener) error {
	handler := promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{})
	return errors.Wrap(http.Serve(listener, handler), "serve metrics")
}

// watchHangups logs each request to read the settings again. Addresses and
// bounds of a running instance do not change, so there is nothing to take over.
func watchHangups() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		settings, err := platform.LoadSettings()
		if err != nil {
			klog.ErrorS(err, "Reload: the settings cannot be used; the old ones stay")
			continue
		}
		klog.InfoS("Reload", "instance", settings.Name)
	}
}
