package route

import (
	"sync"
	"time"
)

// Recall remembers which requests were refused lately, here or by a sibling, so
// that callers who come back are known. Being refused twice costs a caller far
// more than being refused once. Call NewRecall.
type Recall struct {
	keep time.Duration
	// fresh is for how long a refusal is told to siblings: over several
	// heartbeats, since datagrams are lost.
	fresh time.Duration

	mu      sync.Mutex
	refused map[uint32]time.Time
	// own are this instance's refusals, the latest last.
	own []refusedAt
}

type refusedAt struct {
	id uint32
	at time.Time
}

// NewRecall returns a memory that keeps a refusal for that long, and tells of
// it while it is fresh.
func NewRecall(keep, fresh time.Duration) *Recall {
	return &Recall{keep: keep, fresh: fresh, refused: make(map[uint32]time.Time)}
}

// mostRecalled bounds the memory; beyond it, the oldest are dropped early.
const mostRecalled = 4096

// Refused notes a refusal by this instance.
func (r *Recall) Refused(id uint32, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = append(r.own, refusedAt{id, now})
	r.note(id, now)
}

// Told notes refusals by a sibling.
func (r *Recall) Told(ids []uint32, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if _, known := r.refused[id]; !known {
			r.note(id, now)
		}
	}
}

// note takes one refusal in. The caller holds the lock.
func (r *Recall) note(id uint32, now time.Time) {
	if len(r.refused) >= mostRecalled {
		r.forget(now)
	}
	r.refused[id] = now
}

func (r *Recall) forget(now time.Time) {
	keep := r.keep
	for len(r.refused) >= mostRecalled {
		for id, at := range r.refused {
			if now.Sub(at) >= keep {
				delete(r.refused, id)
			}
		}
		keep /= 2
	}
}

// Returns says whether a request was refused lately.
func (r *Recall) Returns(id uint32, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.refused[id]
	return known && now.Sub(at) < r.keep
}

// Fresh lists this instance's refusals that siblings should hear of.
func (r *Recall) Fresh(now time.Time) []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for first < len(r.own) && now.Sub(r.own[first].at) >= r.fresh {
		first++
	}
	r.own = append(r.own[:0], r.own[first:]...)
	var ids []uint32
	for _, one := range r.own {
		ids = append(ids, one.id)
	}
	return ids
}
