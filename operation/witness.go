package operation

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// intentRetention is the time for which a witness keeps an intent after its
// expiry, to report the outcome to callers. Safety does not depend on it.
const intentRetention = time.Minute

// Witness records the intents that homes have sent to it and the ids that it has closed
// itself. Its clock is the instance's uptime. It is safe for concurrent use.
type Witness struct {
	self       Member
	maxRecords int

	mu      sync.Mutex
	clock   monotonicClock
	records map[string]witnessRecord
}

type witnessRecord struct {
	closed bool
	status Status
	expiry time.Duration
}

// NewWitness returns a Witness that keeps at most maxRecords records.
func NewWitness(self Member, maxRecords int) *Witness {
	return &Witness{self: self, maxRecords: maxRecords, records: make(map[string]witnessRecord)}
}

// Intent acknowledges that the home is about to send the operation. If it returns
// a reason other than reason.None, the home must not send it. A repeated intent
// for the same id is harmless, since only the home sends intents and it begins an
// id at most once.
func (w *Witness) Intent(id ID, uptime time.Duration) reason.Reason {
	if id.Witness != w.self {
		return reason.NoWitness
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	uptime = w.clock.advance(uptime)
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
	if !w.hasRoom(uptime) {
		return reason.NoWitness
	}
	w.records[text] = witnessRecord{
		status: Status{Outcome: reason.Unknown},
		expiry: id.WitnessExpiry,
	}
	return reason.None
}

// Settle records the outcome of an intent, as reported by the home.
func (w *Witness) Settle(id ID, status Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := id.String()
	if record, seen := w.records[text]; seen && !record.closed {
		record.status = status
		w.records[text] = record
	}
}

// Query returns the status of an operation to a caller that can no longer reach the
// home. An id without an intent is closed first, so that the answer "not run"
// stays true. After its expiry an id can no longer get an intent, but an earlier
// one may have been dropped, so the outcome is unknown.
func (w *Witness) Query(id ID, uptime time.Duration) Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	uptime = w.clock.advance(uptime)
	text := id.String()
	if record, seen := w.records[text]; seen {
		return record.status
	}
	if id.Witness != w.self || uptime >= id.WitnessExpiry {
		return Status{Outcome: reason.Unknown, Reason: reason.OperationExpired}
	}
	if !w.hasRoom(uptime) {
		return Status{Outcome: reason.Unknown, Reason: reason.QueueFull}
	}
	closed := Status{Outcome: reason.NotRun, Reason: reason.OperationClosed}
	w.records[text] = witnessRecord{closed: true, status: closed, expiry: id.WitnessExpiry}
	return closed
}

// Expire drops records whose retention after their expiry has ended.
func (w *Witness) Expire(uptime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire(w.clock.advance(uptime))
}

// Len returns the number of records.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records)
}

func (w *Witness) hasRoom(uptime time.Duration) bool {
	if len(w.records) >= w.maxRecords {
		w.expire(uptime)
	}
	return len(w.records) < w.maxRecords
}

func (w *Witness) expire(uptime time.Duration) {
	for text, record := range w.records {
		if uptime >= record.expiry+intentRetention {
			delete(w.records, text)
		}
	}
}
