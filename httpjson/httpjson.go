// Package httpjson sends JSON requests over HTTP with a deadline. The clients
// of the platform's services and the operators' tools use it.
package httpjson

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// DefaultTimeout limits a call whose context has no deadline.
const DefaultTimeout = 5 * time.Second

// ErrNoAnswer means that no answer was received. The call may have taken
// effect.
var ErrNoAnswer = errors.New("no answer")

// Client sends JSON requests. Its zero value is not usable; call New.
type Client struct {
	http  *fasthttp.Client
	token string
}

// New returns a client that sends token as a bearer token if it is not empty.
func New(token string) *Client {
	return &Client{
		http:  &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true},
		token: token,
	}
}

// Do sends body as JSON, if it is not nil, and decodes the body of a 2xx answer
// into result. Any other status is returned with the answer's body and no error.
func (c *Client) Do(ctx context.Context, method, url string, body, result any) (status int, raw []byte, err error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(url)
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil, errors.Wrap(err, "encode request")
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(encoded)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return 0, nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	status = response.StatusCode()
	raw = append([]byte(nil), response.Body()...)
	if status/100 != 2 || result == nil {
		return status, raw, nil
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return status, raw, errors.Wrap(err, "decode answer")
	}
	return status, raw, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
