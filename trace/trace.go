// Package trace records the recent requests of one instance with all decisions
// made for them, for operators to inspect. Its memory is bounded.
package trace

import (
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// Step is one event in the handling of a request.
type Step struct {
	// At is the time since the request arrived, in microseconds.
	At      int64           `json:"at_us"`
	Attempt int             `json:"attempt"`
	State   string          `json:"state"`
	Reason  reason.Reason   `json:"reason,omitempty"`
	Server  string          `json:"server,omitempty"`
	Detail  string          `json:"detail,omitempty"`
	Choice  *route.Decision `json:"choice,omitempty"`
}

// Request is the trace of one request.
type Request struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Team     string         `json:"team,omitempty"`
	Home     string         `json:"home"`
	Revision uint64         `json:"revision"`
	Arrived  time.Time      `json:"arrived"`
	Outcome  reason.Outcome `json:"outcome,omitempty"`
	Reason   reason.Reason  `json:"reason,omitempty"`
	Prompt   int            `json:"prompt_tokens,omitempty"`
	Tokens   int            `json:"tokens,omitempty"`
	Steps    []Step         `json:"steps"`
}

// Add appends a step that happened at now.
func (r *Request) Add(now time.Time, step Step) {
	step.At = now.Sub(r.Arrived).Microseconds()
	r.Steps = append(r.Steps, step)
}

// Ring is a ring buffer of the latest requests that ended. It is safe for
// concurrent use.
type Ring struct {
	mu    sync.Mutex
	slots []*Request
	next  int
	byID  map[string]*Request
}

// NewRing returns a ring for at most size requests.
func NewRing(size int) *Ring {
	return &Ring{slots: make([]*Request, size), byID: make(map[string]*Request, size)}
}

// Keep stores a request that has ended. The request must not be changed
// afterwards.
func (r *Ring) Keep(request *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.slots[r.next]; old != nil {
		delete(r.byID, old.ID)
	}
	r.slots[r.next] = request
	r.byID[request.ID] = request
	r.next = (r.next + 1) % len(r.slots)
}

// Find returns the request with an id, or nil if it is not kept.
func (r *Ring) Find(id string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// Recent returns at most n requests, the latest first.
func (r *Ring) Recent(n int) []*Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := make([]*Request, 0, n)
	for i := 1; i <= len(r.slots) && len(recent) < n; i++ {
		slot := r.slots[(r.next-i+len(r.slots))%len(r.slots)]
		if slot == nil {
			break
		}
		recent = append(recent, slot)
	}
	return recent
}
