// Package slots decides which plain calls an instance may send where few servers with few slots
// serve the calls of many instances. It does no I/O and reads no clock.
//
// The load it handles: three servers with 6 slots and a queue of 24 calls each, before 61 to 78
// instances, and bursts of 4 s in which callers request more than the servers can do. Each
// instance has about one call in flight, and knows those of the others 0.1 to 1 s late, while the
// servers' queues fill in a fifth of a second. An answer in time has its full value, a late one a
// tenth to a half of it, and a refused call has none unless its caller comes back and is served.
//
// A call ends in time if it finds at most a certain number of calls at its server (limit). It
// follows from the slots, the work time and the callers' target. The instances share this number.
// Each may use its allowance at any time, at the server that it is assigned to. Such calls need
// no reports of the others: the next one is sent when the last one has been answered, so that the
// servers' queues stay as long as the allowances allow. What the others have in flight decides only
// about calls beyond the allowance (spare), which are sent while the servers have free capacity.
// A late call is sent only where it does not delay others.
package slots

import (
	"slices"
	"time"
)

// Server is what an instance knows about one server at the time of a decision.
type Server struct {
	// Name is the name of the server's run.
	Name string
	// Slots is the number of calls that the server processes at the same time.
	Slots int
	// InFlight counts the calls of all instances at the server: the instance's own, and those of
	// the others as last reported.
	InFlight int
	// Usual is the usual work time of the server's calls, from the measurements of all instances; 0
	// if it is not known. Calls that work unusually long do not raise it.
	Usual time.Duration
	// Excluded is set if the call must not be sent to the server, because it failed there. The
	// server counts for the capacity that the instances share.
	Excluded bool
}

// Call is a plain call.
type Call struct {
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Target is the time in which callers of the route need the answer. Due is the time until
	// which this answer is in time. Deadline is when the caller stops waiting.
	Target        time.Duration
	Due, Deadline time.Time
	// Bytes is the memory that the call takes while it waits.
	Bytes int
}

// returned reports whether the call is a repetition: part of the time until its target had passed
// when it arrived.
func (c *Call) returned(arrived time.Time) bool { return c.Due.Sub(arrived) < c.Target/2 }

// View is what an instance knows at the time of a decision.
type View struct {
	// Servers are the servers that may be used, with those that are excluded for this call.
	Servers []Server
	// Instances is the number of instances that send to them, and Rank the position of this one
	// among them, from 0.
	Instances, Rank int
	// InContact is whether this instance receives the reports of most others.
	InContact bool
}

// MaySend reports whether there is a server to which the call may be sent.
func (v *View) MaySend() bool {
	return slices.ContainsFunc(v.Servers, func(s Server) bool { return !s.Excluded })
}

// Action is what is done with a call.
type Action uint8

const (
	// Send: the call is sent to a server.
	Send Action = iota
	// Wait: the call waits in the instance's queue.
	Wait
	// Refuse: the call is refused and has not run.
	Refuse
)

// String returns the action as it is written to the log.
func (a Action) String() string {
	switch a {
	case Send:
		return "send"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	}
	return "unknown"
}

// Decision is what is done with a call, with the inputs of the decision.
type Decision struct {
	Action Action
	// Server is the name of the server that the call is sent to.
	Server string
	// Late is set if no end in time is expected.
	Late bool
	// ByAllowance is set if the call is within the instance's allowance. Chance is the probability
	// with which it is sent otherwise.
	ByAllowance bool
	Chance      float64
	// InFlight is the number of calls of all instances at the servers. Limit is the number up to
	// which another call ends in time, and Allowance the part of it that this instance may use.
	InFlight  int
	Limit     float64
	Allowance float64
	// InFlightShown is the number of calls at the servers that the instance's own answers show. It is 0 if
	// the reports show many calls, or if there are no recent answers that waited. The chance follows the
	// larger of both numbers.
	InFlightShown int
	// Work is the estimated work time of a call.
	Work time.Duration
	// Queued is the number of calls that wait in the instance, and Waited how long this one did.
	Queued int
	Waited time.Duration
	// RetryAfter is the time after which free capacity is expected, if the call is refused.
	RetryAfter time.Duration
}

// Config holds the rules by which calls are sent (docs/design/0022-few-slots.md).
type Config struct {
	// MaxRounds bounds the limit as a multiple of a server's slots. A longer queue at the servers
	// is of no use: calls wait in the instances as well, where more urgent ones pass them, and the
	// servers' queues have an unknown bound.
	MaxRounds float64
	// Allowances is the sum of the allowances of all instances, as a fraction of the limit. It is
	// above one because an instance rarely has calls for all of its allowance.
	Allowances float64
	// SpareUpTo and SpareEnd are the fractions of the limit between which the chance of a call
	// beyond the instance's allowance falls from one to zero. With a single threshold all
	// instances would begin and stop to send together.
	SpareUpTo, SpareEnd float64
	// SpareRecovery is the time until an instance uses all of the spare capacity again after the
	// servers were full. Reports are late, so that the instances together would otherwise fill
	// the servers each time that their queues seem to be empty.
	SpareRecovery time.Duration
	// SpareEvery is the time after which a waiting call has another chance.
	SpareEvery time.Duration
	// Delay is the fraction of the limit up to which a queue is taken into account for the time
	// at which a call would end. Reports of longer queues are over by the time they arrive. With
	// half of the limit, a quarter of the calls that were sent as in time in a burst of four times
	// the calls ended late, because the servers' queues were longer than that all the time.
	Delay float64
	// LateUpTo is the fraction of the limit up to which late calls are sent, but at least to as
	// many as there are slots. A late call that joins a short queue delays hardly any call beyond
	// its target, and one in a free slot none.
	LateUpTo float64
	// LateSettle is the time in which the late calls of all instances fill the servers up to
	// LateUpTo. It exceeds the age of what the instances know of each other, so that they do not
	// overshoot.
	LateSettle time.Duration
	// QueueCalls and QueueBytes bound the instance's queue. An instance sends some ten calls a
	// second, and the smallest instance has 112 MB of memory.
	QueueCalls int
	QueueBytes int
	// WaitFraction is the largest fraction of the caller's remaining time for which a late call
	// waits.
	WaitFraction float64
	// ReturnEarliest and ReturnLatest bound the time after which a refused caller is asked to
	// come back, as fractions of its remaining time. Callers wait at most a third of it (source:
	// the platform's protocol).
	ReturnEarliest, ReturnLatest float64
	// ReturnPart is the part of the servers' capacity by which returns are spread. The rest serves
	// calls in time.
	ReturnPart float64
}

// DefaultConfig returns the configuration for the load that the package handles.
func DefaultConfig() Config {
	return Config{
		MaxRounds: 4, Allowances: 1.2, SpareUpTo: 0.35, SpareEnd: 0.8, SpareRecovery: time.Second,
		SpareEvery: 100 * time.Millisecond, Delay: 0.75,
		LateUpTo: 0.4, LateSettle: 250 * time.Millisecond,
		QueueCalls: 16, QueueBytes: 1 << 20, WaitFraction: 0.5, ReturnEarliest: 0.16, ReturnLatest: 0.32, ReturnPart: 0.5,
	}
}
