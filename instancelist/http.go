package instancelist

import (
	"context"
	"net/http"

	"github.com/mastwheel/mastwheel/httpjson"
	"github.com/pkg/errors"
)

// PathInstances is the path of the list.
const PathInstances = "/v1/instances"

// HTTP is the Client over HTTP.
type HTTP struct {
	url  string
	json *httpjson.Client
}

// NewHTTP returns a Client for the list at address, "ip:port".
func NewHTTP(address string) *HTTP {
	return &HTTP{url: "http://" + address + PathInstances, json: httpjson.New("")}
}

// List implements Client.
func (h *HTTP) List(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	status, _, err := h.json.Do(ctx, http.MethodGet, h.url, nil, &entries)
	if err != nil {
		return nil, errors.WithMessage(err, "read instance list")
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("read instance list: status %d", status)
	}
	return entries, nil
}
