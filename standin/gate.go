package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// gate lets one holder in at a time: the highest priority first, and among
// equals the one that came first.
type gate struct {
	mu      sync.Mutex
	busy    bool
	waiters []*waiter
}

type waiter struct {
	priority int
	turn     chan struct{}
}

// enter waits for the turn; it returns false when ctx ended first.
func (g *gate) enter(ctx context.Context, priority int) bool {
	g.mu.Lock()
	if !g.busy {
		g.busy = true
		g.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, turn: make(chan struct{})}
	g.waiters = append(g.waiters, w)
	slices.SortStableFunc(g.waiters, func(a, b *waiter) int { return cmp.Compare(b.priority, a.priority) })
	g.mu.Unlock()
	select {
	case <-w.turn:
		return true
	case <-ctx.Done():
		return g.abandon(w)
	}
}

// abandon gives up a wait. The turn may have come at the same moment.
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
	close(next.turn)
}
