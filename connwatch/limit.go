package connwatch

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/membudget"
)

const (
	// newConnBytes is the memory that a connection takes before its first byte: the goroutine's stack and the state of
	// the connection. usedConnBytes is what it takes from its first byte on, with the buffer for the header.
	newConnBytes  = 12 << 10
	usedConnBytes = 28 << 10
	// receiveBufferBytes bounds what the kernel receives on a connection while it is not read, as long as its request
	// is served. It is enough for small requests at any distance. A large body gets more.
	receiveBufferBytes = 32 << 10
	// minIdle is how long a connection must have been without a whole header to make room for a large body or an answer.
	// A caller whose request is about to come is not disturbed for these.
	minIdle = time.Second
	// maxRefusing bounds the connections that are refused at a time and still get an answer.
	maxRefusing = 64
)

// Limit bounds the connections of a listener by a budget of memory. Where a connection does not fit, the one that has been
// without a whole header of a request for longest makes room. If there is none, the new one is answered with 503.
type Limit struct {
	budget *membudget.Budget
	// refused counts and logs a refusal, and returns the delay after which the caller should come back.
	refused  func() time.Duration
	refusing atomic.Int64

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// NewLimit returns a limit by a budget, for which idle connections also make room for all else that it accounts.
func NewLimit(budget *membudget.Budget, refused func() time.Duration) *Limit {
	l := &Limit{budget: budget, refused: refused, open: make(map[*Conn]struct{})}
	budget.SetReclaim(l.reclaim)
	return l
}

// States of Conn.idleSince other than a time.
const (
	connActive  = 0
	connEvicted = -1
)

// admit accounts a new connection. It returns nil if the connection was refused.
func (l *Limit) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw}
	if l == nil {
		return c
	}
	if !l.budget.Reserve(membudget.Idle, newConnBytes) {
		l.refuseNew(raw)
		return nil
	}
	c.limit = l
	c.charge.Store(newConnBytes)
	c.idleSince.Store(clock.Now().UnixNano())
	if buffered, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		// Without it the kernel's own limit holds.
		_ = buffered.SetReadBuffer(receiveBufferBytes)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

// reclaim implements membudget.Reclaim. It closes connections without a whole header, the oldest ones first.
func (l *Limit) reclaim(kind membudget.Kind, missing int64) bool {
	shortest := time.Duration(0)
	if kind == membudget.Large || kind == membudget.Answer {
		shortest = minIdle
	}
	before := clock.Now().Add(-shortest).UnixNano()
	for missing > 0 {
		oldest, since, held := l.oldestIdle(before)
		if held < missing {
			return false
		}
		missing -= l.evict(oldest, since)
	}
	return true
}

// evict closes an idle connection, and returns what it took from the budget; 0 if it is idle no more.
func (l *Limit) evict(c *Conn, since int64) int64 {
	if !c.idleSince.CompareAndSwap(since, connEvicted) {
		return 0
	}
	charge := c.charge.Swap(0)
	// The server's read ends, and the server closes the connection.
	_ = c.Conn.Close()
	l.budget.Release(charge)
	return charge
}

// oldestIdle returns the connection that has been without a whole header for longest, and what all of those take from
// the budget that have been without one since before a time.
func (l *Limit) oldestIdle(before int64) (oldest *Conn, since, held int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		at := c.idleSince.Load()
		if at <= connActive || at > before {
			continue
		}
		held += c.charge.Load()
		if oldest == nil || at < since {
			oldest, since = c, at
		}
	}
	return oldest, since, held
}

// Active returns the number of connections with a request that has begun to come and whose answer was not written completely.
func (l *Limit) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	active := 0
	for c := range l.open {
		if since := c.idleSince.Load(); since == connActive || (since != connEvicted && c.reading.Load()) {
			active++
		}
	}
	return active
}

// all returns all connections.
func (l *Limit) all() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// EndReads makes the reads that are under way fail as at a timeout. Requests that were read are not affected.
func (l *Limit) EndReads() {
	for _, c := range l.all() {
		endRead(c.Conn)
	}
}

// endRead makes a read that is under way fail as at a timeout.
func endRead(conn net.Conn) {
	// A connection that is closed has no read.
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}

// CloseAll closes all connections.
func (l *Limit) CloseAll() {
	for _, c := range l.all() {
		// There is nothing to be done about a connection that does not close.
		_ = c.Conn.Close()
	}
}

func (l *Limit) remove(c *Conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	l.budget.Release(c.charge.Swap(0))
}

// refusal is the answer to a connection that does not fit.
func (l *Limit) refusal() string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.2f\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", l.refused().Seconds())
}

// refuseNew answers a new connection that does not fit.
func (l *Limit) refuseNew(raw net.Conn) {
	answer := l.refusal()
	if l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = raw.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		c := &Conn{Conn: raw, answeredUnread: true}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}()
}

// SetIdle records that the connection has no request.
func (c *Conn) SetIdle() {
	if c.limit != nil {
		c.idleSince.CompareAndSwap(connActive, clock.Now().UnixNano())
	}
}

// begin records that bytes of a request have come. It returns false if there is no room for them, and the connection is
// to be closed. Until its header is complete, the connection still makes room for others.
func (c *Conn) begin() bool {
	if c.limit == nil {
		return true
	}
	since := c.idleSince.Load()
	if since == connActive || (since != connEvicted && c.reading.Load()) {
		return true
	}
	// The connection must not make room for itself.
	if since == connEvicted || !c.idleSince.CompareAndSwap(since, connActive) {
		// The server must not answer it as a request that was cut short.
		_ = c.Conn.Close()
		return false
	}
	if c.use() {
		c.reading.Store(true)
		c.idleSince.Store(clock.Now().UnixNano())
		return true
	}
	c.mu.Lock()
	c.answeredUnread = true
	c.mu.Unlock()
	_, _ = io.WriteString(c, c.limit.refusal())
	return false
}

// use accounts what a connection takes from its first request on.
func (c *Conn) use() bool {
	if c.used {
		return true
	}
	if !c.limit.budget.Reserve(membudget.Request, usedConnBytes-newConnBytes) {
		return false
	}
	c.used = true
	c.charge.Add(usedConnBytes - newConnBytes)
	return true
}

// SetActive records that the header of a request is complete. It returns false if the connection was closed to make room.
func SetActive(conn net.Conn) bool {
	c, ok := conn.(*Conn)
	if !ok || c.limit == nil {
		return true
	}
	// Active counts the connection all the while.
	defer c.reading.Store(false)
	since := c.idleSince.Load()
	return since != connEvicted && c.idleSince.CompareAndSwap(since, connActive)
}

// ExpectLargeBody lets the kernel receive more at a time on a connection whose request has a large body.
func ExpectLargeBody(conn net.Conn, bytes int) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	if buffered, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = buffered.SetReadBuffer(bytes)
	}
}
