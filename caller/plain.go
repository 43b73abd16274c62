package caller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
)

// hopByHop are the header fields that concern one connection only (RFC 9110,
// section 7.6.1), and those that the HTTP libraries set by themselves.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "host": true, "content-length": true, "server": true, "date": true,
}

// idempotentMethods may be repeated (RFC 9110, section 9.2.2).
var idempotentMethods = map[string]bool{
	fasthttp.MethodGet: true, fasthttp.MethodHead: true, fasthttp.MethodPut: true,
	fasthttp.MethodDelete: true, fasthttp.MethodOptions: true, fasthttp.MethodTrace: true,
}

// plain passes a call through to a plain service.
func (s *Server) plain(ctx *fasthttp.RequestCtx) {
	leave := s.instance.Enter()
	defer leave()
	id, err := operationID(ctx)
	if err != nil {
		s.instance.Metrics.Ended("", reason.NotRun, reason.Malformed)
		s.refuse(ctx, failure{status: fasthttp.StatusBadRequest, why: reason.Malformed, detail: err.Error()})
		return
	}
	watched, release := watch(ctx)
	defer release()
	answer, result := s.instance.Runner.RunPlain(watched, request.Plain{
		ID:         s.instance.NewRequestID(),
		Service:    serviceName(string(ctx.Path())),
		Team:       string(ctx.Request.Header.Peek(HeaderTeam)),
		Call:       callOf(ctx),
		Idempotent: idempotentMethods[string(ctx.Method())],
		Operation:  id,
	})
	if result.Outcome != reason.Done {
		s.refuse(ctx, resultFailure(result))
		return
	}
	ctx.SetStatusCode(answer.Status)
	for _, header := range answer.Headers {
		if !hopByHop[strings.ToLower(header.Name)] {
			ctx.Response.Header.Add(header.Name, header.Value)
		}
	}
	ctx.Response.Header.Set(HeaderRequestID, result.RequestID)
	ctx.Response.Header.Set(HeaderOutcome, string(result.Outcome))
	ctx.SetBody(answer.Body)
}

// serviceName is the first segment after the path's fixed part.
func serviceName(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, PathServices), "/")
	return name
}

// callOf copies what is passed through: the call outlives the request's
// buffers when the caller goes away.
func callOf(ctx *fasthttp.RequestCtx) service.Call {
	uri := string(ctx.URI().RequestURI())
	_, rest, _ := strings.Cut(strings.TrimPrefix(uri, PathServices), "/")
	call := service.Call{
		Method: string(ctx.Method()),
		Path:   "/" + rest,
		Body:   append([]byte(nil), ctx.PostBody()...),
	}
	for name, value := range ctx.Request.Header.All() {
		if !hopByHop[strings.ToLower(string(name))] {
			call.Headers = append(call.Headers, service.Header{Name: string(name), Value: string(value)})
		}
	}
	return call
}
