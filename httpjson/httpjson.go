// Package httpjson sends JSON requests over HTTP with a deadline. The clients
// of the platform's services and the operators' tools use it.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream"
)

// DefaultTimeout limits a call whose context has no deadline.
const DefaultTimeout = 5 * time.Second

const (
	// dialTimeout limits the time to open a connection. Operators' tools may be far from an instance.
	dialTimeout = 3 * time.Second
	// maxAnswerBytes bounds the body of an answer. A page of the log or of the list of instances has some megabytes at most.
	maxAnswerBytes = 64 << 20
)

// ErrNoAnswer means that no answer was received. The call may have taken
// effect.
var ErrNoAnswer = errors.New("no answer")

// Client sends JSON requests. Its zero value is not usable; call New.
type Client struct {
	transport *upstream.Transport
	token     string
}

// New returns a client that sends token as a bearer token if it is not empty.
func New(token string) *Client {
	return &Client{transport: upstream.NewClientTransport(dialTimeout), token: token}
}

// Do sends body as JSON, if it is not nil, and decodes the body of a 2xx answer
// into result. Any other status is returned with the answer's body and no error.
func (c *Client) Do(ctx context.Context, method, url string, body, result any) (status int, raw []byte, err error) {
	if _, ok := ctx.Deadline(); !ok {
		bounded, cancel := context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
		ctx = bounded
	}
	request, err := c.request(ctx, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	status, raw, err = c.exchange(request)
	if err != nil {
		return 0, nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	if status/100 != 2 || result == nil {
		return status, raw, nil
	}
	if err := json.Unmarshal(raw, result); err != nil {
		return status, raw, errors.Wrap(err, "decode answer")
	}
	return status, raw, nil
}

// request returns a request with body as JSON, if it is not nil.
func (c *Client) request(ctx context.Context, method, url string, body any) (*http.Request, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// exchange sends a request and reads its whole answer.
func (c *Client) exchange(request *http.Request) (status int, body []byte, err error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = upstream.ReadBody(response.Body, maxAnswerBytes)
	return response.StatusCode, body, err
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
