// Package oplog is the client of the platform's append-only log, which holds the
// operators' edits and the system's own records. The offset of a record never
// changes.
package oplog

import (
	"context"

	"github.com/pkg/errors"
)

var (
	// ErrUnavailable means that the log gave no answer. An append may or may
	// not have taken effect. A reader finds that out by the record's own id.
	ErrUnavailable = errors.New("log unavailable")
	// ErrTooFast means that the log's rate limit refused the append, which took
	// no effect.
	ErrTooFast = errors.New("log append rate exceeded")
	// ErrTruncated means that the log no longer keeps the record at the requested
	// offset.
	ErrTruncated = errors.New("log offset past retention")
)

// Record is one entry of the log. Offsets start at 1.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	// First is the lowest offset that is still kept.
	First uint64 `json:"first"`
	// Next is the offset of the next append.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Client appends to and reads from the log.
type Client interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns at most max records from offset from on. It is a long poll:
	// while there are none, the log waits for a record for a limited time that
	// it sets itself.
	Read(ctx context.Context, from uint64, max int) (Batch, error)
}
