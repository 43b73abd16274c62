package caller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
)

// hopByHop lists the header fields that concern one connection only (RFC 9110,
// section 7.6.1), and those that the HTTP libraries set themselves.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "host": true, "content-length": true, "server": true, "date": true,
}

// idempotentMethods lists the methods whose calls may be repeated (RFC 9110,
// section 9.2.2).
var idempotentMethods = map[string]bool{
	fasthttp.MethodGet: true, fasthttp.MethodHead: true, fasthttp.MethodPut: true,
	fasthttp.MethodDelete: true, fasthttp.MethodOptions: true, fasthttp.MethodTrace: true,
}

// plain forwards a call to a plain service (without models).
func (s *Server) plain(ctx *fasthttp.RequestCtx) {
	leave := s.instance.BeginRequest()
	defer leave()
	id, err := operationID(ctx)
	if err != nil {
		s.instance.Metrics.Ended("", reason.NotRun, reason.Malformed)
		s.writeFailure(ctx, failure{status: fasthttp.StatusBadRequest, why: reason.Malformed, detail: err.Error()})
		return
	}
	callerCtx, release := callerContext(ctx)
	defer release()
	answer, result := s.instance.Runner.RunPlain(callerCtx, request.Plain{
		ID:         s.instance.NewRequestID(),
		Service:    serviceName(string(ctx.Path())),
		Team:       string(ctx.Request.Header.Peek(HeaderTeam)),
		Call:       newCall(ctx),
		Idempotent: idempotentMethods[string(ctx.Method())],
		Operation:  id,
	})
	if result.Outcome != reason.Done {
		s.writeFailure(ctx, resultFailure(result))
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

// serviceName returns the path segment that follows PathServices.
func serviceName(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, PathServices), "/")
	return name
}

// newCall copies the parts of the request that are forwarded, since the call
// outlives the buffers of the request when the caller disconnects.
func newCall(ctx *fasthttp.RequestCtx) service.Call {
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
