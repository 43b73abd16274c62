package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream"
)

// Paths of the engine API.
const (
	PathPrefill     = "/v1/prefill"
	PathImport      = "/v1/kv/import"
	PathDecode      = "/v1/decode"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathWeights     = "/v1/weights"
)

// Status codes of the engine API with a specific meaning.
const (
	StatusRefused  = http.StatusServiceUnavailable
	StatusNoMemory = http.StatusInsufficientStorage
	StatusExpired  = http.StatusGone
	StatusStale    = http.StatusConflict
)

const (
	// dialTimeout limits the time to open a connection inside one region.
	dialTimeout = 500 * time.Millisecond
	// maxControlBodyBytes is the maximum size of an answer other than a stream, in
	// bytes.
	maxControlBodyBytes = 1 << 20
)

// HTTP implements Client with JSON and server-sent events over HTTP.
type HTTP struct {
	transport *upstream.Transport
}

// NewHTTP returns a Client over HTTP.
func NewHTTP() *HTTP {
	return &HTTP{transport: upstream.NewClientTransport(dialTimeout)}
}

// Close closes idle connections.
func (h *HTTP) Close() { h.transport.CloseIdleConnections() }

// Prefill implements Client.
func (h *HTTP) Prefill(ctx context.Context, address string, order PrefillOrder) (PrefillResult, error) {
	var result PrefillResult
	err := h.call(ctx, address, PathPrefill, order, &result)
	return result, err
}

// Import implements Client.
func (h *HTTP) Import(ctx context.Context, address string, order ImportOrder) error {
	return h.call(ctx, address, PathImport, order, nil)
}

// Cancel implements Client.
func (h *HTTP) Cancel(ctx context.Context, address string, attempt Attempt) error {
	return h.call(ctx, address, PathCancel, attempt, nil)
}

// Load implements Client.
func (h *HTTP) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := h.call(ctx, address, PathLoad, nil, &load)
	return load, err
}

// CacheEvents implements Client.
func (h *HTTP) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatInt(after, 10)
	err := h.call(ctx, address, path, nil, &events)
	return events, err
}

// Order implements Client.
func (h *HTTP) Order(ctx context.Context, address string, order WeightsOrder) error {
	return h.call(ctx, address, PathWeights, order, nil)
}

// Decode implements Client.
func (h *HTTP) Decode(ctx context.Context, address string, order DecodeOrder) (Stream, error) {
	response, err := h.send(ctx, address, PathDecode, order)
	if err != nil {
		return nil, err
	}
	if err := statusError(response.StatusCode); err != nil {
		response.Body.Close()
		return nil, err
	}
	return &sseStream{body: response.Body, reader: bufio.NewReader(response.Body)}, nil
}

func (h *HTTP) call(ctx context.Context, address, path string, order, result any) error {
	response, err := h.send(ctx, address, path, order)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := upstream.ReadBody(response.Body, maxControlBodyBytes)
	if err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return nil
}

func (h *HTTP) send(ctx context.Context, address, path string, order any) (*http.Response, error) {
	method, body := http.MethodGet, []byte(nil)
	if order != nil {
		encoded, err := json.Marshal(order)
		if err != nil {
			return nil, errors.Wrap(err, "encode engine order")
		}
		method, body = http.MethodPost, encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create engine request")
	}
	response, err := h.transport.RoundTrip(request)
	if err != nil {
		return nil, transportError(err)
	}
	return response, nil
}

// transportError distinguishes a connection that was never opened, so that no
// byte was sent, from a connection that failed later.
func transportError(err error) error {
	if errors.Is(err, upstream.ErrNotSent) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return errors.Wrap(ErrBroken, err.Error())
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case StatusRefused:
		return ErrRefused
	case StatusNoMemory:
		return ErrNoMemory
	case StatusExpired:
		return ErrExpired
	case StatusStale:
		return ErrStale
	default:
		return errors.Wrapf(ErrBroken, "status %d", status)
	}
}

// sseStream reads tokens from a response body of server-sent events.
type sseStream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	last   bool
}

var dataPrefix = []byte("data: ")

// Next implements Stream.
func (s *sseStream) Next() (Token, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil && s.last {
			return Token{}, io.EOF
		}
		if err != nil {
			return Token{}, errors.Wrap(ErrBroken, err.Error())
		}
		data, isData := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !isData {
			continue
		}
		var token Token
		if err := json.Unmarshal(data, &token); err != nil {
			return Token{}, errors.Wrap(ErrBroken, err.Error())
		}
		s.last = token.Last
		return token, nil
	}
}

// Close implements Stream.
func (s *sseStream) Close() { s.body.Close() }
