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
	// ordersKeyPrefix, followed by the name of the cell (the group of instances that know
	// each other fully), is the key of the lease on orders to the engines of the cell.
	ordersKeyPrefix = "orders "
	// ordersEvery is how often the lease and the engines are checked.
	ordersEvery = 500 * time.Millisecond
	// loadBytesPerSecond is the rate requested for loading weights into one engine, in
	// bytes per second. It is a fifth of the weight store's rate, so that several pools can
	// load at the same time.
	loadBytesPerSecond = 2_000_000_000
)

// orders holds this instance's candidacy for the lease on orders to engines.
// Only the orders loop uses it.
type orders struct {
	key       string
	candidate *lease.Candidate
}

// runOrders maintains the lease on orders to engines. While this instance holds it,
// runOrders has engines load the weights that the table names.
func (i *Instance) runOrders(ctx context.Context) {
	now := clock.Now()
	if key := ordersKeyPrefix + i.Cell(); key != i.orders.key {
		i.orders.key = key
		i.orders.candidate = lease.NewCandidate(i.config.Lease, key, i.self.String(), now)
	}
	candidate := i.orders.candidate
	candidate.Observe(i.tables.Lease(i.orders.key), now)
	i.maintainLease(ctx, now)
	token, ok := candidate.Valid(clock.Now())
	i.ordersToken.Store(token)
	i.ordersUntil.Store(candidate.Until().UnixNano())
	if ok {
		// Orders stop at the end of the lease, however long the reconciliation
		// takes.
		ctx, cancel := clock.WithDeadline(ctx, candidate.Until())
		defer cancel()
		i.reconcile(ctx, token)
	}
}

// tableNamesWeights reports whether the table names weights for any engine. If
// it does not, no lease is held and no append is spent on one.
func (i *Instance) tableNamesWeights() bool {
	for _, backend := range i.tables.View().Backends {
		if backend.Weights != "" {
			return true
		}
	}
	return false
}

func (i *Instance) maintainLease(ctx context.Context, now time.Time) {
	if i.draining.Load() || !i.tableNamesWeights() {
		return
	}
	claim, ok := i.orders.candidate.Next(now, i.ownerOf(i.orders.key) == i.self.Name)
	if !ok {
		return
	}
	record, err := table.LeaseRecord(claim)
	if err != nil {
		klog.ErrorS(err, "Failed to encode the claim of the lease on orders to engines as a record of the platform's log")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	if _, err := i.deps.Log.Append(ctx, record); err != nil {
		klog.V(1).InfoS("Failed to append the claim of the lease on orders to engines to the platform's log", "err", err)
	}
}

// reconcile orders at most one engine of each pool at a time to load the weights
// that the table names, so that the other engines go on serving. It reads the state
// of the engines each time. This corrects the effect of an order that another
// instance sent after its lease had ended.
func (i *Instance) reconcile(ctx context.Context, token uint64) {
	backends := slices.SortedFunc(maps.Values(i.tables.View().Backends), func(a, b *table.BackendView) int {
		return cmp.Compare(a.Name, b.Name)
	})
	busy := make(map[string]bool)
	outdated := make(map[string]*table.BackendView)
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
			if outdated[backend.Pool] == nil {
				outdated[backend.Pool] = backend
			}
		}
	}
	for pool, backend := range outdated {
		if !busy[pool] {
			i.sendOrder(ctx, backend, token)
		}
	}
}

func (i *Instance) sendOrder(ctx context.Context, backend *table.BackendView, token uint64) {
	ticket, err := i.deps.Weights.Reserve(ctx, backend.Weights, loadBytesPerSecond)
	if errors.Is(err, weightstore.ErrBusy) {
		return
	}
	if err != nil {
		klog.V(1).InfoS("Failed to reserve a transfer from the weight store", "server", backend.Name, "weights", backend.Weights, "err", err)
		return
	}
	if _, ok := i.orders.candidate.Valid(clock.Now()); !ok {
		return
	}
	err = i.deps.Engines.Order(ctx, backend.Address, engine.WeightsOrder{
		Weights: backend.Weights, Token: token, BytesPerSecond: ticket.BytesPerSecond,
	})
	if err != nil {
		klog.V(1).InfoS("Failed to order an engine to load weights", "server", backend.Name, "weights", backend.Weights, "token", token, "err", err)
		return
	}
	klog.InfoS("Ordered an engine to load weights", "server", backend.Name, "weights", backend.Weights, "token", token)
}

// HoldsOrdersLease reports whether this instance may send orders to engines now, and
// returns its fencing token.
func (i *Instance) HoldsOrdersLease() (token uint64, ok bool) {
	return i.ordersToken.Load(), i.ordersUntil.Load() > clock.Now().UnixNano()
}
