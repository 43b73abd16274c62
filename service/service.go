// Package service sends calls to plain backend servers (without models). A plain
// backend server answers one HTTP call at a time, and some of its calls must not
// be repeated.
package service

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream"
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
type HTTP struct{ transport *upstream.Transport }

// NewHTTP returns a Client over HTTP. It never retries a call by itself and
// opens one connection per call. On a kept-alive connection that the server is
// closing, it could not determine whether the server had read the call.
func NewHTTP() *HTTP {
	return &HTTP{transport: upstream.NewClientTransport(dialTimeout)}
}

// Do implements Client.
func (h *HTTP) Do(ctx context.Context, address string, call Call) (Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		bounded, cancel := context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
		ctx = bounded
	}
	request, err := newRequest(ctx, address, call)
	if err != nil {
		return Answer{}, errors.Wrap(ErrNotRun, err.Error())
	}
	response, err := h.transport.RoundTrip(request)
	if err != nil {
		return Answer{}, callError(err)
	}
	defer response.Body.Close()
	answer, err := readAnswer(response)
	if err != nil {
		return Answer{}, errors.Wrap(ErrLost, err.Error())
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderOutcome) == outcomeNotRun {
		return Answer{}, ErrNotRun
	}
	return answer, nil
}

// newRequest returns a call as a request that closes its connection.
func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create call")
	}
	request.Close = true
	// Without a value, the request gets the name of net/http's client.
	request.Header.Set("User-Agent", "")
	for _, header := range call.Headers {
		switch name := http.CanonicalHeaderKey(header.Name); name {
		case "User-Agent":
			request.Header.Set(name, header.Value)
		case "Host":
			request.Host = header.Value
		default:
			request.Header.Add(name, header.Value)
		}
	}
	return request, nil
}

func callError(err error) error {
	if errors.Is(err, upstream.ErrNotSent) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

// readAnswer reads a whole answer.
func readAnswer(response *http.Response) (Answer, error) {
	body, err := upstream.ReadBody(response.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Status: response.StatusCode, Body: body}
	for name, values := range response.Header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, Header{Name: name, Value: value})
		}
	}
	return answer, nil
}
