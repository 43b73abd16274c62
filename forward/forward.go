// Package forward carries a caller's request to a backend server unchanged, and
// the server's answer back: plain calls to one server, and generations through
// a prefill and a decode engine. It decides where to, how often and for how
// long, and answers for what it says of a request that it gives up.
package forward

import (
	"context"
	"io"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one request of a caller.
type Request struct {
	// ID is the caller's own, new for each try.
	ID string
	// Caller is the address that the request came from, without the port.
	Caller string
	Method string
	// Target is the path and query as they were sent, Path the path alone.
	Target string
	Path   string
	Host   string
	// Fields are passed on unchanged.
	Fields []Field
	Body   []byte
	// Arrived is when the request was read, and Deadline when its caller stops
	// waiting.
	Arrived  time.Time
	Deadline time.Time
	// Key is the digest of the key that the caller shows, if it has shown one, and Team
	// the name of the team that holds it, once that was looked up.
	Key    table.KeyDigest
	HasKey bool
	Team   string
	// Generation is set for requests to model services.
	Generation *Generation
	// LastEvent is the id of the last event that the caller has; empty at the
	// begin of a stream.
	LastEvent string
}

// Generation says what a request wants of a model.
type Generation struct {
	Model string
	// PromptTokens and MaxTokens are exact; LengthHint is the caller's guess at
	// the tokens that will be generated, 0 without one.
	PromptTokens int
	MaxTokens    int
	LengthHint   int
}

// Answer is a backend server's whole answer.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// Stream is a backend server's answer that arrives bit by bit. Read returns
// io.EOF only after its proper end.
type Stream struct {
	Status int
	Fields []Field
	io.ReadCloser
}

// NotRun is the error of a call that the backend server did not run, and never
// will.
type NotRun struct {
	Why reason.Reason
	// Sent says whether the request reached the server.
	Sent bool
	// Withheld is set when it was not sent since the server would not take it now, by what
	// it has said of itself.
	Withheld bool
	// Misdirected is set when another server answers at the address, or one
	// that has another role by now.
	Misdirected bool
	Detail      string
}

// Error implements error.
func (e *NotRun) Error() string { return "not run: " + string(e.Why) + ": " + e.Detail }

// Reservation names KV memory and a slot that a decode engine keeps free.
type Reservation string

// Prefilled names the result of a prefill that waits at its engine.
type Prefilled string

// DecodeOrder says how a decode engine gets at a request's KV cache.
type DecodeOrder struct {
	// Source is the engine that has the result; nil when the decode engine is
	// to read the prompt itself.
	Source      *registry.Entry
	Result      Prefilled
	Reservation Reservation
	LastEvent   string
}

// Backends sends requests to backend servers. Errors are *NotRun when the
// request certainly did not run; after any other the server may have run it.
type Backends interface {
	// Call sends a plain request and reads its whole answer.
	Call(ctx context.Context, server *registry.Entry, r *Request, deadline time.Time) (*Answer, error)
	// Reserve keeps KV memory free at a decode engine.
	Reserve(ctx context.Context, server *registry.Entry, tokens int, ttl time.Duration) (Reservation, error)
	// Release gives a reservation up.
	Release(ctx context.Context, server *registry.Entry, reservation Reservation) error
	// Prefill has an engine read the prompt. It does not run the request.
	Prefill(ctx context.Context, server *registry.Entry, r *Request, deadline time.Time) (Prefilled, error)
	// Free gives the result of a prefill up.
	Free(ctx context.Context, server *registry.Entry, result Prefilled) error
	// HasEnded says whether a server's process has ended: nobody listens at its address.
	// False says nothing of a server that is silent, or whose address is not reached.
	HasEnded(ctx context.Context, server *registry.Entry) bool
	// Move copies the memory of a run to another engine. With last set the run stops
	// first, and its stream ends without its end. Where the error is *NotRun the result
	// may be set all the same: then the run has stopped, and its memory waits at the
	// engine where it ran.
	Move(ctx context.Context, from, to *registry.Entry, r *Request, last bool) (Prefilled, error)
	// Decode runs the request and returns its stream.
	Decode(ctx context.Context, server *registry.Entry, r *Request, order DecodeOrder, deadline time.Time) (*Stream, error)
}

// Reply is what the caller gets.
type Reply struct {
	Status int
	Fields []Field
	Body   []byte
	// Stream, if set, is the body; closing it ends the request.
	Stream io.ReadCloser
	// RetryAfter is when the caller may come back; 0 without.
	RetryAfter time.Duration
	Reason     reason.Reason
}

// Statuses of replies that are the instance's own.
const (
	statusUnknownKey  = 401
	statusNotFound    = 404
	statusOverLimit   = 429
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)
