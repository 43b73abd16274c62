// Package service sends calls to plain backend servers (without models). A plain
// backend server answers one HTTP call at a time, and some of its calls must not
// be repeated.
package service

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// HeaderOutcome is the header field that carries an outcome. A backend server
// that did not run a call answers with status 503 and the value "not_run".
const HeaderOutcome = "Mastwheel-Outcome"

// outcomeNotRun is the value of HeaderOutcome for a call that was not run.
const outcomeNotRun = "not_run"

// Errors of a call. Compare with errors.Is.
var (
	// ErrUnreachable means that no byte of the call was sent.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrNotRun means that the server reported that it did not run the call.
	ErrNotRun = errors.New("backend server did not run the call")
	// ErrLost means that the call was sent and no complete answer was received.
	ErrLost = errors.New("backend server answer lost")
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Call is one HTTP call.
type Call struct {
	Method  string
	Path    string
	Headers []Header
	Body    []byte
}

// Answer is a complete HTTP answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client sends calls to plain backend servers by their address, "ip:port".
type Client interface {
	Do(ctx context.Context, address string, call Call) (Answer, error)
}

const (
	// dialTimeout bounds the connection setup within one region.
	dialTimeout = 500 * time.Millisecond
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 30 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 8 << 20
)

// HTTP implements Client over HTTP.
type HTTP struct{ client *fasthttp.Client }

// errDial marks a failed dial, to distinguish it from a failure after bytes
// were sent.
type errDial struct{ cause error }

func (e *errDial) Error() string { return e.cause.Error() }

// NewHTTP returns a Client over HTTP. It never retries a call by itself and
// opens one connection per call. On a kept-alive connection that the server is
// closing, it could not determine whether the server had read the call.
func NewHTTP() *HTTP {
	dial := func(address string) (net.Conn, error) {
		conn, err := fasthttp.DialTimeout(address, dialTimeout)
		if err != nil {
			return nil, &errDial{cause: err}
		}
		return conn, nil
	}
	return &HTTP{client: &fasthttp.Client{
		Dial:                      dial,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswerBytes,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Do implements Client.
func (h *HTTP) Do(ctx context.Context, address string, call Call) (Answer, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + call.Path)
	request.Header.SetMethod(call.Method)
	request.SetConnectionClose()
	for _, header := range call.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	request.SetBodyRaw(call.Body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := h.client.DoDeadline(request, response, deadline); err != nil {
		return Answer{}, callError(err)
	}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(response.Header.Peek(HeaderOutcome)) == outcomeNotRun {
		return Answer{}, ErrNotRun
	}
	return newAnswer(response), nil
}

func callError(err error) error {
	var dial *errDial
	if errors.As(err, &dial) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

func newAnswer(response *fasthttp.Response) Answer {
	answer := Answer{Status: response.StatusCode()}
	answer.Body = append(answer.Body, response.Body()...)
	for name, value := range response.Header.All() {
		answer.Headers = append(answer.Headers, Header{Name: string(name), Value: string(value)})
	}
	return answer
}
