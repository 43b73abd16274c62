package backpressure

import "time"

// Kind is the kind of call that an answer belongs to.
type Kind uint8

// Kinds of calls to backend servers.
const (
	// Unknown is no kind of call.
	Unknown Kind = iota
	// Plain is a plain request, Decode one that generates.
	Plain
	Decode
	// Prefill has an engine read a prompt.
	Prefill
	// Reserve has an engine keep memory free, Release gives that back.
	Reserve
	Release
	// Move copies the memory of a run to another engine.
	Move
	// Free gives up the result of a prefill or of a move.
	Free
	// Report has an engine report, Order changes its role.
	Report
	Order
)

// Kinds is a set of kinds of calls.
type Kinds uint16

// with returns the set with one kind more.
func (k Kinds) with(kind Kind) Kinds { return k | 1<<kind }

func (k Kinds) has(kind Kind) bool { return k&(1<<kind) != 0 }

// Work is what a call asks of a server.
type Work struct {
	Kind Kind
	// Calls is how many calls it counts against a rate limit: those that are sure to follow
	// it count with it.
	Calls float64
	// Owed is set for what ends, or goes on with, something that the server has already: to
	// withhold it would cost the server more. It counts, but waits for nothing.
	Owed bool
}

// Works that are sent to servers.
var (
	PlainWork   = Work{Kind: Plain, Calls: 1}
	PrefillWork = Work{Kind: Prefill, Calls: 1}
	// ReserveWork counts what uses the reservation too, or gives it back.
	ReserveWork = Work{Kind: Reserve, Calls: 2}
	ReleaseWork = Work{Kind: Release, Owed: true}
	// DecodeWork has a reservation.
	DecodeWork = Work{Kind: Decode}
	// TakeOverWork goes on with a stream that has moved to the server, TakeBackWork with
	// one that was stopped there and could not move.
	TakeOverWork = Work{Kind: Decode, Calls: 1}
	TakeBackWork = Work{Kind: Decode, Calls: 1, Owed: true}
	MoveWork     = Work{Kind: Move, Calls: 1, Owed: true}
	FreeWork     = Work{Kind: Free, Calls: 1, Owed: true}
	// OrderWork counts the report that an order is decided by.
	OrderWork = Work{Kind: Order, Calls: 2}
)

// Statement is what one answer says of the server that gave it.
type Statement struct {
	Kind Kind
	// Refused is set if the server did not run what it was sent.
	Refused bool
	// Limited is set if the answer names a rate limit, and Limit is how many requests a
	// second the server takes from all instances together.
	Limited bool
	Limit   float64
	// Leaving is set if the server says that it leaves: it is not to get new work.
	Leaving bool
	// Backoff is for how long the server, as it turned the call away, wants nothing from the
	// instance that made it; 0 if it did not say.
	Backoff time.Duration
	// Unreadable is set if the answer says something of a limit that cannot be read.
	Unreadable bool
}

// says says whether the statement holds anything that may hold calls back.
func (s Statement) says() bool { return s.Limited || s.Leaving || s.Backoff > 0 }

// ends says whether a statement ends a limit that was named in answers of some kinds:
// answers to refused calls, or of other kinds, may never name one.
func (s Statement) ends(named Kinds) bool {
	return !s.Limited && !s.Refused && !s.Unreadable && named.has(s.Kind)
}
