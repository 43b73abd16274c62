// Package membudget keeps one account of the bytes that an instance holds for its peers: connections, bodies of
// requests, and answers. What does not fit is refused before it is held, so that no number of peers drives the
// process over its memory limit.
package membudget

import (
	"context"
	"sync"
	"sync/atomic"
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

	// reclaim, if set, makes room by giving up something that can be had again. It returns false if there is nothing.
	reclaim atomic.Pointer[func() bool]

	mu sync.Mutex
	// released is closed and replaced when bytes are released while something waits for them.
	released chan struct{}
	waiting  atomic.Int64
}

// New returns a budget for a process with a memory limit in bytes. 0 means that none is stated.
func New(memory int64) *Budget {
	limit := int64(DefaultLimit)
	if memory > 0 {
		limit = int64(float64(memory) * Share)
	}
	return &Budget{limit: limit, released: make(chan struct{})}
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

// SetReclaim sets what makes room where bytes do not fit. It is called until they do, or it returns false.
func (b *Budget) SetReclaim(reclaim func() bool) { b.reclaim.Store(&reclaim) }

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
		reclaim := b.reclaim.Load()
		if reclaim == nil || bytes > b.most(kind) || !(*reclaim)() {
			return false
		}
	}
	return true
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

// Await takes bytes as soon as they fit. The error is that of the context.
func (b *Budget) Await(ctx context.Context, kind Kind, bytes int64) error {
	if b == nil || b.makeRoom(kind, bytes) {
		return nil
	}
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	for {
		b.mu.Lock()
		released := b.released
		b.mu.Unlock()
		if b.makeRoom(kind, bytes) {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			b.refused[kind].Add(1)
			return ctx.Err()
		}
	}
}

// Release returns bytes that were taken.
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
	close(b.released)
	b.released = make(chan struct{})
}
