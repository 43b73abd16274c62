package operation

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// intentRetention is how long past its expiry a witness remembers an intent,
// to answer a caller with its outcome. Safety does not depend on it.
const intentRetention = time.Minute

// Witness remembers intents of homes and ids that it has closed. Its clock is
// the instance's uptime. Safe for concurrent use.
type Witness struct {
	self Member
	most int

	mu      sync.Mutex
	clock   highest
	records map[string]witnessRecord
}

type witnessRecord struct {
	closed bool
	status Status
	expiry time.Duration
}

// NewWitness returns a Witness that keeps at most that many records.
func NewWitness(self Member, most int) *Witness {
	return &Witness{self: self, most: most, records: make(map[string]witnessRecord)}
}

// Intent acknowledges that the home is about to send the operation. Any
// reason other than None means that the home must not send it. Asking twice
// for the same id is harmless: only the home asks, and it begins an id once.
func (w *Witness) Intent(id ID, uptime time.Duration) reason.Reason {
	if id.Witness != w.self {
		return reason.NoWitness
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	uptime = w.clock.reach(uptime)
	if uptime >= id.WitnessExpiry {
		return reason.OperationExpired
	}
	text := id.String()
	if record, seen := w.records[text]; seen {
		if record.closed {
			return reason.OperationClosed
		}
		return reason.None
	}
	if !w.room(uptime) {
		return reason.NoWitness
	}
	w.records[text] = witnessRecord{
		status: Status{Outcome: reason.Unknown},
		expiry: id.WitnessExpiry,
	}
	return reason.None
}

// Settle records the outcome that the home reports for an intent.
func (w *Witness) Settle(id ID, status Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := id.String()
	if record, seen := w.records[text]; seen && !record.closed {
		record.status = status
		w.records[text] = record
	}
}

// Ask answers a caller that has lost its home. An id with no intent is closed
// first, so that the answer "not run" stays true. Past its expiry an id can no
// longer get an intent, but one may have been forgotten: that is unknown.
func (w *Witness) Ask(id ID, uptime time.Duration) Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	uptime = w.clock.reach(uptime)
	text := id.String()
	if record, seen := w.records[text]; seen {
		return record.status
	}
	if id.Witness != w.self || uptime >= id.WitnessExpiry {
		return Status{Outcome: reason.Unknown, Reason: reason.OperationExpired}
	}
	if !w.room(uptime) {
		return Status{Outcome: reason.Unknown, Reason: reason.QueueFull}
	}
	closed := Status{Outcome: reason.NotRun, Reason: reason.OperationClosed}
	w.records[text] = witnessRecord{closed: true, status: closed, expiry: id.WitnessExpiry}
	return closed
}

// Expire drops records that are past their expiry and retention.
func (w *Witness) Expire(uptime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(w.clock.reach(uptime))
}

// Len returns the number of records.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records)
}

func (w *Witness) room(uptime time.Duration) bool {
	if len(w.records) >= w.most {
		w.expire(uptime)
	}
	return len(w.records) < w.most
}

func (w *Witness) expire(uptime time.Duration) {
	for text, record := range w.records {
		if uptime >= record.expiry+intentRetention {
			delete(w.records, text)
		}
	}
}
