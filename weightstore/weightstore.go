// Package weightstore is the client of the platform's store of model weights.
// The store has one rate limit that all its readers share.
package weightstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/httpjson"
)

var (
	// ErrUnavailable means that the store gave no answer.
	ErrUnavailable = errors.New("weight store unavailable")
	// ErrBusy means that the store's rate limit is exhausted for now.
	ErrBusy = errors.New("weight store rate exceeded")
	// ErrUnknown means that the store has no weights with the requested name.
	ErrUnknown = errors.New("no such weights")
)

// Weights describes one version of a model's weights or of an adapter.
type Weights struct {
	Name string `json:"name"`
	// Bytes is the total size.
	Bytes int64 `json:"bytes"`
}

// Ticket allows one fetch of a full set of weights.
type Ticket struct {
	Weights
	// BytesPerSecond is the rate that the store grants to the fetch.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Client requests permission to fetch weights. The engine does the fetch itself.
type Client interface {
	// Reserve requests a rate, in bytes per second, for a fetch of weights.
	Reserve(ctx context.Context, name string, bytesPerSecond int64) (Ticket, error)
}

// PathWeights is the URL path of the store's weights.
const PathWeights = "/v1/weights/"

// HTTP implements Client over HTTP.
type HTTP struct {
	base string
	json *httpjson.Client
}

// NewHTTP returns a Client for the store at address, "ip:port".
func NewHTTP(address string) *HTTP {
	return &HTTP{base: "http://" + address + PathWeights, json: httpjson.New("")}
}

// Reserve implements Client.
func (h *HTTP) Reserve(ctx context.Context, name string, bytesPerSecond int64) (Ticket, error) {
	var ticket Ticket
	target := h.base + url.PathEscape(name) + "?rate=" + strconv.FormatInt(bytesPerSecond, 10)
	status, _, err := h.json.Do(ctx, http.MethodPost, target, nil, &ticket)
	if err != nil {
		return Ticket{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch status {
	case http.StatusOK:
		return ticket, nil
	case http.StatusTooManyRequests:
		return Ticket{}, ErrBusy
	case http.StatusNotFound:
		return Ticket{}, ErrUnknown
	default:
		return Ticket{}, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}
