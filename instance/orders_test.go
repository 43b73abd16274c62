package instance_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/table"
)

// delayedOrders delays orders after their sender last checked its lease, as a
// suspension of the process does.
type delayedOrders struct {
	engine.Client
	delay atomic.Int64
}

func (l *delayedOrders) Order(_ context.Context, address string, order engine.WeightsOrder) error {
	time.Sleep(time.Duration(l.delay.Load()))
	return l.Client.Order(context.Background(), address, order)
}

// weightsEdit returns an edit that names the weights of both decode engines.
func weightsEdit(id string, base uint64, version string) table.Edit {
	edit := table.Edit{ID: id, Base: base, Author: "ana", Reason: "session"}
	for _, name := range []string{"write-1", "write-2"} {
		key := table.RowKey{Kind: table.Backend, Name: name}
		edit.Changes = append(edit.Changes, table.Change{Row: key, Column: table.ColWeights, Value: version})
	}
	return edit
}

func (s *session) leaseHolders() (holding []*node) {
	for _, name := range []string{"sabana-1", "heredia-1"} {
		if n, runs := s.nodes[name]; runs {
			if _, ok := n.HoldsOrdersLease(); ok {
				holding = append(holding, n)
			}
		}
	}
	return holding
}

// watchLease observes the lease for a while, and records each change of the
// holder and each moment with two holders.
func (s *session) watchLease(d time.Duration) {
	last := ""
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		holding := s.leaseHolders()
		if len(holding) > 1 {
			s.recordf("TWO HOLDERS")
		}
		now := "nobody"
		if len(holding) == 1 {
			now = holding[0].Self().Name
		}
		if now != last {
			s.recordf("the lease on orders is held by %s", now)
			last = now
		}
	}
}

func (s *session) recordLoadedWeights() {
	for _, address := range []string{decodeOne, decodeTwo} {
		e := s.farm.Engine(address)
		ledger := e.Ledger()
		s.recordf("engine %s has %q: %d orders taken, %d stale refused, %d stale taken",
			address, e.Weights(), ledger.Orders, ledger.StaleRefused, ledger.StaleAccepted)
	}
}

// TestSessionWeightsAreLoaded: the table names weights. One instance at a time
// orders the engines of the pool, one engine after the other.
func TestSessionWeightsAreLoaded(t *testing.T) {
	runSession(t, func(s *session) {
		s.submit(s.nodes["sabana-1"], weightsEdit("v1", 1, "v1"))
		s.watchLease(40 * time.Second)
		s.recordLoadedWeights()
	})
}

// TestSessionHolderOfOrdersDies: the holder of the lease dies, and the other
// instance takes over.
func TestSessionHolderOfOrdersDies(t *testing.T) {
	runSession(t, func(s *session) {
		s.submit(s.nodes["sabana-1"], weightsEdit("v1", 1, "v1"))
		s.watchLease(30 * time.Second)
		s.killAndUnlist(s.leaseHolders()[0].Self().Name)
		for _, n := range s.nodes {
			s.submit(n, weightsEdit("v2", n.Table().Revision, "v2"))
		}
		s.watchLease(70 * time.Second)
		s.recordLoadedWeights()
	})
}

// TestSessionPausePastTheLease: the holder is suspended between the check of
// its lease and the sending of an order. The order arrives after another
// instance has taken over and ordered newer weights. An engine that checks
// fencing tokens refuses the old token.
func TestSessionPausePastTheLease(t *testing.T) {
	runSession(t, func(s *session) { s.pauseHolderPastLease() })
}

// TestSessionPausePastTheLeaseUnfenced: the same with engines that ignore the
// token. They accept the late order, and the new holder corrects its effect.
func TestSessionPausePastTheLeaseUnfenced(t *testing.T) {
	runSession(t, func(s *session) {
		s.farm.Engine(decodeOne).SetFences(false)
		s.farm.Engine(decodeTwo).SetFences(false)
		s.pauseHolderPastLease()
	})
}

func (s *session) pauseHolderPastLease() {
	s.submit(s.nodes["sabana-1"], weightsEdit("v1", 1, "v1"))
	s.watchLease(40 * time.Second)
	holder := s.leaseHolders()[0]
	s.recordf("orders of %s are late from now on", holder.Self().Name)
	holder.orders.delay.Store(int64(90 * time.Second))
	s.submit(holder, weightsEdit("v2", holder.Table().Revision, "v2"))
	s.watchLease(40 * time.Second)
	s.submit(holder, weightsEdit("v3", holder.Table().Revision, "v3"))
	s.watchLease(80 * time.Second)
	s.recordLoadedWeights()
}
