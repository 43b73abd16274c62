// Package service talks to plain backend servers, which answer one HTTP call
// at a time and some of whose calls may not be repeated.
package service

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// HeaderOutcome carries an outcome. A backend server that did not run a call
// says so with status 503 and the value "not_run".
const HeaderOutcome = "Mastwheel-Outcome"

// outcomeNotRun is the header's value for a call that was not run.
const outcomeNotRun = "not_run"

// Errors of a call. Compare with errors.Is.
var (
	// ErrUnreachable means that no byte of the call was sent.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrNotRun means that the server said that it did not run the call.
	ErrNotRun = errors.New("backend server did not run the call")
	// ErrLost means that the call was sent and no whole answer came back.
	ErrLost = errors.New("answer of the backend server lost")
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

// Answer is a whole HTTP answer.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Client sends calls to plain backend servers by address, "ip:port".
type Client interface {
	Do(ctx context.Context, address string, call Call) (Answer, error)
}

const (
	// dialTimeout bounds a connection set-up inside one region.
	dialTimeout = 500 * time.Millisecond
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 30 * time.Second
	// maxAnswer bounds an answer's body, in bytes.
	maxAnswer = 8 << 20
)

// HTTP is the Client over HTTP.
type HTTP struct{ client *fasthttp.Client }

// errDial marks a failed dial, to tell it from a failure after sending.
type errDial struct{ cause error }

func (e *errDial) Error() string { return e.cause.Error() }

// NewHTTP returns a Client over HTTP. It never repeats a call by itself, and
// opens a connection per call: on a kept connection that the server is just
// closing, it could not tell whether the call was read.
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
		MaxResponseBodySize:       maxAnswer,
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
	return copyAnswer(response), nil
}

func callError(err error) error {
	var dial *errDial
	if errors.As(err, &dial) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

func copyAnswer(response *fasthttp.Response) Answer {
	answer := Answer{Status: response.StatusCode()}
	answer.Body = append(answer.Body, response.Body()...)
	for name, value := range response.Header.All() {
		answer.Headers = append(answer.Headers, Header{Name: string(name), Value: string(value)})
	}
	return answer
}
