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
)

// Conn is one connection to a backend server, used by one request at a time.
type Conn struct {
	pool   *Pool
	raw    net.Conn
	reader *bufio.Reader
	// idleFor is how long the server keeps the connection without a request.
	idleFor   time.Duration
	idleUntil time.Time
}

// usable says whether an idle connection may carry another request.
func (c *Conn) usable(now time.Time) bool {
	return now.Before(c.idleUntil) && c.reader.Buffered() == 0 && silent(c.raw)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.raw.Close()
	c.pool.forget()
}

// Release gives a connection back that carries no request.
func (c *Conn) Release() { c.release() }

// release keeps the connection for the next request.
func (c *Conn) release() {
	if c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.idleUntil = clock.Now().Add(c.idleFor)
	c.pool.putIdle(c)
}

// Message is one request as it goes over the wire.
type Message struct {
	Method string
	// Bytes is the whole request, header and body.
	Bytes []byte
	// Mine says whether an answer with that header belongs to this request.
	Mine func(http.Header) bool
	// Heard, if set, is called for each sign of life of the server.
	Heard func()
}

// past ends a pending read or write at once.
var past = time.Unix(1, 0)

// Do sends a message and reads the header of its answer. The caller must close
// the answer's body, which gives the connection back or ends it. When ctx ends
// before that, the connection is closed. The error is ErrBroken.
func (c *Conn) Do(ctx context.Context, message Message) (*Answer, error) {
	c.raw.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { c.raw.SetDeadline(past) })
	written := c.write(message.Bytes)
	response, err := c.answer(message)
	if err != nil {
		stop()
		c.Discard()
		return nil, errors.WithMessage(ErrBroken, err.Error())
	}
	return &Answer{Response: response, conn: c, stop: stop, written: written, heard: message.Heard}, nil
}

// smallMessage is written before the answer is awaited. A longer one is
// written beside, since a server may answer before it has read it all.
const smallMessage = 8 << 10

// write sends the message; the channel yields whether all of it was written.
func (c *Conn) write(message []byte) <-chan error {
	written := make(chan error, 1)
	send := func() {
		_, err := c.raw.Write(message)
		written <- err
	}
	if len(message) <= smallMessage {
		send()
	} else {
		go send()
	}
	return written
}

// answer reads answers until one belongs to the request. Others are late
// repetitions of answers to earlier requests, and are dropped.
func (c *Conn) answer(message Message) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: message.Method})
		if err != nil {
			return nil, err
		}
		if message.Heard != nil {
			message.Heard()
		}
		if message.Mine == nil || message.Mine(response.Header) {
			return response, nil
		}
		if err := skip(response); err != nil {
			return nil, err
		}
	}
}

// keepAlive reads the idle timeout that a server announces, if any.
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
