package connwatch

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/socket"
)

// Answering counts the connections of a server with a request whose answer was not written completely, or that was not read. The
// zero value is ready to be used.
type Answering struct {
	mu sync.Mutex
	// open holds the connections with a request, and idle those of which no request was read.
	open, idle map[net.Conn]struct{}
}

// Note records a change of a connection's state. It is for the field ConnState of a fasthttp.Server.
func (a *Answering) Note(conn net.Conn, state fasthttp.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open, a.idle = make(map[net.Conn]struct{}), make(map[net.Conn]struct{})
	}
	delete(a.open, conn)
	delete(a.idle, conn)
	switch state {
	case fasthttp.StateActive:
		a.open[conn] = struct{}{}
	case fasthttp.StateNew, fasthttp.StateIdle:
		a.idle[conn] = struct{}{}
	}
}

// Count returns the number of these connections.
func (a *Answering) Count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// Unread returns the number of connections without a request of which bytes have not been read: requests that the process has had
// no time for.
func (a *Answering) Unread() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	unread := 0
	for conn := range a.idle {
		if watched, ok := conn.(*Conn); ok && !socket.IsEmpty(watched.Conn) {
			unread++
		}
	}
	return unread
}

// EndReads makes the reads that are under way fail as at a timeout. Requests that were read are not affected.
func (a *Answering) EndReads() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.open {
		endRead(conn)
	}
}
