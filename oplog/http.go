package oplog

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/mastwheel/mastwheel/httpjson"
	"github.com/pkg/errors"
)

// PathRecords is the URL path of the log's records.
const PathRecords = "/v1/log/records"

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendAnswer is the body of the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// HTTP implements Client over HTTP.
type HTTP struct {
	base string
	json *httpjson.Client
}

// NewHTTP returns a Client for the log at address, "ip:port".
func NewHTTP(address string) *HTTP {
	return &HTTP{base: "http://" + address + PathRecords, json: httpjson.New("")}
}

// Append implements Client.
func (h *HTTP) Append(ctx context.Context, data []byte) (uint64, error) {
	var answer AppendAnswer
	status, _, err := h.json.Do(ctx, http.MethodPost, h.base, AppendRequest{Data: data}, &answer)
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	return answer.Offset, statusError(status)
}

// Read implements Client.
func (h *HTTP) Read(ctx context.Context, from uint64, max int) (Batch, error) {
	var batch Batch
	url := h.base + "?from=" + strconv.FormatUint(from, 10) + "&max=" + strconv.Itoa(max)
	status, raw, err := h.json.Do(ctx, http.MethodGet, url, nil, &batch)
	if err != nil {
		return Batch{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if status == http.StatusGone {
		// The answer still contains the range of offsets that are kept.
		if err := json.Unmarshal(raw, &batch); err != nil {
			return Batch{}, errors.Wrap(ErrUnavailable, err.Error())
		}
	}
	return batch, statusError(status)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return ErrTooFast
	case http.StatusGone:
		return ErrTruncated
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}
