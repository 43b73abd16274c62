package instance

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/weightstore"
)

const (
	// ordersKey, with the name of the cell, names the lease on orders to the
	// engines of the cell.
	ordersKey = "orders "
	// ordersEvery is how often the lease and the engines are looked at.
	ordersEvery = 500 * time.Millisecond
	// fetchRate is the rate that is asked for one load, in bytes a second: a
	// fifth of the store's, so that several pools can load at once.
	fetchRate = 2_000_000_000
)

// orders is this instance's part in giving orders to engines. Only its loop
// uses it.
type orders struct {
	key       string
	candidate *lease.Candidate
}

// runOrders keeps up the lease, and while this instance holds it brings
// engines to the weights that the table names.
func (i *Instance) runOrders(ctx context.Context) {
	now := clock.Now()
	if key := ordersKey + i.Cell(); key != i.orders.key {
		i.orders.key = key
		i.orders.candidate = lease.NewCandidate(i.config.Lease, key, i.self.String(), now)
	}
	candidate := i.orders.candidate
	candidate.Observe(i.keeper.Lease(i.orders.key), now)
	i.keepLease(ctx, now)
	token, ok := candidate.Valid(clock.Now())
	i.ordersToken.Store(token)
	i.ordersUntil.Store(candidate.Until().UnixNano())
	if ok {
		// Nothing is sent after the lease's end, however long this takes.
		ctx, cancel := clock.WithDeadline(ctx, candidate.Until())
		defer cancel()
		i.reconcile(ctx, token)
	}
}

// wantsOrders says whether the table names weights for any engine: without,
// no lease is kept and no append spent on it.
func (i *Instance) wantsOrders() bool {
	for _, backend := range i.keeper.View().Backends {
		if backend.Weights != "" {
			return true
		}
	}
	return false
}

func (i *Instance) keepLease(ctx context.Context, now time.Time) {
	if i.draining.Load() || !i.wantsOrders() {
		return
	}
	claim, ok := i.orders.candidate.Next(now, i.ownerOf(i.orders.key) == i.self.Name)
	if !ok {
		return
	}
	record, err := table.LeaseRecord(claim)
	if err != nil {
		klog.ErrorS(err, "Lease cannot be claimed")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	if _, err := i.deps.Log.Append(ctx, record); err != nil {
		klog.V(1).InfoS("Lease was not claimed", "err", err)
	}
}

// reconcile orders at most one engine of each pool at a time to load what the
// table names: the others go on serving. It reads the engines back each time,
// so that an order that somebody else gave too late is put right.
func (i *Instance) reconcile(ctx context.Context, token uint64) {
	backends := slices.SortedFunc(maps.Values(i.keeper.View().Backends), func(a, b *table.BackendView) int {
		return cmp.Compare(a.Name, b.Name)
	})
	busy := make(map[string]bool)
	wrong := make(map[string]*table.BackendView)
	for _, backend := range backends {
		if backend.Weights == "" || backend.Role == table.RolePlain {
			continue
		}
		load, err := i.deps.Engines.Load(ctx, backend.Address)
		switch {
		case err != nil:
		case load.Loading == backend.Weights:
			busy[backend.Pool] = true
		case load.Weights != backend.Weights || load.Loading != "":
			if wrong[backend.Pool] == nil {
				wrong[backend.Pool] = backend
			}
		}
	}
	for pool, backend := range wrong {
		if !busy[pool] {
			i.order(ctx, backend, token)
		}
	}
}

func (i *Instance) order(ctx context.Context, backend *table.BackendView, token uint64) {
	ticket, err := i.deps.Weights.Reserve(ctx, backend.Weights, fetchRate)
	if errors.Is(err, weightstore.ErrBusy) {
		return
	}
	if err != nil {
		klog.V(1).InfoS("No ticket for weights", "server", backend.Name, "weights", backend.Weights, "err", err)
		return
	}
	if _, ok := i.orders.candidate.Valid(clock.Now()); !ok {
		return
	}
	err = i.deps.Engines.Order(ctx, backend.Address, engine.WeightsOrder{
		Weights: backend.Weights, Token: token, BytesPerSecond: ticket.BytesPerSecond,
	})
	if err != nil {
		klog.V(1).InfoS("Order to load weights was not taken", "server", backend.Name, "weights", backend.Weights, "token", token, "err", err)
		return
	}
	klog.InfoS("Order to load weights", "server", backend.Name, "weights", backend.Weights, "token", token)
}

// HoldsOrders says whether this instance may give orders to engines now, and
// with which fencing token.
func (i *Instance) HoldsOrders() (token uint64, ok bool) {
	return i.ordersToken.Load(), i.ordersUntil.Load() > clock.Now().UnixNano()
}
