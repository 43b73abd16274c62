package standin

import (
	"context"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/peer"
)

// Network connects instances in memory. Each instance gets a peer.Transport.
// Messages can be delayed, lost, and cut off between any two addresses. They are
// encoded and decoded as on a real network, so that instances share no memory,
// and their bytes are counted.
type Network struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// Lose, if not nil, reports whether the next datagram is lost.
	Lose func() bool

	mu    sync.Mutex
	ports map[string]*Port
	cuts  map[[2]string]bool
}

// NewNetwork returns a network with the given one-way latency.
func NewNetwork(delay time.Duration) *Network {
	return &Network{Delay: delay, ports: make(map[string]*Port), cuts: make(map[[2]string]bool)}
}

// Cut drops all messages between two addresses if cut is set, and delivers them
// again otherwise.
func (n *Network) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// Port opens a port at an address.
func (n *Network) Port(address string) *Port {
	port := &Port{network: n, address: address, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports[address] = port
	return port
}

// reach returns the port at an address, or nil if it is not open or the two
// addresses are cut off from each other.
func (n *Network) reach(from, to string) *Port {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]string{from, to}] {
		return nil
	}
	return n.ports[to]
}

// Port is one address on a Network.
type Port struct {
	network *Network
	address string

	mu      sync.Mutex
	handler peer.Handler
	ctx     context.Context
	frozen  bool
	once    sync.Once
	closed  chan struct{}
	traffic Traffic
}

// Traffic counts the messages and bytes that a port sent.
type Traffic struct {
	Messages int64
	Bytes    int64
}

// Traffic returns the messages and bytes that the port has sent so far.
func (p *Port) Traffic() Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.traffic
}

// Freeze stops the port from sending and answering if frozen is set, like a
// suspended process, and lets it continue otherwise.
func (p *Port) Freeze(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
}

// Serve implements peer.Transport.
func (p *Port) Serve(ctx context.Context, handler peer.Handler) error {
	p.mu.Lock()
	p.handler, p.ctx = handler, ctx
	p.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-p.closed:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler = nil
	return ctx.Err()
}

// Close implements peer.Transport.
func (p *Port) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// encodeOutgoing encodes a message and counts it as sent. It returns nil while the
// port is frozen.
func (p *Port) encodeOutgoing(message *peer.Message) []byte {
	encoded, err := peer.Encode(message)
	if err != nil {
		panic("standin: encode message: " + err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen {
		return nil
	}
	p.traffic.Messages++
	p.traffic.Bytes += int64(len(encoded))
	return encoded
}

func (p *Port) receive(data []byte) (*peer.Message, bool) {
	p.mu.Lock()
	handler, ctx, frozen := p.handler, p.ctx, p.frozen
	p.mu.Unlock()
	message, err := peer.Decode(data)
	if handler == nil || frozen || err != nil {
		return nil, false
	}
	answer := handler(ctx, message)
	return answer, answer != nil
}

// Send implements peer.Transport.
func (p *Port) Send(address string, message *peer.Message) {
	data := p.encodeOutgoing(message)
	if data == nil || (p.network.Lose != nil && p.network.Lose()) {
		return
	}
	time.AfterFunc(p.network.Delay, func() {
		if to := p.network.reach(p.address, address); to != nil {
			to.receive(data)
		}
	})
}

// Call implements peer.Transport.
func (p *Port) Call(ctx context.Context, address string, request *peer.Message) (*peer.Message, error) {
	data := p.encodeOutgoing(request)
	answers := make(chan []byte, 1)
	if data != nil {
		time.AfterFunc(p.network.Delay, func() { p.deliver(address, data, answers) })
	}
	select {
	case answer := <-answers:
		return peer.Decode(answer)
	case <-ctx.Done():
		return nil, peer.ErrNoAnswer
	}
}

func (p *Port) deliver(address string, data []byte, answers chan<- []byte) {
	to := p.network.reach(p.address, address)
	if to == nil {
		return
	}
	answer, ok := to.receive(data)
	if !ok {
		return
	}
	encoded := to.encodeOutgoing(answer)
	if encoded == nil || p.network.reach(address, p.address) == nil {
		return
	}
	time.AfterFunc(p.network.Delay, func() { answers <- encoded })
}
