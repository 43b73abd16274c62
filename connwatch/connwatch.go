// Package connwatch detects a caller that disconnects while its request is
// being handled. An HTTP server does not read from the connection during that
// time, so it would notice only when the next write fails. The package also
// makes sure that a caller receives the answer to a request that was not read
// completely.
package connwatch

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/socket"
)

// writeTimeout limits one write to a caller that no longer reads.
const writeTimeout = 10 * time.Second

// Listener accepts each connection as a Conn, so that a disconnect of the caller can
// be detected while its request is being handled.
type Listener struct {
	net.Listener
	// Limit bounds the connections; nil if they are not bounded.
	Limit *Limit
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.Limit.admit(conn); admitted != nil {
			return admitted, nil
		}
	}
}

// Conn is a caller's connection. Between two reads, Watch detects a disconnect of the
// caller.
type Conn struct {
	net.Conn
	limit *Limit
	// idleSince is when the connection was left without a request, or when the header of one began to come, in
	// nanoseconds since 1970, or a state.
	idleSince atomic.Int64
	// used is set once a request has begun. Only the reader of the connection uses it.
	used bool
	// reading is set while the header of a request is received, and a body of some kilobytes, which the server reads with it.
	reading atomic.Bool
	// charge is what the connection takes from the budget, in bytes.
	charge atomic.Int64

	mu sync.Mutex
	// firstByte is a byte that was received while Watch waited for a disconnect. It
	// is the first byte of a pipelined request.
	firstByte    byte
	hasFirstByte bool
	// answeredUnread is set once a request was answered before all of it was read.
	answeredUnread bool
}

// Limits for reading the rest of a request before its connection is closed. The
// kernel resets a connection that is closed with unread bytes, and a caller that
// is still sending then loses the answer. So the rest is read and discarded.
const (
	// discardTimeout limits the time, so that a caller that never stops sending
	// doesn't hold a connection for longer.
	discardTimeout = time.Second
	// maxDiscardBytes limits the size in bytes. Bodies are refused from 1 MiB on.
	maxDiscardBytes = 8 << 20
)

// DiscardUnreadOnClose records that the request on conn is answered before it was read
// completely.
func DiscardUnreadOnClose(conn net.Conn) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredUnread = true
}

// Close implements net.Conn. Bytes of a request behind the last answer, such as a pipelined one, are discarded.
func (c *Conn) Close() error {
	c.mu.Lock()
	unread := c.answeredUnread || c.hasFirstByte
	c.answeredUnread, c.hasFirstByte = false, false
	c.mu.Unlock()
	// All answers are written.
	c.idleSince.Store(connEvicted)
	if unread || !socket.IsEmpty(c.Conn) {
		c.discardUnread()
	}
	if c.limit != nil {
		c.limit.remove(c)
	}
	return c.Conn.Close()
}

// discardUnread closes the sending side and discards what the caller still sends.
// Errors are ignored because after one there is nothing left to wait for.
func (c *Conn) discardUnread() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardBytes)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasFirstByte && len(p) > 0 {
		p[0] = c.firstByte
		c.hasFirstByte = false
		c.mu.Unlock()
		if !c.begin() {
			return 0, io.EOF
		}
		return 1, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begin() {
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn. It fails after writeTimeout if the caller has
// stopped reading.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return c.Conn.Write(p)
}

// Watch calls gone once if the caller closes the connection before stop is
// called. A caller that closes only its sending side is treated as gone too, as
// other HTTP servers do. The connection must not be read until stop has
// returned.
func (c *Conn) Watch(gone func()) (stop func()) {
	c.mu.Lock()
	watchable := !c.hasFirstByte
	c.mu.Unlock()
	if !watchable || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.awaitByte(gone)
	}()
	return func() {
		// A deadline in the past ends the pending read.
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// awaitByte reads one byte and keeps it for the next Read. It calls gone when the
// read fails for another reason than its deadline.
func (c *Conn) awaitByte(gone func()) {
	var buffer [1]byte
	n, err := c.Conn.Read(buffer[:])
	if n == 1 {
		c.mu.Lock()
		c.firstByte, c.hasFirstByte = buffer[0], true
		c.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		gone()
	}
}

// errDisconnected is the cause of the end of the context of a caller that has disconnected.
var errDisconnected = errors.New("the caller disconnected")

// Context returns a context that ends when the caller on conn disconnects.
// release must be called before the connection is read again.
func Context(conn net.Conn) (watched context.Context, release func()) {
	watched, end := context.WithCancelCause(context.Background())
	cancel := func() { end(nil) }
	c, ok := conn.(*Conn)
	if !ok {
		return watched, cancel
	}
	stop := c.Watch(func() { end(errDisconnected) })
	return watched, func() {
		stop()
		cancel()
	}
}
