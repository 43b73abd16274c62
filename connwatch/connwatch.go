// Package connwatch notices a caller that goes away while its request is
// being worked on. An HTTP server does not read from the connection in that
// time, so nothing else would tell until the next write fails. It also lets a
// caller read the answer to a request that was not read whole.
package connwatch

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// writeTimeout bounds one write to a caller that no longer reads.
const writeTimeout = 10 * time.Second

// Listener hands out connections that can be watched.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Conn is a connection that can be watched between its reads.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// early is a byte that arrived while the connection was watched: the
	// begin of a pipelined request.
	early    byte
	hasEarly bool
	// unread is set once a request was answered before all of it was read.
	unread bool
}

// A connection that is closed with bytes unread is reset, and a caller that is
// still sending then loses the answer that was on its way to it. So what is left
// is read for a while, and dropped.
const (
	// unreadTime bounds it in time: callers that never end do not hold a
	// connection for longer.
	unreadTime = time.Second
	// unreadBytes bounds it in bytes; bodies are refused from 1 MiB on.
	unreadBytes = 8 << 20
)

// AnswerUnread notes that the request on conn is answered though it was not read
// whole.
func AnswerUnread(conn net.Conn) {
	of, ok := conn.(*Conn)
	if !ok {
		return
	}
	of.mu.Lock()
	defer of.mu.Unlock()
	of.unread = true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	unread := c.unread
	c.unread = false
	c.mu.Unlock()
	if unread {
		c.dropRest()
	}
	return c.Conn.Close()
}

// dropRest ends the sending side and reads what the caller still sends. Its
// errors mean that there is nothing left to wait for.
func (c *Conn) dropRest() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(unreadTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, unreadBytes)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasEarly && len(p) > 0 {
		p[0] = c.early
		c.hasEarly = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write implements net.Conn; a caller that has stopped reading ends it.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	return c.Conn.Write(p)
}

// Watch calls gone, once, if the caller closes its side before stop is
// called. A caller that closes only its sending side counts as gone too, as
// it does for other HTTP servers. Nobody may read until stop has returned.
func (c *Conn) Watch(gone func()) (stop func()) {
	c.mu.Lock()
	watchable := !c.hasEarly
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

func (c *Conn) awaitByte(gone func()) {
	var buffer [1]byte
	n, err := c.Conn.Read(buffer[:])
	if n == 1 {
		c.mu.Lock()
		c.early, c.hasEarly = buffer[0], true
		c.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		gone()
	}
}

// Context returns a context that ends when the caller on conn goes away.
// release must be called before the connection is read again.
func Context(conn net.Conn) (watched context.Context, release func()) {
	watched, cancel := context.WithCancel(context.Background())
	of, ok := conn.(*Conn)
	if !ok {
		return watched, cancel
	}
	stop := of.Watch(cancel)
	return watched, func() {
		stop()
		cancel()
	}
}
