package operation

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// Status is what is known of an operation.
type Status struct {
	// Running is set while the operation is not yet decided.
	Running bool           `json:"running,omitempty"`
	Outcome reason.Outcome `json:"outcome"`
	Reason  reason.Reason  `json:"reason,omitempty"`
}

// Home records the operations that this incarnation is the home of, so that
// each begins at most once. Its clock is the instance's uptime. Safe for
// concurrent use.
type Home struct {
	self Member
	// most bounds the records; over it no new operation begins.
	most int

	mu      sync.Mutex
	clock   highest
	records map[string]homeRecord
}

type homeRecord struct {
	status Status
	expiry time.Duration
	// kept is an answer that was never begun to be written, because its caller
	// had gone; nil with none.
	kept any
}

// NewHome returns a Home that keeps at most that many records.
func NewHome(self Member, most int) *Home {
	return &Home{self: self, most: most, records: make(map[string]homeRecord)}
}

// Begin opens an operation. When it returns a reason, the operation must not
// be run: status then says what the caller may be told.
func (h *Home) Begin(id ID, uptime time.Duration) (status Status, why reason.Reason) {
	if id.Home != h.self {
		return Status{Outcome: reason.Unknown}, reason.OperationForeign
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	uptime = h.clock.reach(uptime)
	text := id.String()
	if record, seen := h.records[text]; seen {
		return record.status, seenReason(record.status)
	}
	if uptime >= id.HomeExpiry {
		return Status{Outcome: reason.Unknown}, reason.OperationExpired
	}
	if len(h.records) >= h.most {
		h.expire(uptime)
	}
	if len(h.records) >= h.most {
		// With no room for a record, "not run" could not be kept true.
		return Status{Outcome: reason.Unknown}, reason.QueueFull
	}
	h.records[text] = homeRecord{
		status: Status{Running: true, Outcome: reason.Unknown},
		expiry: id.HomeExpiry,
	}
	return Status{}, reason.None
}

// End records the outcome of an operation that Begin opened.
func (h *Home) End(id ID, status Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := id.String()
	record := h.records[text]
	record.status = status
	record.expiry = id.HomeExpiry
	h.records[text] = record
}

// Keep holds an answer for a caller that had gone before a byte of it was
// written.
func (h *Home) Keep(id ID, answer any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := id.String()
	record := h.records[text]
	record.kept = answer
	record.expiry = id.HomeExpiry
	h.records[text] = record
}

// Take hands over a kept answer, once.
func (h *Home) Take(id ID) (answer any, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	text := id.String()
	record, seen := h.records[text]
	if !seen || record.kept == nil {
		return nil, false
	}
	answer, record.kept = record.kept, nil
	h.records[text] = record
	return answer, true
}

// Ask returns what is known of an operation. An id that was never begun is
// closed first, so that the answer "not run" stays true.
func (h *Home) Ask(id ID, uptime time.Duration) Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	uptime = h.clock.reach(uptime)
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

// Expire drops records whose ids Begin would refuse by their age anyway.
func (h *Home) Expire(uptime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(h.clock.reach(uptime))
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

func seenReason(status Status) reason.Reason {
	if status.Outcome == reason.NotRun {
		return reason.OperationClosed
	}
	return reason.AlreadyAnswered
}
