package operation

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// Status is the known state of an operation.
type Status struct {
	// Running is set while the operation has no outcome yet.
	Running bool           `json:"running,omitempty"`
	Outcome reason.Outcome `json:"outcome"`
	Reason  reason.Reason  `json:"reason,omitempty"`
}

// Home records the operations whose home is this incarnation of the instance, so
// that each begins at most once. Its clock is the instance's uptime. It is safe
// for concurrent use.
type Home struct {
	self Member
	// maxRecords limits the number of records. At the limit no new operation begins.
	maxRecords int

	mu      sync.Mutex
	clock   monotonicClock
	records map[string]homeRecord
}

type homeRecord struct {
	status Status
	expiry time.Duration
	// unsentAnswer is an answer of which nothing was written because the caller had
	// disconnected, or nil.
	unsentAnswer any
}

// NewHome returns a Home that keeps at most maxRecords records.
func NewHome(self Member, maxRecords int) *Home {
	return &Home{self: self, maxRecords: maxRecords, records: make(map[string]homeRecord)}
}

// Begin opens an operation. If it returns a reason other than reason.None, the
// operation must not be run, and status is what may be reported to the caller.
func (h *Home) Begin(id ID, uptime time.Duration) (status Status, why reason.Reason) {
	if id.Home != h.self {
		return Status{Outcome: reason.Unknown}, reason.OperationForeign
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	uptime = h.clock.advance(uptime)
	text := id.String()
	if record, seen := h.records[text]; seen {
		return record.status, duplicateReason(record.status)
	}
	if uptime >= id.HomeExpiry {
		return Status{Outcome: reason.Unknown}, reason.OperationExpired
	}
	if len(h.records) >= h.maxRecords {
		h.expire(uptime)
	}
	if len(h.records) >= h.maxRecords {
		// There is no room for a record that would keep the answer "not run" true, so
		// the outcome is reported as unknown.
		return Status{Outcome: reason.Unknown}, reason.QueueFull
	}
	h.records[text] = homeRecord{
		status: Status{Running: true, Outcome: reason.Unknown},
		expiry: id.HomeExpiry,
	}
	return Status{}, reason.None
}

// Finish records the outcome of an operation that Begin has opened.
func (h *Home) Finish(id ID, status Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := id.String()
	record := h.records[text]
	record.status = status
	record.expiry = id.HomeExpiry
	h.records[text] = record
}

// StoreAnswer stores an answer whose caller disconnected before any byte of it was
// written.
func (h *Home) StoreAnswer(id ID, answer any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := id.String()
	record := h.records[text]
	record.unsentAnswer = answer
	record.expiry = id.HomeExpiry
	h.records[text] = record
}

// TakeAnswer removes and returns an answer that StoreAnswer has stored.
func (h *Home) TakeAnswer(id ID) (answer any, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := id.String()
	record, seen := h.records[text]
	if !seen || record.unsentAnswer == nil {
		return nil, false
	}
	answer, record.unsentAnswer = record.unsentAnswer, nil
	h.records[text] = record
	return answer, true
}

// Query returns the status of an operation. The id of an operation that never began is
// closed first, so that the answer "not run" stays true.
func (h *Home) Query(id ID, uptime time.Duration) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	uptime = h.clock.advance(uptime)
	text := id.String()
	if record, seen := h.records[text]; seen {
		return record.status
	}
	if id.Home != h.self || uptime >= id.HomeExpiry {
		return Status{Outcome: reason.Unknown, Reason: reason.OperationExpired}
	}
	closed := Status{Outcome: reason.NotRun, Reason: reason.OperationClosed}
	h.records[text] = homeRecord{status: closed, expiry: id.HomeExpiry}
	return closed
}

// Expire drops finished records whose ids have expired. Begin rejects these ids
// by their expiry.
func (h *Home) Expire(uptime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(h.clock.advance(uptime))
}

func (h *Home) expire(uptime time.Duration) {
	for text, record := range h.records {
		if uptime >= record.expiry && !record.status.Running {
			delete(h.records, text)
		}
	}
}

// Len returns the number of records.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

func duplicateReason(status Status) reason.Reason {
	if status.Outcome == reason.NotRun {
		return reason.OperationClosed
	}
	return reason.AlreadyAnswered
}
