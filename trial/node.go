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

// Tokens are the operators' tokens of every trial.
var Tokens = operator.Tokens{Read: "trial-read-token", Edit: "trial-edit-token"}

// node is one instance of a trial, with what is needed to kill it.
type node struct {
	name      string
	zone      string
	caller    string
	operator  string
	line      *standin.Lifeline
	daemon    *daemon.Daemon
	listeners []*trackedListener
	finished  chan error
	drain     context.CancelFunc
	closers   []func()
}

// trackedListener remembers its connections, to cut them off on a kill.
type trackedListener struct {
	net.Listener
	line  *standin.Lifeline
	mu    sync.Mutex
	conns []net.Conn
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
	return mortalConn{conn, t.line}, nil
}

// mortalConn sends nothing once its instance was killed.
type mortalConn struct {
	net.Conn
	line *standin.Lifeline
}

// Write implements net.Conn.
func (c mortalConn) Write(p []byte) (int, error) {
	if err := c.line.Context().Err(); err != nil {
		return 0, errors.Wrap(err, "instance was killed")
	}
	return c.Conn.Write(p)
}

func (t *trackedListener) cutOff() {
	t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		conn.Close()
	}
}

// nodeOptions says what to start.
type nodeOptions struct {
	name      string
	zone      string
	world     *world
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
	line := standin.NewLifeline()
	callers, err := listenTracked(line)
	if err != nil {
		return nil, err
	}
	operators, err := listenTracked(line)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: o.name, zone: o.zone, caller: callers.Addr().String(), operator: operators.Addr().String(),
		line: line, listeners: []*trackedListener{callers, operators}, finished: make(chan error, 1),
	}
	config := instance.DefaultRegion()
	config.Name, config.Zone, config.Caller, config.Peer = o.name, o.zone, n.caller, transport.Address()
	config.Request.Protect = o.protect
	engineClient := engine.NewHTTP()
	n.closers = append(n.closers, engineClient.Close)
	n.daemon = daemon.New(daemon.Options{
		Config: config,
		Deps: instance.Deps{
			Engines:  n.line.Engines(engineClient),
			Services: n.line.Services(service.NewHTTP()),
			Log:      n.line.Log(oplog.NewHTTP(o.world.platform)),
			List:     n.line.List(instancelist.NewHTTP(o.world.platform)),
			Peers:    n.line.Peers(transport),
			Weights:  weightstore.NewHTTP(o.world.platform),
			Random:   standin.LockedRandom(o.random),
		},
		Limits:       caller.DefaultLimits(),
		Tokens:       Tokens,
		Strangers:    transport.Strangers,
		Callers:      callers,
		Operators:    operators,
		DrainTimeout: daemon.DefaultDrainTimeout,
	})
	n.run(o.world)
	return n, nil
}

func listenTracked(line *standin.Lifeline) (*trackedListener, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	return &trackedListener{Listener: listener, line: line}, nil
}

func (n *node) run(w *world) {
	stop, drain := context.WithCancel(context.Background())
	n.drain = drain
	w.list.Set(instancelist.Entry{
		Name: n.name, Zone: n.zone, Peer: n.daemon.Instance.Info().Peer, State: instancelist.Live,
	})
	go func() { n.finished <- n.daemon.Run(n.line.Context(), stop) }()
}

// kill ends the instance at once: it sends nothing more, and its callers'
// connections break.
func (n *node) kill() {
	n.line.Kill()
	for _, listener := range n.listeners {
		listener.cutOff()
	}
	<-n.finished
	n.close()
}

// pause freezes the instance towards everything outside for a while.
func (n *node) pause(d time.Duration) {
	n.line.Pause()
	time.Sleep(d)
	n.line.Resume()
}

// shutdown stops the instance gracefully and waits for the end.
func (n *node) shutdown() error {
	n.drain()
	err := <-n.finished
	n.line.Kill()
	n.close()
	return errors.WithMessage(err, "graceful shutdown")
}

func (n *node) close() {
	for _, closer := range n.closers {
		closer()
	}
}
