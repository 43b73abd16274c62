// Package caller is the HTTP interface to callers. It returns the address of the instance
// that a caller should connect to, runs OpenAI-compatible completions and calls to plain
// services (without models), and reports the outcome of an operation.
package caller

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/connwatch"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/logging"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
)

// Header fields of the interface.
const (
	HeaderRequestID   = "Mastwheel-Request-Id"
	HeaderOutcome     = "Mastwheel-Outcome"
	HeaderReason      = "Mastwheel-Reason"
	HeaderTeam        = "Mastwheel-Team"
	HeaderIdempotency = "Idempotency-Key"
)

// Paths of the interface.
const (
	PathEntry       = "/v1/entry"
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	PathOperations  = "/v1/operations/"
	PathServices    = "/services/"
)

// Limits bounds the resources of an instance that callers can use.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int
	// ReadTimeout bounds the time in which a whole request must arrive.
	ReadTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is
	// closed.
	IdleTimeout time.Duration
	// MaxConnections bounds the number of open connections.
	MaxConnections int
	// MaxTokens bounds the max_tokens of a request.
	MaxTokens int
}

// DefaultLimits returns limits for prompts of up to some tens of thousands of
// tokens.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   1 << 20,
		ReadTimeout:    10 * time.Second,
		IdleTimeout:    time.Minute,
		MaxConnections: 10_000,
		MaxTokens:      4096,
	}
}

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// defaultMaxTokens is the max_tokens of a request that sets none.
	defaultMaxTokens = 128
)

// Server serves callers for one instance.
type Server struct {
	instance *instance.Instance
	limits   Limits
	http     *fasthttp.Server
}

// NewServer returns a server for the instance.
func NewServer(inst *instance.Instance, limits Limits) *Server {
	s := &Server{instance: inst, limits: limits}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		ErrorHandler:       s.handleReadError,
		Name:               "mastwheel",
		ReadTimeout:        limits.ReadTimeout,
		IdleTimeout:        limits.IdleTimeout,
		MaxRequestBodySize: limits.MaxBodyBytes,
		ReadBufferSize:     maxHeaderBytes,
		Concurrency:        limits.MaxConnections,
		// Closing connections right away at shutdown would cut off answers.
		// With CloseOnShutdown an answer in flight carries "Connection: close"
		// instead.
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       logging.Silent{},
	}
	return s
}

// Serve serves callers on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(connwatch.Listener{Listener: listener}), "serve callers")
}

// Shutdown stops listening and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.ShutdownWithContext(ctx), "stop serving callers")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == PathEntry:
		s.requireMethod(ctx, fasthttp.MethodGet, s.entry)
	case path == PathChat:
		s.requireMethod(ctx, fasthttp.MethodPost, s.chat)
	case path == PathCompletions:
		s.requireMethod(ctx, fasthttp.MethodPost, s.completions)
	case path == PathModels:
		s.requireMethod(ctx, fasthttp.MethodGet, s.models)
	case strings.HasPrefix(path, PathOperations):
		s.requireMethod(ctx, fasthttp.MethodGet, s.operation)
	case strings.HasPrefix(path, PathServices):
		s.plain(ctx)
	default:
		s.writeFailure(ctx, failure{status: fasthttp.StatusNotFound, why: reason.UnknownService, detail: "no such path"})
	}
}

func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, handler fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set("Allow", method)
		detail := "use " + method
		s.writeFailure(ctx, failure{status: fasthttp.StatusMethodNotAllowed, why: reason.Malformed, detail: detail})
		return
	}
	handler(ctx)
}

// handleReadError answers input that could not be read as a request.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	f := failure{status: fasthttp.StatusBadRequest, why: reason.Malformed, detail: "the request cannot be read"}
	var tooSmall *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		f = failure{status: fasthttp.StatusRequestEntityTooLarge, why: reason.TooLarge, detail: "the body is too large"}
	case errors.As(err, &tooSmall):
		f = failure{status: fasthttp.StatusRequestHeaderFieldsTooLarge, why: reason.TooLarge, detail: "the header is too large"}
	case errors.As(err, &netErr) && netErr.Timeout():
		f = failure{status: fasthttp.StatusRequestTimeout, why: reason.Malformed, detail: "the request arrived too slowly"}
	}
	s.instance.Metrics.Ended("", reason.NotRun, f.why)
	connwatch.DiscardUnreadOnClose(ctx.Conn())
	s.writeFailure(ctx, f)
}

func (s *Server) entry(ctx *fasthttp.RequestCtx) {
	arguments := ctx.QueryArgs()
	entry, ok := s.instance.SelectEntry(string(arguments.Peek("zone")), string(arguments.Peek("avoid")))
	if !ok {
		s.writeFailure(ctx, failure{status: fasthttp.StatusServiceUnavailable, why: reason.StaleTable, detail: "no instance is ready"})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, entry)
}

// operation reports the status of an operation.
func (s *Server) operation(ctx *fasthttp.RequestCtx) {
	text := strings.TrimPrefix(string(ctx.Path()), PathOperations)
	id, err := operation.ParseID(text)
	if err != nil {
		s.writeFailure(ctx, failure{status: fasthttp.StatusBadRequest, why: reason.Malformed, detail: err.Error()})
		return
	}
	callerCtx, release := callerContext(ctx)
	defer release()
	status := s.instance.OperationStatus(callerCtx, id)
	ctx.Response.Header.Set(HeaderOutcome, string(status.Outcome))
	writeJSON(ctx, fasthttp.StatusOK, status)
}

// callerContext returns a context that ends when the caller disconnects. A RequestCtx
// must not be used as a context: it is cancelled when a graceful shutdown begins, and
// contexts derived from it may read it after fasthttp has reused it.
// release must be called before the connection is read again.
func callerContext(ctx *fasthttp.RequestCtx) (callerCtx context.Context, release func()) {
	return connwatch.Context(ctx.Conn())
}

// operationID parses the Idempotency-Key of a request. It returns nil when
// there is none.
func operationID(ctx *fasthttp.RequestCtx) (*operation.ID, error) {
	key := ctx.Request.Header.Peek(HeaderIdempotency)
	if len(key) == 0 {
		return nil, nil
	}
	id, err := operation.ParseID(string(key))
	if err != nil {
		return nil, err
	}
	return &id, nil
}
