package sibling

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/connwatch"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/membudget"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/upstream"
)

const (
	// handOverPath is the path of requests that are handed over, and continuePath that of those that
	// take a stream up. Siblings of a version that continues streams at any release do not know the
	// latter.
	handOverPath = "/handover"
	continuePath = "/handover/continued"
	// headField is the header field with the head of a reply, as base64 of CBOR. The reply's own
	// fields may have names that belong to the connection between the instances.
	headField = "Reply-Head"
	// handOverLimit bounds the size of a request or of a whole reply in bytes. It is above the size
	// of the largest body that callers may send.
	handOverLimit = 5 << 20
)

// handedOver is a request that is handed over.
type handedOver struct {
	From    string          `cbor:"1,keyasint"`
	Request forward.Request `cbor:"2,keyasint"`
	// Left is the time left until the caller stops waiting, and Waited the time since the request
	// arrived.
	Left   time.Duration `cbor:"3,keyasint"`
	Waited time.Duration `cbor:"4,keyasint"`
	// SenderLeft is the time left until the graceful shutdown of the sender ends what it passes on; 0 if it does not stop.
	SenderLeft time.Duration `cbor:"5,keyasint,omitempty"`
}

// request returns the request as this instance handles it.
func (h *handedOver) request(now time.Time) *forward.Request {
	r := h.Request
	r.HandedOver = h.From
	r.Arrived, r.Deadline = now.Add(-h.Waited), now.Add(h.Left)
	if h.SenderLeft != 0 {
		r.SenderEnds = now.Add(h.SenderLeft)
	}
	return &r
}

// replyHead is a reply without its body.
type replyHead struct {
	Status     int             `cbor:"1,keyasint"`
	Fields     []forward.Field `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"3,keyasint,omitempty"`
	Reason     reason.Reason   `cbor:"4,keyasint,omitempty"`
	Streamed   bool            `cbor:"5,keyasint,omitempty"`
}

// serveHandedOver serves a request that a sibling hands over. The body of the request that is decoded is a copy, which
// takes the account of the encoded one over.
func (s *Server) serveHandedOver(ctx *fasthttp.RequestCtx, encoded *membudget.Buffer) {
	var handed handedOver
	if err := cbor.Unmarshal(encoded.Bytes, &handed); err != nil || handed.From == "" {
		encoded.Release()
		ctx.Error(fmt.Sprintf("decode request that is handed over: %v", err), fasthttp.StatusBadRequest)
		return
	}
	encoded.Bytes = nil
	watched, stopWatching := connwatch.Context(ctx.Conn())
	release := func() {
		stopWatching()
		encoded.Release()
	}
	reply := s.serve(watched, handed.request(clock.Now()))
	setReply(ctx, reply)
	if reply.Stream == nil {
		connwatch.SetBody(ctx, reply.Body, reply.Held.Release)
		release()
		return
	}
	ctx.SetBodyStream(&connwatch.Body{ReadCloser: reply.Stream, Release: release}, -1)
}

// setReply sets the head of the answer to a sibling.
func setReply(ctx *fasthttp.RequestCtx, reply *forward.Reply) {
	head, err := cbor.Marshal(replyHead{
		Status: reply.Status, Fields: reply.Fields, RetryAfter: reply.RetryAfter, Reason: reply.Reason, Streamed: reply.Stream != nil,
	})
	if err != nil {
		panic("sibling: encode the head of a reply: " + err.Error())
	}
	ctx.Response.Header.Set(headField, base64.StdEncoding.EncodeToString(head))
}

// refuseUnread answers a request that was not read, so that the sibling asks another one.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, membudget.ErrFull) {
		setReply(ctx, &forward.Reply{Status: fasthttp.StatusServiceUnavailable, Reason: reason.MemoryFull})
		return
	}
	ctx.SetStatusCode(fasthttp.StatusBadRequest)
}

// HandOver hands requests over to siblings. It implements the sending part of forward.Siblings.
type HandOver struct {
	name   string
	budget *membudget.Budget

	mu    sync.Mutex
	pools map[string]*upstream.Pool
}

// NewHandOver returns a client for the instance of the given name. The memory of encoded requests and of replies is
// accounted in budget.
func NewHandOver(name string, budget *membudget.Budget) *HandOver {
	return &HandOver{name: name, budget: budget, pools: make(map[string]*upstream.Pool)}
}

