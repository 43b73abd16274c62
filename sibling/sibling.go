// Package sibling asks one instance for what it believes, over HTTP with CBOR:
// for an instance that cannot reach the platform's store.
package sibling

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/edge"
	"github.com/mastwheel/mastwheel/logging"
)

const (
	// path asks for a snapshot; the body says what the asker has.
	path = "/snapshot"
	// askTimeout bounds one question; a table with hundreds of routes has some
	// hundred kilobytes.
	askTimeout = 800 * time.Millisecond
	// idle keeps connections between questions that follow each other; one that
	// rested for longer may have gone silent without a reset, which costs a
	// question its time-out.
	idle = time.Second
)

// Server answers siblings.
type Server struct {
	tell func(edge.Have) edge.Snapshot
	http *fasthttp.Server
}

// NewServer returns a server that answers with tell.
func NewServer(tell func(edge.Have) edge.Snapshot) *Server {
	s := &Server{tell: tell}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: logging.Silent{}}
	return s
}

// Serve answers on listener.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(listener), "serve siblings")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	var have edge.Have
	if err := cbor.Unmarshal(ctx.PostBody(), &have); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(s.tell(have))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
}

// Client asks siblings.
type Client struct{ http *fasthttp.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		// A question that was given up must not hold its connection for ever.
		ReadTimeout: askTimeout, WriteTimeout: askTimeout, MaxIdleConnDuration: idle,
	}}
}

// Snapshot implements edge.Siblings.
func (c *Client) Snapshot(_ context.Context, address string, have edge.Have) (edge.Snapshot, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, err := cbor.Marshal(have)
	if err != nil {
		return edge.Snapshot{}, errors.Wrap(err, "encode what is known")
	}
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, askTimeout); err != nil {
		return edge.Snapshot{}, errors.Wrap(err, "ask a sibling")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return edge.Snapshot{}, errors.Errorf("sibling answered with status %d", response.StatusCode())
	}
	var snapshot edge.Snapshot
	return snapshot, errors.Wrap(cbor.Unmarshal(response.Body(), &snapshot), "decode a sibling's snapshot")
}
