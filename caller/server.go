// Package caller is the HTTP interface towards callers: which address to use,
// completions in the shape that OpenAI clients send, calls to plain services,
// and the outcome of an operation.
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

// Limits bounds what callers can make an instance spend.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
	// ReadTimeout bounds the time in which a whole request must arrive.
	ReadTimeout time.Duration
	// IdleTimeout closes a connection with no request.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections open at once.
	MaxConnections int
	// MaxTokens bounds the answer that a request may ask for.
	MaxTokens int
}

// DefaultLimits suits prompts of up to some tens of thousands of tokens.
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
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// defaultMaxTokens is the answer's length when a request names none.
	defaultMaxTokens = 128
)

// Server answers callers for one instance.
type Server struct {
	instance *instance.Instance
	limits   Limits
	http     *fasthttp.Server
}

// NewServer returns a server for the instance.
func NewServer(of *instance.Instance, limits Limits) *Server {
	s := &Server{instance: of, limits: limits}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		ErrorHandler:       s.badInput,
		Name:               "mastwheel",
		ReadTimeout:        limits.ReadTimeout,
		IdleTimeout:        limits.IdleTimeout,
		MaxRequestBodySize: limits.MaxBodyBytes,
		ReadBufferSize:     maxHeaderBytes,
		Concurrency:        limits.MaxConnections,
		// A closed connection during shutdown would cut off an answer.
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       logging.Silent{},
	}
	return s
}

// Serve answers callers on listener until Shutdown.
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
		s.only(ctx, fasthttp.MethodGet, s.entry)
	case path == PathChat:
		s.only(ctx, fasthttp.MethodPost, s.chat)
	case path == PathCompletions:
		s.only(ctx, fasthttp.MethodPost, s.completions)
	case path == PathModels:
		s.only(ctx, fasthttp.MethodGet, s.models)
	case strings.HasPrefix(path, PathOperations):
		s.only(ctx, fasthttp.MethodGet, s.operation)
	case strings.HasPrefix(path, PathServices):
		s.plain(ctx)
	default:
		s.refuse(ctx, failure{status: fasthttp.StatusNotFound, why: reason.UnknownService, detail: "no such path"})
	}
}

func (s *Server) only(ctx *fasthttp.RequestCtx, method string, handler fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set("Allow", method)
		detail := "use " + method
		s.refuse(ctx, failure{status: fasthttp.StatusMethodNotAllowed, why: reason.Malformed, detail: detail})
		return
	}
	handler(ctx)
}

// badInput answers input that never became a request.
func (s *Server) badInput(ctx *fasthttp.RequestCtx, err error) {
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
	connwatch.AnswerUnread(ctx.Conn())
	s.refuse(ctx, f)
}

func (s *Server) entry(ctx *fasthttp.RequestCtx) {
	arguments := ctx.QueryArgs()
	entry, ok := s.instance.Entry(string(arguments.Peek("zone")), string(arguments.Peek("avoid")))
	if !ok {
		s.refuse(ctx, failure{status: fasthttp.StatusServiceUnavailable, why: reason.StaleTable, detail: "no instance is ready"})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, entry)
}

// operation answers a caller that asks what became of an operation.
func (s *Server) operation(ctx *fasthttp.RequestCtx) {
	text := strings.TrimPrefix(string(ctx.Path()), PathOperations)
	id, err := operation.ParseID(text)
	if err != nil {
		s.refuse(ctx, failure{status: fasthttp.StatusBadRequest, why: reason.Malformed, detail: err.Error()})
		return
	}
	status := s.instance.AskOperation(ctx, id)
	ctx.Response.Header.Set(HeaderOutcome, string(status.Outcome))
	writeJSON(ctx, fasthttp.StatusOK, status)
}

// watch returns a context that ends when the caller goes away. release must
// be called before the connection is read again.
func watch(ctx *fasthttp.RequestCtx) (watched context.Context, release func()) {
	return connwatch.Context(ctx.Conn())
}

// operationID reads the Idempotency-Key of a request. Its text is empty when
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