func (h *HandOver) pool(address string) *upstream.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	pool, ok := h.pools[address]
	if !ok {
		config := upstream.DefaultConfig()
		config.IdleTimeout = idleTimeout
		pool = upstream.NewPool(address, config)
		h.pools[address] = pool
	}
	return pool
}

// Prune closes the connections that were idle for too long, and forgets siblings without connections.
func (h *HandOver) Prune(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, pool := range h.pools {
		pool.Prune(now)
		if pool.IsEmpty() {
			delete(h.pools, address)
		}
	}
}

// Serve has a sibling serve a request.
func (h *HandOver) Serve(ctx context.Context, to forward.Sibling, r *forward.Request, deadline time.Time) (*forward.Reply, error) {
	encoded := int64(len(r.Body))
	if err := h.budget.Refusing()(encoded); err != nil {
		return nil, &forward.NotRunError{Why: reason.MemoryFull, Detail: err.Error()}
	}
	defer h.budget.Release(encoded)
	message, err := h.message(to.Address, r, deadline)
	if err != nil {
		return nil, &forward.NotRunError{Why: reason.ConnectFailed, Detail: err.Error()}
	}
	conn, err := h.pool(to.Address).Acquire(ctx)
	if err != nil {
		return nil, &forward.NotRunError{Why: reason.ConnectFailed, Detail: err.Error()}
	}
	answer, err := conn.Do(ctx, message)
	if err != nil {
		return nil, err
	}
	return h.readReply(ctx, answer)
}

func (h *HandOver) message(address string, r *forward.Request, deadline time.Time) (upstream.Message, error) {
	now := clock.Now()
	handed := handedOver{From: h.name, Request: *r, Left: deadline.Sub(now), Waited: now.Sub(r.Arrived)}
	if !r.SenderEnds.IsZero() {
		handed.SenderLeft = r.SenderEnds.Sub(now)
	}
	body, err := cbor.Marshal(handed)
	if err != nil {
		return upstream.Message{}, errors.Wrap(err, "encode request that is handed over")
	}
	if len(body) > handOverLimit {
		return upstream.Message{}, errors.New("request is too large to be handed over")
	}
	var out bytes.Buffer
	path := handOverPath
	if r.LastEvent != "" {
		path = continuePath
	}
	fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", path, address, len(body))
	return upstream.Message{Method: http.MethodPost, Head: out.Bytes(), Body: body}, nil
}

// readReply reads a sibling's reply. A stream is read by whoever gets the reply. A sibling of a version
// that does not know the path, cannot decode the request or has not received all of it, does not run it.
func (h *HandOver) readReply(ctx context.Context, answer *upstream.Answer) (*forward.Reply, error) {
	switch answer.StatusCode {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestHeaderFieldsTooLarge:
		answer.Close()
		return nil, &forward.NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status " + strconv.Itoa(answer.StatusCode) + " of the sibling"}
	}
	head, err := readHead(answer)
	if err != nil {
		answer.Close()
		return nil, err
	}
	reply := &forward.Reply{Status: head.Status, Fields: head.Fields, RetryAfter: head.RetryAfter, Reason: head.Reason}
	if head.Streamed {
		reply.Stream = answer
		return reply, nil
	}
	defer answer.Close()
	forward.AnswerBegins(ctx)
	if reply.Held, err = h.budget.ReadAnswer(ctx, answer, answer.ContentLength, handOverLimit); err != nil {
		return nil, err
	}
	reply.Body = reply.Held.Bytes
	return reply, nil
}

// maxStatus is the highest status that has three digits.
const maxStatus = 999

// readHead reads the head of a reply. Siblings send replies with a length or in chunks, so one without either has lost a
// part of its head, and its end cannot be told from a break.
func readHead(answer *upstream.Answer) (replyHead, error) {
	var head replyHead
	if answer.EndsWithConnection() {
		return head, errors.WithMessage(upstream.ErrBroken, "a sibling's reply has neither length nor chunks")
	}
	raw, err := base64.StdEncoding.DecodeString(answer.Header.Get(headField))
	if err != nil {
		return head, errors.Wrap(err, "decode the head of a sibling's reply")
	}
	if answer.StatusCode != http.StatusOK || cbor.Unmarshal(raw, &head) != nil || head.Status < http.StatusOK || head.Status > maxStatus {
		return head, errors.Errorf("sibling gave no reply: status %d", answer.StatusCode)
	}
	return head, nil
}
