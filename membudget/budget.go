// Package membudget keeps one account of the bytes that an instance holds for its peers: connections, bodies of
// requests, and answers. What does not fit is refused before it is held, so that no number of peers drives the
// process over its memory limit.
package membudget

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Share is the fraction of the process's memory limit that peers may take together. The Go runtime gets 0.6
	// of the limit, of which the instance itself takes a part; the rest is for garbage, and for bytes that the
	// kernel has received and the process has not read.
	Share = 0.35
	// DefaultLimit is the limit in bytes where the settings state no memory limit.
	DefaultLimit = 256 << 20
	// LargeBytes is the size in bytes from which something is large.
	LargeBytes = 64 << 10
	// smallPart is the inverse of the fraction of the budget that large things leave to others. Small requests
	// are then served beside any number of large ones.
	smallPart = 4
)

// Kind is what bytes are held for. It decides how much of the budget they leave to others.
type Kind int

const (
	// Request is a request that is read or served, without a large body.
	Request Kind = iota
	// Idle is a connection without a request.
	Idle
	// Large is a body of LargeBytes or more.
	Large
	// Answer is an answer of a server, whose request has run.
	Answer
	kinds
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"request", "idle_connection", "large_body", "answer"}[k]
}

// Kinds lists all kinds.
func Kinds() []Kind { return []Kind{Request, Idle, Large, Answer} }

// Budget is an account of bytes. It may be used concurrently. The methods of a nil *Budget do nothing and always
// succeed.
type Budget struct {
	limit   int64
	used    atomic.Int64
	peak    atomic.Int64
	refused [kinds]atomic.Uint64

	reclaim atomic.Pointer[Reclaim]

	mu sync.Mutex
	// waiters holds what waits for bytes, in the order in which it came. waiting is its length.
	waiters list.List
	waiting atomic.Int64
}

// Reclaim makes room by giving up what can be had again, at least as many bytes as are missing. If there is less, it gives
// up nothing and returns false.
type Reclaim func(kind Kind, missing int64) bool

// reclaimInterval is the pause between two attempts to reclaim bytes for something that waits. What can be given up
// changes without a release.
const reclaimInterval = 100 * time.Millisecond

// waiter waits for bytes. granted is closed once they were taken for it.
type waiter struct {
	kind    Kind
	bytes   int64
	granted chan struct{}
}

// New returns a budget for a process with a memory limit in bytes. 0 means that none is stated.
func New(memory int64) *Budget {
	limit := int64(DefaultLimit)
	if memory > 0 {
		limit = int64(float64(memory) * Share)
	}
	return &Budget{limit: limit}
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held, and the most that were held at a time.
func (b *Budget) Used() (now, peak int64) { return b.used.Load(), b.peak.Load() }

// Refused returns how often bytes of a kind were refused.
func (b *Budget) Refused(kind Kind) uint64 { return b.refused[kind].Load() }

// most returns how many bytes may be held in all after bytes of a kind are added.
func (b *Budget) most(kind Kind) int64 {
	if kind == Large {
		return b.limit - b.limit/smallPart
	}
	return b.limit
}

// SetReclaim sets what makes room where bytes do not fit.
func (b *Budget) SetReclaim(reclaim Reclaim) { b.reclaim.Store(&reclaim) }

// Reserve takes bytes, and reports whether they fit.
func (b *Budget) Reserve(kind Kind, bytes int64) bool {
	if b == nil {
		return true
	}
	if !b.makeRoom(kind, bytes) {
		b.refused[kind].Add(1)
		return false
	}
	return true
}

// makeRoom takes bytes, and reclaims others for them as far as it has to.
func (b *Budget) makeRoom(kind Kind, bytes int64) bool {
	for !b.take(kind, bytes) {
		if !b.reclaimFor(kind, bytes) {
			return false
		}
	}
	return true
}

// reclaimFor reclaims what is missing for bytes. It returns false if that is not possible.
func (b *Budget) reclaimFor(kind Kind, bytes int64) bool {
	reclaim := b.reclaim.Load()
	if reclaim == nil || bytes > b.most(kind) {
		return false
	}
	missing := b.used.Load() + bytes - b.most(kind)
	return missing <= 0 || (*reclaim)(kind, missing)
}

func (b *Budget) take(kind Kind, bytes int64) bool {
	for {
		before := b.used.Load()
		after := before + bytes
		if after > b.most(kind) {
			return false
		}
		if b.used.CompareAndSwap(before, after) {
			b.recordPeak(after)
			return true
		}
	}
}

func (b *Budget) recordPeak(used int64) {
	for peak := b.peak.Load(); used > peak && !b.peak.CompareAndSwap(peak, used); peak = b.peak.Load() {
	}
}

// Await takes bytes as soon as they fit. What waits gets them in turn. The error is that of the context.
func (b *Budget) Await(ctx context.Context, kind Kind, bytes int64) error {
	if b == nil || (b.waiting.Load() == 0 && b.makeRoom(kind, bytes)) {
		return nil
	}
	w := &waiter{kind: kind, bytes: bytes, granted: make(chan struct{})}
	b.mu.Lock()
	place := b.waiters.PushBack(w)
	b.waiting.Add(1)
	b.grant()
	b.mu.Unlock()
	retry := time.NewTicker(reclaimInterval)
	defer retry.Stop()
	for {
		select {
		case <-w.granted:
			return nil
		case <-retry.C:
			b.reclaimFor(kind, bytes)
		case <-ctx.Done():
			return b.leave(ctx, place)
		}
	}
}

// leave ends the wait of a waiter whose context has ended.
func (b *Budget) leave(ctx context.Context, place *list.Element) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := place.Value.(*waiter)
	select {
	case <-w.granted:
		return nil
	default:
	}
	b.waiters.Remove(place)
	b.waiting.Add(-1)
	b.refused[w.kind].Add(1)
	b.grant()
	return ctx.Err()
}

// grant takes bytes for those that wait, as far as they fit. The caller holds the lock.
func (b *Budget) grant() {
	for place := b.waiters.Front(); place != nil; place = b.waiters.Front() {
		w := place.Value.(*waiter)
		if !b.take(w.kind, w.bytes) {
			return
		}
		b.waiters.Remove(place)
		b.waiting.Add(-1)
		close(w.granted)
	}
}

// Release returns bytes that were taken. Nothing may refer to the memory that they stand for any more.
func (b *Budget) Release(bytes int64) {
	if b == nil {
		return
	}
	if b.used.Add(-bytes) < 0 {
		panic("membudget: more bytes were released than taken")
	}
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grant()
}
