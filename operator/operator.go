// Package operator serves the HTTP interface for operators: the table (the
// configuration that operators change at run time) and its edits, the state of
// the instance, the records of requests, health and metrics. It is separate from
// the callers' interface.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
)

// Paths of the operators' interface.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathTable    = "/v1/table"
	PathEdits    = "/v1/table/edits"
	PathHistory  = "/v1/table/history"
	PathStatus   = "/v1/status"
	PathRequests = "/v1/requests"
)

// Tokens holds the bearer tokens of the operators' interface.
type Tokens struct {
	// Read grants read access. Edit grants read and edit access.
	Read string
	Edit string
}

// Status reports the state of one instance, its siblings and its backend servers.
type Status struct {
	Self     member.Info       `json:"self"`
	Ready    bool              `json:"ready"`
	Why      string            `json:"why,omitempty"`
	Hash     string            `json:"table_hash"`
	Siblings []*member.Sibling `json:"siblings"`
	Backends []BackendStatus   `json:"backends"`
}

// BackendStatus reports one instance's view of one backend server.
type BackendStatus struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Zone          string `json:"zone"`
	Breaker       string `json:"breaker"`
	InFlight      int    `json:"in_flight"`
	WaitingTokens int    `json:"waiting_tokens"`
	FreePieces    int    `json:"free_pieces"`
	Leaving       bool   `json:"leaving"`
	// Steward names the instance that grants reservations of the server's memory.
	Steward string `json:"steward"`
}

// History lists the latest edits with their verdicts, newest first.
type History struct {
	Verdicts []table.Verdict `json:"verdicts"`
	// BadRecords counts log records that were refused because they could not
	// be read or verified.
	BadRecords int `json:"bad_records"`
}

// verdictTimeout bounds how long a request waits for the verdict on an edit.
const verdictTimeout = 5 * time.Second

// Server serves the operators' interface of one instance.
type Server struct {
	instance *instance.Instance
	tokens   Tokens
	http     *fasthttp.Server
	metrics  fasthttp.RequestHandler
	denied   prometheus.Counter
}

// NewServer returns a server for an instance.
func NewServer(inst *instance.Instance, tokens Tokens) *Server {
	registry := inst.Metrics.Registry
	s := &Server{
		instance: inst,
		tokens:   tokens,
		metrics:  fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
		denied: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "mastwheel", Name: "operator_denied_total", Help: "Operators' requests with a bad token.",
		}),
	}
	registry.MustRegister(s.denied)
	s.http = &fasthttp.Server{Handler: s.handle, Name: "mastwheel", CloseOnShutdown: true}
	return s
}

// Serve serves operators on listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return errors.Wrap(s.http.Serve(listener), "serve operators")
}

