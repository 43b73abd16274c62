package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/socket"
)

// Conn is a connection to a backend server. It carries one request at a time.
type Conn struct {
	pool   *Pool
	raw    net.Conn
	head   *headReader
	reader *bufio.Reader
	// idleTimeout is the time for which the connection may stay idle.
	idleTimeout time.Duration
	idleUntil   time.Time
	// reused is set once the connection was idle between two requests.
	reused bool
}

// Reused reports whether the connection was idle between two requests. Its server may close such a connection as a
// request is sent, without having read it.
func (c *Conn) Reused() bool { return c.reused }

// usable reports whether an idle connection may carry another request.
func (c *Conn) usable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && socket.IsEmpty(c.raw)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.raw.Close()
	c.pool.decrementOpen()
}

// Release returns a connection that carries no request to its pool.
func (c *Conn) Release() { c.release() }

// release returns the connection to its pool. A connection with unexpected
// bytes after the last answer is closed.
func (c *Conn) release() {
	if c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.idleUntil = clock.Now().Add(c.idleTimeout)
	c.pool.addIdle(c)
}

// Message is one request as it is sent.
type Message struct {
	Method string
	// Head is the request line and the header with the empty line behind it, and Body the body. They are written
	// one after the other, so that a body need not be copied.
	Head, Body []byte
	// Matches reports whether an answer with this header belongs to this request.
	// If nil, every answer does.
	Matches func(http.Header) bool
	// OnReceive, if set, is called whenever data from the server is received.
	OnReceive func()
}

// pastDeadline is a deadline that ends a pending read or write immediately.
var pastDeadline = time.Unix(1, 0)

// Do sends a message and reads the header of its answer. The caller must close
// the answer, which returns the connection to its pool or closes it. When ctx
// ends before that, the connection is closed. The error is ErrBroken.
func (c *Conn) Do(ctx context.Context, message Message) (*Answer, error) {
	c.raw.SetDeadline(time.Time{})
	c.head.begin(ctx)
	stop := context.AfterFunc(ctx, func() { c.raw.SetDeadline(pastDeadline) })
	written := c.write(message)
	response, err := c.answer(message)
	if err != nil {
		stop()
		c.Discard()
		return nil, broken(ctx, err)
	}
	return &Answer{Response: response, conn: c, stop: stop, written: written, onReceive: message.OnReceive, ctx: ctx}, nil
}

// broken returns the error of an answer whose read failed. If the request's context has ended, that is the reason, and not
// the server.
func broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.WithMessage(ErrBroken, "ended by this instance: "+context.Cause(ctx).Error())
	}
	return errors.WithMessage(ErrBroken, bounded(err.Error()))
}

// maxCauseBytes bounds the text of an error that may quote bytes of an answer, which are many in an answer that is none. It has
// room for the start of a line of a head.
const maxCauseBytes = 200

// bounded returns the start of a text.
func bounded(text string) string {
	if len(text) <= maxCauseBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxCauseBytes], "") + "..."
}

// maxSyncWrite is the size in bytes up to which a message is written before its
// answer is read. A longer message is written concurrently, because a server
// may answer before it has read all of it.
const maxSyncWrite = 8 << 10

// writeResult is the result of the write of a message.
type writeResult struct {
	// ended is closed when the write has ended, and err is set before that.
	ended chan struct{}
	err   error
}

func (r *writeResult) end(err error) {
	r.err = err
	close(r.ended)
}

// write sends the message.
func (c *Conn) write(message Message) *writeResult {
	written := &writeResult{ended: make(chan struct{})}
	if len(message.Head)+len(message.Body) <= maxSyncWrite {
		_, err := c.raw.Write(append(message.Head, message.Body...))
		written.end(err)
		return written
	}
	go func() {
		parts := net.Buffers{message.Head, message.Body}
		_, err := parts.WriteTo(c.raw)
		written.end(err)
	}()
	return written
}

// answer reads answers until one belongs to the request. Any other answer is a
// late duplicate of an answer to an earlier request and is dropped.
func (c *Conn) answer(message Message) (*http.Response, error) {
	defer c.head.unlimit()
	strayBytes := maxStrayBytes
	for range 1 + maxStrayAnswers {
		response, err := c.finalAnswer(message)
		if err != nil {
			return nil, err
		}
		if message.Matches == nil || message.Matches(response.Header) {
			return response, nil
		}
		c.head.limit(strayBytes)
		if err := discardAnswer(response); err != nil {
			return nil, err
		}
		strayBytes = c.head.left
	}
	return nil, errors.New("too many answers to other requests")
}

// finalAnswer reads the head of an answer and drops the interim answers before it (RFC 9110, section 15.2). The bound on
// the size of a head is one for all of them, so that interim answers without an end are broken.
func (c *Conn) finalAnswer(message Message) (*http.Response, error) {
	c.head.limit(maxHeadBytes)
	for {
		response, err := c.readHead(message.Method)
		if err != nil {
			return nil, err
		}
		if message.OnReceive != nil {
			message.OnReceive()
		}
		switch {
		case response.StatusCode >= http.StatusOK:
			return response, nil
		case response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols:
			// No request has asked for another protocol.
			return nil, errors.Errorf("status %d is no answer", response.StatusCode)
		}
	}
}

// readHead reads the head of one answer to a request with that method.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.head.record(c.reader)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkHead(response, c.head.recorded(c.reader)); err != nil {
		return nil, err
	}
	return response, nil
}

// keepAlive returns the idle timeout that a server announces, if any.
func keepAlive(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
