package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
)

// Pool holds the connections to one backend server.
type Pool struct {
	address string
	config  Config
	connect Dial

	mu     sync.Mutex
	idle   []*Conn
	open   int
	limit  int
	closed bool
}

// NewPool returns an empty pool for the server at address, "ip:port".
func NewPool(address string, config Config) *Pool {
	connect := config.Dial
	if connect == nil {
		dialer := &net.Dialer{KeepAlive: -1, Control: UserTimeout(config.SilenceTimeout)}
		if config.SourceAddress != "" {
			dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(config.SourceAddress)}
		}
		connect = dialer.DialContext
	}
	return &Pool{address: address, config: config, connect: connect}
}

// Limit sets the maximum number of open connections. 0 means no limit.
func (p *Pool) Limit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// readBufferSize is the size of a connection's read buffer in bytes. A typical
// header with a small body fits into it.
const readBufferSize = 4 << 10

// receiveBufferBytes bounds what the kernel receives on a connection that is not read, because its answer waits for
// memory or its caller does not read. Such bytes count as memory of the process.
const receiveBufferBytes = 48 << 10

// Acquire returns a usable idle connection or opens a new one. Its error is
// ErrNotSent.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) {
	for {
		conn, full := p.takeIdle()
		if full {
			return nil, ErrLimit
		}
		if conn == nil {
			return p.dial(ctx)
		}
		if conn.usable(clock.Now()) {
			conn.reused = true
			return conn, nil
		}
		conn.Discard()
	}
}

// AcquireNew opens a new connection even if there are idle ones, which may be dead without a sign of
// it. Its error is ErrNotSent.
func (p *Pool) AcquireNew(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return p.dial(ctx)
}

// takeIdle removes and returns the most recently used idle connection. Without
// one it counts a new connection as open, or reports that the limit is reached.
func (p *Pool) takeIdle() (conn *Conn, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		conn = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return conn, false
	}
	if p.limit > 0 && p.open >= p.limit {
		return nil, true
	}
	p.open++
	return nil, false
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	raw, err := p.connect(ctx, "tcp", p.address)
	if err != nil {
		p.decrementOpen()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.WithMessage(ErrRefused, err.Error())
		}
		if errors.Is(err, syscall.ECONNRESET) {
			return nil, errors.WithMessage(ErrReset, err.Error())
		}
		return nil, errors.WithMessage(ErrNotSent, err.Error())
	}
	if buffered, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		// Without it the kernel's own limit holds.
		_ = buffered.SetReadBuffer(receiveBufferBytes)
	}
	head := &headReader{conn: raw}
	return &Conn{pool: p, raw: raw, head: head, reader: bufio.NewReaderSize(head, readBufferSize), idleTimeout: p.config.IdleTimeout}, nil
}

// decrementOpen counts a connection as no longer open.
func (p *Pool) decrementOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) addIdle(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		conn.raw.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// IsEmpty reports whether the pool has no connections.
func (p *Pool) IsEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0
}

// Prune closes the connections whose idle timeout has passed.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Before(conn.idleUntil) {
			kept = append(kept, conn)
			continue
		}
		p.open--
		conn.raw.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections immediately and the connections in use when
// they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		p.open--
		conn.raw.Close()
	}
	p.idle = nil
}
