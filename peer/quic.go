package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// maxMessage bounds a message on a stream, in bytes.
	maxMessage = 4 << 20
	// maxDatagram is what fits a QUIC datagram on every path, in bytes. A
	// longer heartbeat goes on a stream.
	maxDatagram = 1100
	// idleTimeout drops a connection to a silent sibling.
	idleTimeout = 10 * time.Second
	// keepAlive keeps connections between heartbeats.
	keepAlive = 3 * time.Second
	// handshakeTimeout bounds a connection set-up.
	handshakeTimeout = time.Second
	// maxStreams bounds the questions that one sibling may have open.
	maxStreams = 4096
	// redialPause keeps heartbeats from dialling a dead sibling all the time.
	redialPause = time.Second
)

// QUIC is the Transport over QUIC.
type QUIC struct {
	keys      *Keys
	transport *quic.Transport
	listener  *quic.Listener
	strangers atomic.Int64

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address, or the attempt to make one.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
	made  time.Time
}

// ListenQUIC opens the UDP address for siblings.
func ListenQUIC(address string, keys *Keys) (*QUIC, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	conn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for siblings")
	}
	return NewQUIC(conn, keys)
}

// NewQUIC serves siblings on an open UDP socket, which it closes at the end.
func NewQUIC(conn net.PacketConn, keys *Keys) (*QUIC, error) {
	transport := &quic.Transport{Conn: conn}
	q := &QUIC{keys: keys, transport: transport, links: make(map[string]*link)}
	var err error
	q.listener, err = transport.Listen(keys.serverConfig(q.countStranger), quicConfig())
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "listen for siblings")
	}
	return q, nil
}

func (q *QUIC) countStranger() { q.strangers.Add(1) }

// Strangers counts the connections that were refused for want of a valid key.
func (q *QUIC) Strangers() int64 { return q.strangers.Load() }

func quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:       true,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address returns the UDP address in use.
func (q *QUIC) Address() string { return q.transport.Conn.LocalAddr().String() }

// Close ends every connection.
func (q *QUIC) Close() error {
	q.listener.Close()
	err := q.transport.Close()
	q.transport.Conn.Close()
	return errors.Wrap(err, "close sibling transport")
}

// Serve implements Transport.
func (q *QUIC) Serve(ctx context.Context, handler Handler) error {
	for {
		conn, err := q.listener.Accept(ctx)
		if err != nil {
			return errors.Wrap(err, "accept sibling")
		}
		go serveConn(ctx, conn, handler)
	}
}

func serveConn(ctx context.Context, conn *quic.Conn, handler Handler) {
	go serveDatagrams(ctx, conn, handler)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go serveStream(ctx, stream, handler)
	}
}

func serveDatagrams(ctx context.Context, conn *quic.Conn, handler Handler) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		if message, err := Decode(data); err == nil {
			handler(ctx, message)
		}
	}
}

func serveStream(ctx context.Context, stream *quic.Stream, handler Handler) {
	defer stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		return
	}
	question, err := Decode(data)
	if err != nil {
		return
	}
	answer := handler(ctx, question)
	if answer == nil {
		return
	}
	if encoded, err := Encode(answer); err == nil {
		stream.Write(encoded)
	}
}

// Call implements Transport.
func (q *QUIC) Call(ctx context.Context, address string, question *Message) (*Message, error) {
	conn, err := q.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreached, err.Error())
	}
	answer, err := exchange(ctx, conn, question)
	if err != nil {
		return nil, errors.Wrap(ErrUnreached, err.Error())
	}
	return answer, nil
}

func exchange(ctx context.Context, conn *quic.Conn, question *Message) (*Message, error) {
	encoded, err := Encode(question)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(encoded); err != nil {
		return nil, err
	}
	stream.Close()
	data, err := io.ReadAll(io.LimitReader(stream, maxMessage))
	if err != nil {
		return nil, err
	}
	if len(data) == 0 {
		return nil, errors.New("empty answer")
	}
	return Decode(data)
}

// Send implements Transport. It never blocks: a message to an address that is
// not connected yet starts the connection and is lost.
func (q *QUIC) Send(address string, message *Message) {
	l := q.link(address)
	select {
	case <-l.ready:
	default:
		return
	}
	if l.err != nil {
		return
	}
	encoded, err := Encode(message)
	if err != nil {
		return
	}
	if len(encoded) <= maxDatagram && l.conn.SendDatagram(encoded) == nil {
		return
	}
	if stream, err := l.conn.OpenStream(); err == nil {
		stream.Write(encoded)
		stream.Close()
		stream.CancelRead(0)
	}
}

func (q *QUIC) connect(ctx context.Context, address string) (*quic.Conn, error) {
	l := q.link(address)
	select {
	case <-l.ready:
		return l.conn, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// link returns the live link to an address, and dials when there is none.
func (q *QUIC) link(address string) *link {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.links[address]
	if ok && !l.stale(time.Now()) {
		return l
	}
	l = &link{ready: make(chan struct{}), made: time.Now()}
	q.links[address] = l
	go q.dial(address, l)
	return l
}

// stale says whether the link must be made anew.
func (l *link) stale(now time.Time) bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.err != nil {
		return now.Sub(l.made) > redialPause
	}
	return l.conn.Context().Err() != nil
}

func (q *QUIC) dial(address string, l *link) {
	defer close(l.ready)
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		l.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	l.conn, l.err = q.transport.Dial(ctx, udpAddress, q.keys.clientConfig(), quicConfig())
}
