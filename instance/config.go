// Package instance wires one instance together: its state, the loops that keep
// the state fresh, and its answers to siblings. It is the library behind the
// daemon. The HTTP APIs for callers and operators are built on top of it.
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

// Config holds the identity and the settings of an instance.
type Config struct {
	Name string
	// Zone is the availability zone.
	Zone string
	// Caller is the address for callers and Peer the address for siblings, as
	// others reach them, in the form "ip:port".
	Caller string
	Peer   string

	Member member.Config
	// Cell sets how a large region is divided into cells (groups of instances that know
	// each other fully).
	Cell cell.Config
	// Lease applies to the lease on orders to engines.
	Lease   lease.Config
	Request request.Config
	// EntryTTL is how long a caller may keep an address from an entry answer.
	// A shorter time spreads load and drains faster. A longer time causes fewer
	// queries.
	EntryTTL time.Duration
	// OperationIDTTL is how long a new operation id is valid. It bounds the number
	// of records that the home (the instance that the caller is connected to) and
	// the witness (the instance in another zone that acknowledges an intent) keep.
	OperationIDTTL time.Duration
	// StaleAfter is how long the instance accepts new callers without contact
	// with the log or a sibling. It bounds how long an outdated table is used.
	StaleAfter time.Duration
	// MinUptimeForEntry is how long an instance runs before its address is given to
	// callers: the delay of the instance list plus a heartbeat. With a shorter
	// time its address is given out before the instance knows every witness,
	// and calls are refused. With a longer time the instance stays idle.
	MinUptimeForEntry time.Duration
	// LoadEvery is the period in which a steward (the instance that grants
	// reservations at an engine) queries its engines for their load.
	LoadEvery time.Duration
	// ListEvery is the period in which the instance list is read.
	ListEvery time.Duration
	// MaxOperations is the maximum number of operation records that the instance
	// keeps as home, and also the maximum that it keeps as witness.
	MaxOperations int
	// MaxTraces is the maximum number of requests kept for operators.
	MaxTraces int
}

// DefaultRegion returns settings for a region whose instances are a few
// milliseconds apart.
func DefaultRegion() Config {
	return Config{
		Member:            member.DefaultRegion(),
		Cell:              cell.DefaultConfig(),
		Lease:             lease.DefaultConfig(),
		Request:           request.DefaultConfig(),
		EntryTTL:          5 * time.Second,
		OperationIDTTL:    2 * time.Minute,
		StaleAfter:        8 * time.Second,
		MinUptimeForEntry: 3 * time.Second,
		LoadEvery:         100 * time.Millisecond,
		ListEvery:         time.Second,
		MaxOperations:     100_000,
		MaxTraces:         2000,
	}
}

// DefaultLargeRegion returns settings for a region of more instances than one
// cell holds. Work that costs bytes for each sibling or listed instance is done
// less often.
func DefaultLargeRegion() Config {
	config := DefaultRegion()
	config.Member = member.DefaultCell()
	config.ListEvery = 5 * time.Second
	config.LoadEvery = 250 * time.Millisecond
	config.StaleAfter = 10 * time.Second
	return config
}

// Deps holds the clients and the random source through which an instance
// reaches the outside world.
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
