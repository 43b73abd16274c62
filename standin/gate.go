package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// gate is a lock with one holder at a time. It admits the waiter with the highest
// priority first, and among equal priorities the one that arrived first.
type gate struct {
	mu      sync.Mutex
	busy    bool
	waiters []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

// enter waits for admission. It returns false if ctx ends first.
func (g *gate) enter(ctx context.Context, priority int) bool {
	g.mu.Lock()
	if !g.busy {
		g.busy = true
		g.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	g.waiters = append(g.waiters, w)
	slices.SortStableFunc(g.waiters, func(a, b *waiter) int { return cmp.Compare(b.priority, a.priority) })
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return g.abandon(w)
	}
}

// abandon ends a wait. It returns true if the waiter was admitted at the same
// time.
func (g *gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(g.waiters, w)
	if i < 0 {
		return true
	}
	g.waiters = slices.Delete(g.waiters, i, i+1)
	return false
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiters) == 0 {
		g.busy = false
		return
	}
	next := g.waiters[0]
	g.waiters = g.waiters[1:]
	close(next.admitted)
}
