// Package oplog talks to the platform's append-only log. Operators' edits and
// the system's own records live there; an offset is a record's place for ever.
package oplog

import (
	"context"

	"github.com/pkg/errors"
)

var (
	// ErrUnavailable means that the log gave no answer. An append may or may
	// not have taken effect; a reader finds out by the record's own id.
	ErrUnavailable = errors.New("log unavailable")
	// ErrTooFast means that the append was refused by the log's rate limit and
	// took no effect.
	ErrTooFast = errors.New("log append rate exceeded")
	// ErrTruncated means that records at the asked offset are past retention.
	ErrTruncated = errors.New("log offset past retention")
)

// Record is one entry of the log. Offsets start at 1.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	// First is the lowest offset still kept.
	First uint64 `json:"first"`
	// Next is the offset that the next append will get.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Client appends to and reads from the log.
type Client interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns records from offset from on, at most max of them. With
	// none to return it waits for one for a bounded time, set by the log.
	Read(ctx context.Context, from uint64, max int) (Batch, error)
}
