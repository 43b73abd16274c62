package instance_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/table"
)

// lateOrders delays orders after the moment at which their sender last looked
// at its lease, as a pause of the process does.
type lateOrders struct {
	engine.Client
	late atomic.Int64
}

func (l *lateOrders) Order(_ context.Context, address string, order engine.WeightsOrder) error {
	time.Sleep(time.Duration(l.late.Load()))
	return l.Client.Order(context.Background(), address, order)
}

// weights makes an edit that names the weights of both decode engines.
func weights(id string, base uint64, version string) table.Edit {
	edit := table.Edit{ID: id, Base: base, Author: "ana", Reason: "session"}
	for _, name := range []string{"write-1", "write-2"} {
		key := table.RowKey{Kind: table.Backend, Name: name}
		edit.Changes = append(edit.Changes, table.Change{Row: key, Column: table.ColWeights, Value: version})
	}
	return edit
}

func (s *session) holders() (holding []*node) {
	for _, name := range []string{"sabana-1", "heredia-1"} {
		if n, runs := s.nodes[name]; runs {
			if _, ok := n.HoldsOrders(); ok {
				holding = append(holding, n)
			}
		}
	}
	return holding
}

// watchHolders looks at the lease for a while, and says when it changes hands
// or is held twice.
func (s *session) watchHolders(d time.Duration) {
	last := ""
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		holding := s.holders()
		if len(holding) > 1 {
			s.say("TWO HOLDERS")
		}
		now := "nobody"
		if len(holding) == 1 {
			now = holding[0].Self().Name
		}
		if now != last {
			s.say("the lease on orders is held by %s", now)
			last = now
		}
	}
}

func (s *session) loadedWeights() {
	for _, address := range []string{decodeOne, decodeTwo} {
		e := s.farm.Engine(address)
		ledger := e.Ledger()
		s.say("engine %s has %q: %d orders taken, %d stale refused, %d stale taken",
			address, e.Weights(), ledger.Orders, ledger.StaleRefused, ledger.StaleTaken)
	}
}

// The table names weights; one instance at a time orders one engine of the
// pool after the other.
func TestSessionWeightsAreLoaded(t *testing.T) {
	play(t, func(s *session) {
		s.submit(s.nodes["sabana-1"], weights("v1", 1, "v1"))
		s.watchHolders(40 * time.Second)
		s.loadedWeights()
	})
}

// The holder of the lease dies; the other takes over.
func TestSessionHolderOfOrdersDies(t *testing.T) {
	play(t, func(s *session) {
		s.submit(s.nodes["sabana-1"], weights("v1", 1, "v1"))
		s.watchHolders(30 * time.Second)
		s.lose(s.holders()[0].Self().Name)
		for _, n := range s.nodes {
			s.submit(n, weights("v2", n.Table().Revision, "v2"))
		}
		s.watchHolders(70 * time.Second)
		s.loadedWeights()
	})
}

// The holder is paused between looking at its lease and sending an order,
// which arrives when another has taken over and ordered something newer. An
// engine that fences refuses the old token.
func TestSessionPausePastTheLease(t *testing.T) {
	play(t, func(s *session) { s.pausePastTheLease() })
}

// The same with engines that ignore the token: they take the late order, and
// are put right.
func TestSessionPausePastTheLeaseUnfenced(t *testing.T) {
	play(t, func(s *session) {
		s.farm.Engine(decodeOne).SetFences(false)
		s.farm.Engine(decodeTwo).SetFences(false)
		s.pausePastTheLease()
	})
}

func (s *session) pausePastTheLease() {
	s.submit(s.nodes["sabana-1"], weights("v1", 1, "v1"))
	s.watchHolders(40 * time.Second)
	holder := s.holders()[0]
	s.say("orders of %s are late from now on", holder.Self().Name)
	holder.late.late.Store(int64(90 * time.Second))
	s.submit(holder, weights("v2", holder.Table().Revision, "v2"))
	s.watchHolders(40 * time.Second)
	s.submit(holder, weights("v3", holder.Table().Revision, "v3"))
	s.watchHolders(80 * time.Second)
	s.loadedWeights()
}
