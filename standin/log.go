package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/oplog"
)

const (
	// logAppendRate is the maximum number of appends per second.
	logAppendRate = 300
	// logReadWait is the maximum time that a read waits for a record.
	logReadWait = 200 * time.Millisecond
	// logRetention is the default number of records that the log keeps.
	logRetention = 100_000
)

// Log is a stand-in for the platform's append-only log.
type Log struct {
	// Down makes the log unavailable.
	Down atomic.Bool
	// LoseReplies is how many of the next appends take effect without an answer.
	LoseReplies atomic.Int64
	// Retention is the number of records that are kept. It must be set before
	// the first call.
	Retention int

	mu      sync.Mutex
	first   uint64
	records [][]byte
	changed chan struct{}
	second  int64
	appends int
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{Retention: logRetention, first: 1, changed: make(chan struct{})}
}

// Append implements oplog.Client.
func (l *Log) Append(_ context.Context, data []byte) (uint64, error) {
	if l.Down.Load() {
		return 0, oplog.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.withinRateLocked() {
		return 0, oplog.ErrTooFast
	}
	l.records = append(l.records, append([]byte(nil), data...))
	offset := l.first + uint64(len(l.records)) - 1
	if len(l.records) > l.Retention {
		l.records = l.records[1:]
		l.first++
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if consume(&l.LoseReplies) {
		return 0, oplog.ErrUnavailable
	}
	return offset, nil
}

func (l *Log) withinRateLocked() bool {
	if second := time.Now().Unix(); second != l.second {
		l.second, l.appends = second, 0
	}
	l.appends++
	return l.appends <= logAppendRate
}

// Read implements oplog.Client.
func (l *Log) Read(ctx context.Context, from uint64, most int) (oplog.Batch, error) {
	timer := time.NewTimer(logReadWait)
	defer timer.Stop()
	for {
		if l.Down.Load() {
			return oplog.Batch{}, oplog.ErrUnavailable
		}
		batch, changed, err := l.read(from, most)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return oplog.Batch{}, oplog.ErrUnavailable
		}
	}
}

func (l *Log) read(from uint64, most int) (oplog.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := oplog.Batch{First: l.first, Next: l.first + uint64(len(l.records))}
	if from < l.first {
		return batch, nil, oplog.ErrTruncated
	}
	for offset := from; offset < batch.Next && len(batch.Records) < most; offset++ {
		batch.Records = append(batch.Records, oplog.Record{Offset: offset, Data: l.records[offset-l.first]})
	}
	return batch, l.changed, nil
}

// Len returns the number of records that the log keeps at present.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
