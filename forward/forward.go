// Package forward forwards callers' requests to backend servers unchanged and returns the
// servers' answers. A plain request (to a service without a model) goes to one server. A
// generation (a request to a model service) goes through a prefill engine and a decode engine.
// The package decides which servers to use, how often to retry and when to stop, and its
// replies state whether a request that it gave up may have run.
package forward

import (
	"context"
	"io"
	"time"

	"github.com/mastwheel/mastwheel/membudget"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is one request of a caller.
type Request struct {
	// ID is set by the caller and is new for each try.
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
	// Arrived is when the request was read. Deadline is when its caller stops waiting.
	Arrived  time.Time
	Deadline time.Time
	// Key is the digest of the caller's API key, if it sent one. Team is the name of the team
	// that holds the key, once it was looked up.
	Key    table.KeyDigest
	HasKey bool
	Team   string
	// HandedOver is the name of the sibling that handed the request over to this instance; empty
	// if its caller sent it here.
	HandedOver string
	// SenderEnds is when that sibling's graceful shutdown ends what it passes on; zero if it does not stop. Siblings get it
	// as a duration.
	SenderEnds time.Time `cbor:"-"`
	// Revision is the revision of the table by which that sibling decided.
	Revision uint64
	// Origin is where the stream began that the request takes up, if a sibling handed the request over
	// and knew that.
	Origin *origin.Origin
	// Generation is set for requests to model services.
	Generation *Generation
	// LastEvent is the id of the last event that the caller has received; empty at the start
	// of a stream.
	LastEvent string
	// Resumes is the ID of the request that brought the stream's first event, if the caller takes a
	// stream up and names it.
	Resumes string
}

// Generation holds the model parameters of a request.
type Generation struct {
	Model string
	// PromptTokens and MaxTokens are exact. LengthHint is the caller's estimate of the number
	// of tokens that will be generated, 0 without one.
	PromptTokens int
	MaxTokens    int
	LengthHint   int
	// SharedParts identifies the parts of the prompt that other requests may share, in order.
	SharedParts []string
}

// MaxSharedParts bounds the parts of one prompt that are considered. A caller's header may list hundreds.
const MaxSharedParts = 32

// Answer is a backend server's complete answer.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
	// Held accounts the memory of the body; nil if it is not accounted.
	Held *membudget.Buffer
}

// Stream is a backend server's streamed answer. Read returns io.EOF only after the stream's
// proper end.
type Stream struct {
	Status int
	Fields []Field
	// EndsWithConnection is set if the answer has neither a length nor chunks, so that nothing
	// but the end of the connection marks its end.
	EndsWithConnection bool
	io.ReadCloser
}

// NotRunError is the error of a call that the backend server did not run and never will run.
type NotRunError struct {
	Why reason.Reason
	// Sent reports whether the request reached the server.
	Sent bool
	// Withheld is set if the request was not sent because the limit or drain that the server
	// reported excludes it now.
	Withheld bool
	// AtLimit is set if no connection was opened because this instance has as many to the server as it
	// may open.
	AtLimit bool
	// Misdirected is set if another server answers at the address, or the server now has
	// another role.
	Misdirected bool
	Detail      string
}

// Error implements error.
func (e *NotRunError) Error() string { return "not run: " + string(e.Why) + ": " + e.Detail }

// Reservation identifies KV memory and a slot that are reserved at a decode engine.
type Reservation string

// PrefillHandle identifies the result of a prefill, which is kept at its engine.
type PrefillHandle string

// DecodeRequest tells a decode engine where to get a request's KV cache.
type DecodeRequest struct {
	// Source is the engine that holds Result; nil if the decode engine reads the prompt itself.
	Source      *registry.Entry
	Result      PrefillHandle
	Reservation Reservation
	LastEvent   string
	// NewConnection has the request sent over a new connection, because an open one may be dead.
	NewConnection bool
}

// Backends sends requests to backend servers. An error is a *NotRunError if the request certainly
// did not run. After any other error the server may have run it.
type Backends interface {
	// Call sends a plain request and reads the complete answer.
	Call(ctx context.Context, server *registry.Entry, r *Request, deadline time.Time) (*Answer, error)
	// Reserve reserves KV memory at a decode engine.
	Reserve(ctx context.Context, server *registry.Entry, tokens int, ttl time.Duration) (Reservation, error)
	// Release releases a reservation.
	Release(ctx context.Context, server *registry.Entry, reservation Reservation) error
	// Prefill has an engine read the prompt. It does not run the request.
	Prefill(ctx context.Context, server *registry.Entry, r *Request, deadline time.Time) (PrefillHandle, error)
	// Free releases the result of a prefill.
	Free(ctx context.Context, server *registry.Entry, result PrefillHandle) error
	// HasExited reports whether a server's process has exited, which means that its address
	// refuses connections. It returns false for a server that is silent or whose address
	// cannot be reached.
	HasExited(ctx context.Context, server *registry.Entry) bool
	// RunHasEnded reports whether a run of a server has ended: its address refuses or resets new
	// connections, or another run of an engine answers there. It returns false for a server that is silent.
	RunHasEnded(ctx context.Context, server *registry.Entry) bool
	// Probe asks a server for a short answer over a new connection. It fails only if there is no
	// answer. healthPath is the path of the service's health checks, if it has one.
	Probe(ctx context.Context, server *registry.Entry, healthPath string) error
	// Move copies the KV memory of a running stream to another engine, where the stream can
	// continue. With last set the run is stopped first, and its stream ends without an end
	// marker. If the error is a *NotRunError, the engine has refused the call, and the result may be set
	// nevertheless: then the run has stopped, and its KV memory is kept at the engine where it ran. After
	// any other error the run may have stopped too.
	Move(ctx context.Context, from, to *registry.Entry, r *Request, last bool) (PrefillHandle, error)
	// Decode runs the request and returns its stream.
	Decode(ctx context.Context, server *registry.Entry, r *Request, order DecodeRequest, deadline time.Time) (*Stream, error)
}

// Reply is the answer to the caller.
type Reply struct {
	Status int
	Fields []Field
	Body   []byte
	// Held accounts the memory of the body; nil if it is not accounted. Whoever gets the reply releases it once the
	// body was written.
	Held *membudget.Buffer
	// Stream, if set, is the body. Closing it ends the request.
	Stream io.ReadCloser
	// RetryAfter is the delay after which the caller may come back; 0 if none is given.
	RetryAfter time.Duration
	Reason     reason.Reason
}

// Statuses of replies that the instance itself produces.
const (
	statusUnknownKey  = 401
	statusNotFound    = 404
	statusOverLimit   = 429
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)
