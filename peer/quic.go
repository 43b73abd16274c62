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
	// maxMessageBytes is the maximum size of a message on a stream, in bytes.
	maxMessageBytes = 4 << 20
	// maxDatagramBytes is a size that fits into a QUIC datagram on every path, in
	// bytes. A longer heartbeat is sent on a stream.
	maxDatagramBytes = 1100
	// idleTimeout is the time without traffic after which a connection is
	// closed.
	idleTimeout = 10 * time.Second
	// keepAliveInterval is the interval of keep-alive packets, which keep connections
	// open between heartbeats.
	keepAliveInterval = 3 * time.Second
	// handshakeTimeout limits the time to establish a connection.
	handshakeTimeout = time.Second
	// maxStreams limits the concurrent requests of one sibling.
	maxStreams = 4096
	// redialInterval is the minimum time between two dial attempts to one
	// address. Without it each heartbeat to a dead sibling would dial again.
	redialInterval = time.Second
)

// QUIC implements Transport over QUIC.
type QUIC struct {
	keys      *Keys
	transport *quic.Transport
	listener  *quic.Listener
	rejected  atomic.Int64

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address, or the attempt to establish one.
type link struct {
	// ready is closed once conn or err is set.
	ready   chan struct{}
	conn    *quic.Conn
	err     error
	created time.Time
}

// ListenQUIC opens a UDP socket at an address and returns a transport on it.
func ListenQUIC(address string, keys *Keys) (*QUIC, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve peer address")
	}
	conn, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for siblings")
	}
	return NewQUIC(conn, keys)
}

// NewQUIC returns a transport on an open UDP socket. Its Close closes the socket.
func NewQUIC(conn net.PacketConn, keys *Keys) (*QUIC, error) {
	transport := &quic.Transport{Conn: conn}
	q := &QUIC{keys: keys, transport: transport, links: make(map[string]*link)}
	var err error
	q.listener, err = transport.Listen(keys.serverConfig(q.countRejected), quicConfig())
	if err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "listen for siblings")
	}
	return q, nil
}

func (q *QUIC) countRejected() { q.rejected.Add(1) }

// RejectedConnections returns the number of connections that were rejected because the
// client had no valid certificate.
func (q *QUIC) RejectedConnections() int64 { return q.rejected.Load() }

func quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:       true,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAliveInterval,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Address returns the local UDP address.
func (q *QUIC) Address() string { return q.transport.Conn.LocalAddr().String() }

// Close closes all connections and the socket.
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
			return errors.Wrap(err, "accept sibling connection")
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
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		return
	}
	request, err := Decode(data)
	if err != nil {
		return
	}
	answer := handler(ctx, request)
	if answer == nil {
		return
	}
	if encoded, err := Encode(answer); err == nil {
		stream.Write(encoded)
	}
}

// Call implements Transport.
func (q *QUIC) Call(ctx context.Context, address string, request *Message) (*Message, error) {
	conn, err := q.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	answer, err := exchange(ctx, conn, request)
	if err != nil {
		return nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	return answer, nil
}

func exchange(ctx context.Context, conn *quic.Conn, request *Message) (*Message, error) {
	encoded, err := Encode(request)
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
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		return nil, err
	}
	if len(data) == 0 {
		return nil, errors.New("empty answer")
	}
	return Decode(data)
}

// Send implements Transport. It never blocks. Without a connection to the
// address it starts to dial and drops the message.
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
	if len(encoded) <= maxDatagramBytes && l.conn.SendDatagram(encoded) == nil {
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

// link returns the link to an address. It starts to dial when there is none or
// when the existing one is stale.
func (q *QUIC) link(address string) *link {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.links[address]
	if ok && !l.stale(time.Now()) {
		return l
	}
	l = &link{ready: make(chan struct{}), created: time.Now()}
	q.links[address] = l
	go q.dial(address, l)
	return l
}

// stale reports whether the link must be replaced by a new one.
func (l *link) stale(now time.Time) bool {
	select {
	case <-l.ready:
	default:
		return false
	}
	if l.err != nil {
		return now.Sub(l.created) > redialInterval
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
