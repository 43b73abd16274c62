package instancelist

import (
	"context"
	"net/http"
	"net/url"

	"github.com/mastwheel/mastwheel/httpjson"
	"github.com/pkg/errors"
)

// URL paths of the instance list.
const (
	PathInstances = "/v1/instances"
	PathZones     = "/v1/zones"
)

// HTTP implements Client over HTTP.
type HTTP struct {
	base string
	json *httpjson.Client
}

// NewHTTP returns a Client for the list at address, "ip:port".
func NewHTTP(address string) *HTTP {
	return &HTTP{base: "http://" + address, json: httpjson.New("")}
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, zone string) ([]Entry, error) {
	var entries []Entry
	err := h.get(ctx, PathInstances+"?zone="+url.QueryEscape(zone), &entries)
	return entries, err
}

// Zones implements Client.
func (h *HTTP) Zones(ctx context.Context) ([]string, error) {
	var zones []string
	err := h.get(ctx, PathZones, &zones)
	return zones, err
}

func (h *HTTP) get(ctx context.Context, path string, result any) error {
	status, _, err := h.json.Do(ctx, http.MethodGet, h.base+path, nil, result)
	if err != nil {
		return errors.WithMessage(err, "read instance list")
	}
	if status != http.StatusOK {
		return errors.Errorf("read instance list: status %d", status)
	}
	return nil
}
