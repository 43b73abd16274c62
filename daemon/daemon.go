// Package daemon runs one whole instance: its loops, and the listeners for
// callers, operators and siblings. The daemon program and the local trial are
// thin layers over it.
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

// Options says what to run.
type Options struct {
	Config instance.Config
	Deps   instance.Deps
	Limits caller.Limits
	Tokens operator.Tokens
	// Callers and Operators are open listeners.
	Callers   net.Listener
	Operators net.Listener
	// Strangers counts the sibling connections that were refused.
	Strangers func() int64
	// DrainTimeout bounds a graceful shutdown; after it, requests are cut off.
	DrainTimeout time.Duration
}

// Daemon is one running instance with its listeners.
type Daemon struct {
	Instance  *instance.Instance
	options   Options
	callers   *caller.Server
	operators *operator.Server
}

// DefaultDrainTimeout is longer than an ordinary request with a kept answer.
const DefaultDrainTimeout = 2 * time.Minute

// New prepares a daemon.
func New(options Options) *Daemon {
	of := instance.New(options.Config, options.Deps)
	of.Metrics.CountStrangers(options.Strangers)
	return &Daemon{
		Instance:  of,
		options:   options,
		callers:   caller.NewServer(of, options.Limits),
		operators: operator.NewServer(of, options.Tokens),
	}
}

// Run serves until stop ends and the graceful shutdown that follows is done,
// or until ctx ends, which cuts everything off.
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
	klog.InfoS("Graceful shutdown done", "instance", d.Instance.Self().String(), "cutOff", d.Instance.InFlight())
}

// closeTimeout bounds the wait for connections that are idle or being closed.
const closeTimeout = 500 * time.Millisecond

func (d *Daemon) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Connections of callers were still open", "err", err)
	}
	if err := d.operators.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Connections of operators were still open", "err", err)
	}
	d.options.Deps.Peers.Close()
}
