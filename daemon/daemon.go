// Package daemon runs one complete instance: its background loops and its
// listeners for callers, operators and siblings. The daemon command and the
// local trial are thin layers over it.
package daemon

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/operator"
)

// Options configures a daemon.
type Options struct {
	Config instance.Config
	Deps   instance.Deps
	Limits caller.Limits
	Tokens operator.Tokens
	// Callers and Operators are listeners that are already open.
	Callers   net.Listener
	Operators net.Listener
	// RejectedPeers returns the number of refused sibling connections.
	RejectedPeers func() int64
	// DrainTimeout bounds a graceful shutdown. Requests that are still in flight
	// when it expires are cut off.
	DrainTimeout time.Duration
}

// Daemon is one instance with its listeners.
type Daemon struct {
	Instance  *instance.Instance
	options   Options
	callers   *caller.Server
	operators *operator.Server
}

// DefaultDrainTimeout is longer than an ordinary request takes, including the
// time for which its answer is kept.
const DefaultDrainTimeout = 2 * time.Minute

// New creates a daemon. Run starts it.
func New(options Options) *Daemon {
	inst := instance.New(options.Config, options.Deps)
	inst.Metrics.CountRejectedPeers(options.RejectedPeers)
	return &Daemon{
		Instance:  inst,
		options:   options,
		callers:   caller.NewServer(inst, options.Limits),
		operators: operator.NewServer(inst, options.Tokens),
	}
}

// Run serves until stop is done and the graceful shutdown that follows has
// finished. If ctx is done first, Run cuts off all requests.
func (d *Daemon) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.Instance.Run(ctx) })
	group.Go(func() error { return d.callers.Serve(d.options.Callers) })
	group.Go(func() error { return d.operators.Serve(d.options.Operators) })
	group.Go(func() error {
		select {
		case <-stop.Done():
			d.drain(ctx)
		case <-ctx.Done():
		}
		cancel()
		d.close()
		return nil
	})
	return errors.WithMessage(group.Wait(), "instance "+d.options.Config.Name)
}

func (d *Daemon) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.options.DrainTimeout)
	defer cancel()
	klog.InfoS("Graceful shutdown begins", "instance", d.Instance.Self().String(), "inFlight", d.Instance.InFlight())
	d.Instance.Drain(ctx)
	klog.InfoS("Graceful shutdown finished", "instance", d.Instance.Self().String(), "cutOff", d.Instance.InFlight())
}

// closeTimeout bounds the wait for connections that are idle or closing.
const closeTimeout = 500 * time.Millisecond

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Caller connections were still open at shutdown", "err", err)
	}
	if err := d.operators.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Operator connections were still open at shutdown", "err", err)
	}
	d.options.Deps.Peers.Close()
}
