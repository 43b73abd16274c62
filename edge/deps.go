package edge

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/registry"
)

// This file declares the interfaces to what an instance depends on: the platform, its siblings
// and the engines.

// Tables is the source of the operators' configuration.
type Tables interface {
	// Newest returns the full configuration in force and the position to follow changes from.
	Newest(ctx context.Context) (all OperatorChanges, position oplog.Position, err error)
	// Since waits for changes after a position. oplog.ErrTruncated means that the log no longer
	// holds the position.
	Since(ctx context.Context, position oplog.Position, wait time.Duration) (changes OperatorChanges, next oplog.Position, err error)
	Decode(raw []byte) (*Revision, error)
}

// OperatorChanges holds the changes by the operators since a position of their log.
type OperatorChanges struct {
	// Table is the newest configuration. It is nil if there is none.
	Table []byte
	// Evacuated holds, by availability zone, whether the backend servers of the zone must get no
	// more requests. If Full is set, zones that are missing are not evacuated. Otherwise they
	// keep their state.
	Evacuated map[string]bool
	Full      bool
}

// ServerList is the source of the list of backend servers.
type ServerList interface {
	// Newest returns the full list of servers. Where that takes more than one call, checkContinue
	// is called after the first. If it returns an error, the read ends with that error.
	Newest(ctx context.Context, checkContinue func(context.Context) error) (registry.Snapshot, error)
	// Since returns the changes after a position. It waits for a change for at most wait.
	Since(ctx context.Context, position oplog.Position, wait time.Duration) (changes []registry.Change, next oplog.Position, err error)
}

// Roster is the list of instances, read by instances that know no sibling yet.
type Roster interface {
	Announce(ctx context.Context, name, address string) error
	Withdraw(ctx context.Context, name string) error
	// Addresses returns the siblings' addresses by name.
	Addresses(ctx context.Context) (map[string]string, error)
}

// Claims stores the claims of the leases that allow an instance to order engines to change their
// roles.
type Claims interface {
	// Last returns the claim in effect and the condition for the next one.
	Last(ctx context.Context, key string) (state lease.State, condition oplog.Position, err error)
	// Claim makes a claim that takes effect only if no other claim was made in between. won is
	// false if there was one.
	Claim(ctx context.Context, claim lease.Claim, condition oplog.Position) (state lease.State, won bool, err error)
}

// EngineStatus is a model engine's report on the orders to change its role.
type EngineStatus struct {
	Role string
	// Busy is set while the engine carries out an order.
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
	// After is the value of EngineStatus.Sequence by which the order was decided. The engine
	// accepts the order only if its count of accepted orders still has this value.
	After uint64
}

// Engines gives orders to model engines.
type Engines interface {
	// SetRole requests an engine's status and sends it the order that decide returns for that
	// status, if it returns one. Only the run of the engine that reported can receive the order,
	// since the count of accepted orders is meaningless to a run that started later.
	// engine.ErrStale means that the engine has seen a higher fencing token, and
	// engine.ErrRefused that it did not accept the order.
	SetRole(ctx context.Context, server *registry.Entry, decide func(EngineStatus) (RoleOrder, bool)) error
}

// Siblings requests snapshots from siblings.
type Siblings interface {
	Snapshot(ctx context.Context, address string, have Have) (Snapshot, error)
}

// Socket carries heartbeats between siblings.
type Socket interface {
	Send(address string, datagram []byte) error
	// Receive passes each message to handle until ctx ends, and calls bad with the error for each
	// datagram that cannot be read or decoded.
	Receive(ctx context.Context, handle func(heartbeat.Message), bad func(error)) error
}

// Deps holds the dependencies of an Instance.
type Deps struct {
	Tables   Tables
	Servers  ServerList
	Roster   Roster
	Claims   Claims
	Releases ReleaseStore
	Streams  StreamLog
	Engines  Engines
	Siblings Siblings
	Socket   Socket
	Random   func() float64
	// OriginLog counts the calls of Streams. It may be nil.
	OriginLog *metrics.OriginLog
	// ServersChanged is called with each new view of the servers.
	ServersChanged func(view *registry.View)
}
