package backpressure

import "time"

// Kind is the kind of a call to a backend server.
type Kind uint8

const (
	// Unknown is no kind of call.
	Unknown Kind = iota
	// Plain is a call for a plain request, and Decode one that generates output.
	Plain
	Decode
	// Prefill has an engine read a prompt.
	Prefill
	// Reserve has an engine reserve memory, and Release releases the reservation.
	Reserve
	Release
	// Move copies the memory of a running stream to another engine.
	Move
	// Free releases the result of a prefill or of a move.
	Free
	// Report has an engine report its state, and Order changes its role.
	Report
	Order
)

// Kinds is a set of kinds of calls.
type Kinds uint16

// with returns the set with kind added.
func (k Kinds) with(kind Kind) Kinds { return k | 1<<kind }

func (k Kinds) has(kind Kind) bool { return k&(1<<kind) != 0 }

// Work describes a call to a server.
type Work struct {
	Kind Kind
	// Calls is the number of calls that it counts as against a rate limit. It includes the
	// calls that are certain to follow.
	Calls float64
	// FollowUp is set for follow-up requests: they finish or continue work that a server already
	// has, and withholding them would cost the server more. They count against a rate limit,
	// but do not wait for it.
	FollowUp bool
}

// Kinds of work sent to servers.
var (
	PlainWork   = Work{Kind: Plain, Calls: 1}
	PrefillWork = Work{Kind: Prefill, Calls: 1}
	// ReserveWork also counts the call that uses or releases the reservation.
	ReserveWork = Work{Kind: Reserve, Calls: 2}
	ReleaseWork = Work{Kind: Release, FollowUp: true}
	// DecodeWork uses a reservation, which has already been counted.
	DecodeWork = Work{Kind: Decode}
	// ResumeMovedWork continues a stream that has moved to the server. ResumeStoppedWork continues one
	// that was stopped at the server and could not move.
	ResumeMovedWork   = Work{Kind: Decode, Calls: 1}
	ResumeStoppedWork = Work{Kind: Decode, Calls: 1, FollowUp: true}
	MoveWork          = Work{Kind: Move, Calls: 1, FollowUp: true}
	FreeWork          = Work{Kind: Free, Calls: 1, FollowUp: true}
	// OrderWork also counts the report by which the order to change a server's role is decided.
	OrderWork = Work{Kind: Order, Calls: 2}
)

// StatusReport is the server status report in one answer.
type StatusReport struct {
	Kind Kind
	// Rejected is set if the server did not execute the request.
	Rejected bool
	// Limited is set if the answer reports a rate limit. Limit is the number of requests a
	// second that the server accepts from all instances together.
	Limited bool
	Limit   float64
	// Leaving is set if the server reports that it is draining and must get no new work.
	Leaving bool
	// Backoff is how long the server, which rejected the call, asks the instance to send it
	// nothing. It is 0 if the server did not ask.
	Backoff time.Duration
	// Unreadable is set if the answer reports a limit that cannot be parsed.
	Unreadable bool
}

// restricts reports whether the report contains anything that can withhold calls.
func (s StatusReport) restricts() bool { return s.Limited || s.Leaving || s.Backoff > 0 }

// endsLimit reports whether the answer ends a limit that was reported in answers of the kinds
// named. Answers to rejected calls and to other kinds of calls may never report a limit.
func (s StatusReport) endsLimit(named Kinds) bool {
	return !s.Limited && !s.Rejected && !s.Unreadable && named.has(s.Kind)
}
