// Package instance wires one instance together: what it knows, the loops that
// keep that fresh, and the answers that it gives to siblings. It is the
// library behind the daemon; callers' and operators' HTTP is laid on top.
package instance

import (
	"time"

	"github.com/mastwheel/mastwheel/cell"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/lease"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/weightstore"
)

// Config says who an instance is and how it behaves.
type Config struct {
	Name string
	// Zone is the availability zone.
	Zone string
	// Caller is the address for callers and Peer that for siblings, as others
	// reach them, "ip:port".
	Caller string
	Peer   string

	Member member.Config
	// Cell divides a large region.
	Cell cell.Config
	// Lease is for orders to engines.
	Lease   lease.Config
	Request request.Config
	// KeepAnswer is how long a caller may keep an address that it was given.
	// Shorter spreads load and drains faster; longer asks less often.
	KeepAnswer time.Duration
	// OperationLife is how long a new operation id is good for. It bounds the
	// records of home and witness.
	OperationLife time.Duration
	// StaleAfter is how long the instance takes new callers while it hears
	// neither the log nor a sibling: the bound on running an old table.
	StaleAfter time.Duration
	// SettleAfter is how long an instance runs before it is named to callers:
	// the list's lag and a heartbeat. Shorter names it before it knows every
	// witness, and calls are refused; longer leaves it idle.
	SettleAfter time.Duration
	// LoadEvery is the period in which a steward asks its engines for load.
	LoadEvery time.Duration
	// ListEvery is the period in which the instance list is read.
	ListEvery time.Duration
	// MostOperations bounds the operation records of home and of witness.
	MostOperations int
	// MostTraces bounds the requests kept for operators.
	MostTraces int
}

// DefaultRegion suits the deployments of the brief: instances of one region
// with a few milliseconds between them.
func DefaultRegion() Config {
	return Config{
		Member:         member.DefaultRegion(),
		Cell:           cell.DefaultConfig(),
		Lease:          lease.DefaultConfig(),
		Request:        request.DefaultConfig(),
		KeepAnswer:     5 * time.Second,
		OperationLife:  2 * time.Minute,
		StaleAfter:     8 * time.Second,
		SettleAfter:    3 * time.Second,
		LoadEvery:      100 * time.Millisecond,
		ListEvery:      time.Second,
		MostOperations: 100_000,
		MostTraces:     2000,
	}
}

// DefaultLargeRegion suits a region of more instances than one cell holds:
// everything that costs bytes for each sibling or listed instance is rarer.
func DefaultLargeRegion() Config {
	config := DefaultRegion()
	config.Member = member.DefaultCell()
	config.ListEvery = 5 * time.Second
	config.LoadEvery = 250 * time.Millisecond
	config.StaleAfter = 10 * time.Second
	return config
}

// Deps is the outside world of an instance.
type Deps struct {
	Engines  engine.Client
	Services service.Client
	Log      oplog.Client
	List     instancelist.Client
	Peers    peer.Transport
	Weights  weightstore.Client
	// Random returns a number in [0,1).
	Random func() float64
}