// Shutdown stops listening and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.ShutdownWithContext(ctx), "stop serving operators")
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	isEdit := ctx.IsPost()
	switch path {
	case PathHealth:
		ctx.SetBodyString("ok\n")
		return
	case PathReady:
		s.ready(ctx)
		return
	case PathMetrics:
		s.metrics(ctx)
		return
	}
	if !s.allowed(ctx, isEdit) {
		s.denied.Inc()
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
		writeProblem(ctx, fasthttp.StatusUnauthorized, "the bearer token does not allow this")
		return
	}
	switch {
	case path == PathTable:
		writeJSON(ctx, s.instance.Table())
	case path == PathEdits && isEdit:
		s.edit(ctx)
	case strings.HasPrefix(path, PathEdits+"/"):
		s.verdict(ctx, strings.TrimPrefix(path, PathEdits+"/"))
	case path == PathHistory:
		verdicts, bad := s.instance.History()
		writeJSON(ctx, History{Verdicts: verdicts, BadRecords: bad})
	case path == PathStatus:
		writeJSON(ctx, s.status())
	case path == PathRequests:
		s.recent(ctx)
	case strings.HasPrefix(path, PathRequests+"/"):
		s.explain(ctx, strings.TrimPrefix(path, PathRequests+"/"))
	default:
		writeProblem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// allowed reports whether the request's bearer token permits it. It compares
// tokens in constant time, regardless of their lengths.
func (s *Server) allowed(ctx *fasthttp.RequestCtx, isEdit bool) bool {
	given := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	mayEdit := sameToken(given, s.tokens.Edit)
	mayRead := sameToken(given, s.tokens.Read)
	return mayEdit || (mayRead && !isEdit)
}

func sameToken(a, b string) bool {
	hashA, hashB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(hashA[:], hashB[:]) == 1
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if err := s.instance.Ready(); err != nil {
		writeProblem(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	ctx.SetBodyString("ready\n")
}

// edit appends an edit to the log. It responds with the verdict, or with status
// 202 if the verdict is not known yet.
func (s *Server) edit(ctx *fasthttp.RequestCtx) {
	var edit table.Edit
	if err := json.Unmarshal(ctx.PostBody(), &edit); err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "edit: "+err.Error())
		return
	}
	if edit.ID == "" || edit.Author == "" || edit.Reason == "" {
		writeProblem(ctx, fasthttp.StatusBadRequest, "an edit needs an id, an author and a reason")
		return
	}
	waitCtx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
	defer cancel()
	record, err := json.Marshal(edit)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "edit: "+err.Error())
		return
	}
	verdict, err := s.instance.Append(waitCtx, edit.ID, record)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusAccepted)
		writeJSON(ctx, table.Verdict{EditID: edit.ID, Why: "not known yet: " + err.Error()})
		return
	}
	if !verdict.Accepted {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, verdict)
}

func (s *Server) verdict(ctx *fasthttp.RequestCtx, editID string) {
	verdict, known := s.instance.Verdict(editID)
	if !known {
		writeProblem(ctx, fasthttp.StatusNotFound, "no verdict on this edit is known here")
		return
	}
	writeJSON(ctx, verdict)
}

func (s *Server) status() Status {
	status := Status{
		Self: s.instance.Info(), Ready: true, Hash: strconv.FormatUint(s.instance.Table().Hash(), 16),
		Siblings: s.instance.Members().Siblings,
	}
	if err := s.instance.Ready(); err != nil {
		status.Ready, status.Why = false, err.Error()
	}
	for _, key := range s.instance.Table().Keys(table.Backend) {
		status.Backends = append(status.Backends, s.backend(key.Name))
	}
	return status
}

func (s *Server) backend(name string) BackendStatus {
	row := s.instance.View().Backends[name]
	server := s.instance.Fleet().Server(name)
	if row == nil || server == nil {
		return BackendStatus{Name: name}
	}
	status := BackendStatus{
		Name: name, Pool: row.Pool, Zone: row.Zone, Leaving: row.Drain,
		Breaker: string(server.Breaker.State(clock.Now())), InFlight: server.InFlight(),
		Steward: s.instance.Steward(name),
	}
	if report := server.Report(); report != nil {
		status.WaitingTokens = report.WaitingTokens
		status.FreePieces = report.FreePieces
		status.Leaving = row.Drain || report.Leaving
	}
	return status
}

const (
	defaultRecent = 20
	maxRecent     = 1000
)

func (s *Server) recent(ctx *fasthttp.RequestCtx) {
	n, err := ctx.QueryArgs().GetUint("n")
	if err != nil {
		n = defaultRecent
	}
	recent := s.instance.Traces.Recent(min(n, maxRecent))
	if recent == nil {
		recent = []*trace.Request{}
	}
	writeJSON(ctx, recent)
}

func (s *Server) explain(ctx *fasthttp.RequestCtx, requestID string) {
	// A RequestCtx must not be used as a context: contexts derived from it may read it
	// after fasthttp has reused it. Explain limits its query of a sibling itself.
	record := s.instance.Explain(context.Background(), requestID)
	if record == nil {
		writeProblem(ctx, fasthttp.StatusNotFound, "no record of this request is kept")
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(record)
}

type problemDetails struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
}

// writeProblem writes a problem details object (RFC 9457).
func writeProblem(ctx *fasthttp.RequestCtx, status int, detail string) {
	writeJSON(ctx, problemDetails{Status: status, Title: fasthttp.StatusMessage(status), Detail: detail})
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/problem+json")
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("operator: cannot encode response: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
