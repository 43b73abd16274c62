// Package sibling transfers a snapshot of one instance's view (the table and the list of
// backend servers) to another instance, over HTTP with CBOR. Instances that cannot reach
// the platform's store request it. Instances that cannot reach the backend servers hand callers'
// requests over the same way.
package sibling

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/connwatch"
	"github.com/mastwheel/mastwheel/edge"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/membudget"
	"github.com/mastwheel/mastwheel/upstream"
)

const (
	// snapshotPath is the path of the snapshot. The body of the request states what
	// the client already has.
	snapshotPath = "/snapshot"
	// requestTimeout limits one request. A table with hundreds of routes takes
	// some hundred kilobytes.
	requestTimeout = 800 * time.Millisecond
	// idleTimeout is the time for which an idle connection is kept for the next
	// request. After a longer time the connection may be dead without a reset,
	// and a request on it would time out.
	idleTimeout = time.Second
	// maxSnapshotBytes bounds a snapshot in bytes, so that a sibling in trouble does not fill the memory.
	maxSnapshotBytes = 32 << 20
	// readTimeout limits the time to receive one request of a sibling, and serverIdleTimeout the time for which
	// a connection without a request is kept.
	readTimeout       = 5 * time.Second
	serverIdleTimeout = 10 * time.Second
)

// Server serves snapshots to siblings.
type Server struct {
	snapshot func(edge.Have) edge.Snapshot
	serve    func(context.Context, *forward.Request) *forward.Reply
	budget   *membudget.Budget
	http     *fasthttp.Server
	// answering counts the siblings that wait for an answer, or whose request was not read.
	answering connwatch.Answering
}

// NewServer returns a server that answers requests for snapshots with the result of snapshot, and
// requests that are handed over with the result of serve. The memory that these take is accounted in budget.
func NewServer(snapshot func(edge.Have) edge.Snapshot, serve func(context.Context, *forward.Request) *forward.Reply, budget *membudget.Budget) *Server {
	s := &Server{snapshot: snapshot, serve: serve, budget: budget}
	s.http = &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, MaxRequestBodySize: handOverLimit, StreamRequestBody: true,
		ReadTimeout: readTimeout, IdleTimeout: serverIdleTimeout, Logger: logging.Silent{}, ConnState: s.answering.Note,
	}
	return s
}

// Serve serves siblings that connect to listener.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(connwatch.Listener{Listener: listener}), "serve siblings")
}

// Answering returns the number of requests whose answer was not written completely.
func (s *Server) Answering() int { return s.answering.Count() }

// Unread returns the number of connections with a request that the process has had no time to read.
func (s *Server) Unread() int { return s.answering.Unread() }

// EndReads answers the requests that have not come completely yet. The siblings that hand them over ask others.
func (s *Server) EndReads() { s.answering.EndReads() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	body, err := s.readBody(ctx)
	if err != nil {
		// What is left of the body is not read.
		ctx.SetConnectionClose()
		connwatch.DiscardUnreadOnClose(ctx.Conn())
		s.refuseUnread(ctx, err)
		return
	}
	switch string(ctx.Path()) {
	case snapshotPath:
		s.sendSnapshot(ctx, body.Bytes)
		body.Release()
	case handOverPath, continuePath:
		s.serveHandedOver(ctx, body)
	default:
		body.Release()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// readBody reads the body of a sibling's request. Siblings send bodies with a length.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) (*membudget.Buffer, error) {
	stream, length := ctx.RequestBodyStream(), ctx.Request.Header.ContentLength()
	switch {
	case stream == nil || length == 0:
		return &membudget.Buffer{}, nil
	case length < 0 || length > handOverLimit:
		return nil, membudget.ErrTooLarge
	}
	return s.budget.Read(stream, length, s.budget.Refusing())
}

func (s *Server) sendSnapshot(ctx *fasthttp.RequestCtx, request []byte) {
	var have edge.Have
	if err := cbor.Unmarshal(request, &have); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(s.snapshot(have))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
}

// Client requests snapshots from siblings.
type Client struct{ transport *upstream.Transport }

// NewClient returns a client.
func NewClient() *Client {
	config := upstream.DefaultConfig()
	config.DialTimeout, config.IdleTimeout = requestTimeout, idleTimeout
	return &Client{transport: upstream.NewTransport(config)}
}

// Snapshot implements edge.Siblings.
func (c *Client) Snapshot(ctx context.Context, address string, have edge.Have) (edge.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := cbor.Marshal(have)
	if err != nil {
		return edge.Snapshot{}, errors.Wrap(err, "encode snapshot request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+snapshotPath, bytes.NewReader(body))
	if err != nil {
		return edge.Snapshot{}, errors.Wrap(err, "create snapshot request")
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		return edge.Snapshot{}, errors.Wrap(err, "request snapshot from sibling")
	}
	defer response.Body.Close()
	return readSnapshot(response)
}

// readSnapshot reads a sibling's answer.
func readSnapshot(response *http.Response) (edge.Snapshot, error) {
	body, err := upstream.ReadBody(response.Body, maxSnapshotBytes)
	if err != nil {
		return edge.Snapshot{}, errors.Wrap(err, "read snapshot from sibling")
	}
	if response.StatusCode != http.StatusOK {
		return edge.Snapshot{}, errors.Errorf("request snapshot from sibling: status %d", response.StatusCode)
	}
	var snapshot edge.Snapshot
	return snapshot, errors.Wrap(cbor.Unmarshal(body, &snapshot), "decode snapshot from sibling")
}
