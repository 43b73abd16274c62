package edge

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// What an instance works with: the users' platform, its siblings and the engines.

// Revision is one version of the operators' table.
type Revision struct {
	Number uint64
	// Raw is the configuration that it was made of, for siblings.
	Raw  []byte
	View *table.View
}

// Tables is where the operators' configuration comes from.
type Tables interface {
	// Newest returns all that the operators have in force, and the position to follow it
	// from.
	Newest(ctx context.Context) (all OperatorChanges, position oplog.Position, err error)
	// Since waits for changes after a position. oplog.ErrTruncated means that the
	// position is no longer kept.
	Since(ctx context.Context, position oplog.Position, wait time.Duration) (changes OperatorChanges, next oplog.Position, err error)
	Decode(raw []byte) (*Revision, error)
}

// OperatorChanges is what the operators have changed since a position of their log.
type OperatorChanges struct {
	// Table is the newest configuration; nil without one.
	Table []byte
	// Evacuated says of availability zones whether their backend servers are to get
	// nothing more. Whole is set if those that are missing are not evacuated; else they
	// stay as they were.
	Evacuated map[string]bool
	Whole     bool
}

// ServerList is where the list of backend servers comes from.
type ServerList interface {
	// Newest returns the whole list. Where that takes more than one call, readsOn is asked
	// after the first whether to go on; its error ends the reading.
	Newest(ctx context.Context, readsOn func(context.Context) error) (registry.Snapshot, error)
	// Since returns the changes after a position, waiting for one for a while.
	Since(ctx context.Context, position oplog.Position, wait time.Duration) (changes []registry.Change, next oplog.Position, err error)
}

// Roster lists the instances, for those that know no sibling yet.
type Roster interface {
	Announce(ctx context.Context, name, address string) error
	Withdraw(ctx context.Context, name string) error
	// Addresses returns the siblings' addresses by name.
	Addresses(ctx context.Context) (map[string]string, error)
}

// Claims is where the lease on orders is claimed.
type Claims interface {
	// Last returns the claim that counts, and a condition for the next.
	Last(ctx context.Context, key string) (state lease.State, condition oplog.Position, err error)
	// Claim makes a claim that counts only if no other came in between. won is
	// false when one did.
	Claim(ctx context.Context, claim lease.Claim, condition oplog.Position) (state lease.State, won bool, err error)
}

// EngineStatus is what a model engine reports of its orders.
type EngineStatus struct {
	Role string
	// Busy is set while an order is being carried out.
	Busy bool
	// Sequence counts the orders that this run of the engine has accepted.
	Sequence uint64
}

// RoleOrder changes an engine's role.
type RoleOrder struct {
	Role   string
	Holder string
	// Token is the fencing token of the lease.
	Token uint64
	// After is the count of accepted orders that the engine must have.
	After uint64
}

// Engines gives orders to model engines.
type Engines interface {
	// SetRole has an engine report, and gives it the order that decide makes of
	// that, if it makes one. The order reaches the run of the engine that reported,
	// or none: its count of accepted orders says nothing to a run that started
	// since. engine.ErrStale means that the engine has seen a higher fencing token,
	// engine.ErrRefused that it did not take the order.
	SetRole(ctx context.Context, server *registry.Entry, decide func(EngineStatus) (RoleOrder, bool)) error
}

// Siblings asks one sibling for what it believes.
type Siblings interface {
	Snapshot(ctx context.Context, address string, have Have) (Snapshot, error)
}

// Socket carries heartbeats between siblings.
type Socket interface {
	Send(address string, datagram []byte) error
	// Receive hands each message to handle until ctx ends; what is none goes to
	// bad.
	Receive(ctx context.Context, handle func(heartbeat.Message), bad func(error)) error
}

// Deps is what an Instance works with.
type Deps struct {
	Tables   Tables
	Servers  ServerList
	Roster   Roster
	Claims   Claims
	Engines  Engines
	Siblings Siblings
	Socket   Socket
	Random   func() float64
	// ServersChanged is called with each new picture of the servers.
	ServersChanged func(view *registry.View)
}
