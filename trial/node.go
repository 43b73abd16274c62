package trial

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/daemon"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/operator"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/weightstore"
)

// Tokens holds the operator tokens that every trial uses.
var Tokens = operator.Tokens{Read: "trial-read-token", Edit: "trial-edit-token"}

// node is one instance of a trial, with its lifeline (the means to kill or pause
// it within the process).
type node struct {
	name      string
	zone      string
	caller    string
	operator  string
	lifeline  *standin.Lifeline
	daemon    *daemon.Daemon
	listeners []*trackedListener
	finished  chan error
	drain     context.CancelFunc
	closers   []func()
}

// trackedListener records its connections so that a kill can close them.
type trackedListener struct {
	net.Listener
	lifeline *standin.Lifeline
	mu       sync.Mutex
	conns    []net.Conn
}

// Accept implements net.Listener.
func (t *trackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, conn)
	return killableConn{conn, t.lifeline}, nil
}

// killableConn sends nothing after its instance is killed.
type killableConn struct {
	net.Conn
	lifeline *standin.Lifeline
}

// Write implements net.Conn.
func (c killableConn) Write(p []byte) (int, error) {
	if err := c.lifeline.Context().Err(); err != nil {
		return 0, errors.Wrap(err, "instance was killed")
	}
	return c.Conn.Write(p)
}

func (t *trackedListener) closeAll() {
	t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		conn.Close()
	}
}

// nodeOptions configures a node.
type nodeOptions struct {
	name      string
	zone      string
	env       *environment
	authority *peer.Authority
	random    *rand.Rand
	protect   request.Protections
}

func startNode(o nodeOptions) (*node, error) {
	identity, err := o.authority.Identity(o.name)
	if err != nil {
		return nil, err
	}
	transport, err := peer.ListenQUIC("127.0.0.1:0", peer.NewKeys(identity))
	if err != nil {
		return nil, err
	}
	lifeline := standin.NewLifeline()
	callers, err := listenTracked(lifeline)
	if err != nil {
		return nil, err
	}
	operators, err := listenTracked(lifeline)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: o.name, zone: o.zone, caller: callers.Addr().String(), operator: operators.Addr().String(),
		lifeline: lifeline, listeners: []*trackedListener{callers, operators}, finished: make(chan error, 1),
	}
	config := instance.DefaultRegion()
	config.Name, config.Zone, config.Caller, config.Peer = o.name, o.zone, n.caller, transport.Address()
	config.Request.Protect = o.protect
	engineClient := engine.NewHTTP()
	n.closers = append(n.closers, engineClient.Close)
	n.daemon = daemon.New(daemon.Options{
		Config: config,
		Deps: instance.Deps{
			Engines:  n.lifeline.Engines(engineClient),
			Services: n.lifeline.Services(service.NewHTTP()),
			Log:      n.lifeline.Log(oplog.NewHTTP(o.env.platform)),
			List:     n.lifeline.List(instancelist.NewHTTP(o.env.platform)),
			Peers:    n.lifeline.Peers(transport),
			Weights:  weightstore.NewHTTP(o.env.platform),
			Random:   standin.LockedRandom(o.random),
		},
		Limits:        caller.DefaultLimits(),
		Tokens:        Tokens,
		RejectedPeers: transport.RejectedConnections,
		Callers:       callers,
		Operators:     operators,
		DrainTimeout:  daemon.DefaultDrainTimeout,
	})
	n.run(o.env)
	return n, nil
}

func listenTracked(lifeline *standin.Lifeline) (*trackedListener, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	return &trackedListener{Listener: listener, lifeline: lifeline}, nil
}

func (n *node) run(env *environment) {
	stop, drain := context.WithCancel(context.Background())
	n.drain = drain
	env.list.Set(instancelist.Entry{
		Name: n.name, Zone: n.zone, Peer: n.daemon.Instance.Info().Peer, State: instancelist.Live,
	})
	go func() { n.finished <- n.daemon.Run(n.lifeline.Context(), stop) }()
}

// kill stops the instance abruptly. It sends nothing more, and its callers'
// connections are closed.
func (n *node) kill() {
	n.lifeline.Kill()
	for _, listener := range n.listeners {
		listener.closeAll()
	}
	<-n.finished
	n.close()
}

// pause suspends the instance's communication with everything outside it for d.
func (n *node) pause(d time.Duration) {
	n.lifeline.Pause()
	time.Sleep(d)
	n.lifeline.Resume()
}

// shutdown stops the instance gracefully and waits until it has stopped.
func (n *node) shutdown() error {
	n.drain()
	err := <-n.finished
	n.lifeline.Kill()
	n.close()
	return errors.WithMessage(err, "graceful shutdown")
}

func (n *node) close() {
	for _, closer := range n.closers {
		closer()
	}
}
