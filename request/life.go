// Package request runs one request from arrival to outcome: its states, its attempts
// (one try of the request at backend servers each), and the delivery of its answer to
// the caller.
package request

import (
	"fmt"

	"github.com/mastwheel/mastwheel/reason"
)

// State is a state in the life cycle of a request.
type State uint8

const (
	// Received means that the request was read from the caller and nothing has
	// been decided yet.
	Received State = iota
	// Waiting means that the request is admitted and waits for a memory
	// reservation or for a server.
	Waiting
	// Reserved means that decode memory is reserved.
	Reserved
	// Prefilling means that a prefill engine has, or may have, the order.
	Prefilling
	// Transferring means that the KV cache is being transferred to the decode
	// engine.
	Transferring
	// Decoding means that the decode engine generates tokens.
	Decoding
	// Sent means that a plain backend server has, or may have, the call.
	Sent
	// Delivered means that the whole answer was written to the caller's
	// connection.
	Delivered
	// Ended means that the request failed. Its outcome says whether any part
	// may have run.
	Ended
	// CallerDisconnected means that the caller has disconnected.
	CallerDisconnected
)

var stateNames = [...]string{
	"received", "waiting", "reserved", "prefilling", "transferring",
	"decoding", "sent", "delivered", "ended", "departed",
}

// String returns the name of the state in lower case.
func (s State) String() string { return stateNames[s] }

// Event is a transition from one state of a request to the next.
type Event uint8

const (
	// Admit: the request was admitted within the caps on requests in flight.
	Admit Event = iota
	// ReservationGranted: a steward (the instance that grants reservations at an
	// engine) has reserved decode memory.
	ReservationGranted
	// Send: from now on a byte may have reached a backend server.
	Send
	// Disclaim: the order of the last Send was not run. The server reported so,
	// or the transport shows it.
	Disclaim
	// Prefilled: the prefill is complete.
	Prefilled
	// Imported: the decode engine has the KV cache.
	Imported
	// Retry: the attempt failed and the next one begins.
	Retry
	// Deliver: the whole answer was written to the caller.
	Deliver
	// GiveUp: no further attempt will be made.
	GiveUp
	// CallerDisconnect: the caller has disconnected.
	CallerDisconnect
)

var eventNames = [...]string{
	"admit", "promise", "send", "disclaim", "prefilled",
	"imported", "retry", "deliver", "give_up", "depart",
}

// String returns the name of the event in lower case.
func (e Event) String() string { return eventNames[e] }

// transitions lists every allowed transition. Any other one is a violated
// invariant.
var transitions = map[State]map[Event]State{
	Received: {Admit: Waiting, GiveUp: Ended, CallerDisconnect: CallerDisconnected},
	Waiting:  {ReservationGranted: Reserved, Send: Sent, GiveUp: Ended, CallerDisconnect: CallerDisconnected},
	Reserved: {Send: Prefilling, Retry: Waiting, GiveUp: Ended, CallerDisconnect: CallerDisconnected},
	Prefilling: {
		Prefilled: Transferring, Disclaim: Reserved, Retry: Waiting, GiveUp: Ended, CallerDisconnect: CallerDisconnected,
	},
	// ReservationGranted reserves memory at another decode engine for the same prefill
	// result.
	Transferring: {
		ReservationGranted: Transferring, Imported: Decoding, Retry: Waiting, GiveUp: Ended, CallerDisconnect: CallerDisconnected,
	},
	Decoding: {Deliver: Delivered, Retry: Waiting, GiveUp: Ended, CallerDisconnect: CallerDisconnected},
	Sent: {
		Deliver: Delivered, Disclaim: Waiting, Retry: Waiting, GiveUp: Ended, CallerDisconnect: CallerDisconnected,
	},
}

// Lifecycle is the state of one request. The zero value is in state Received.
type Lifecycle struct {
	state State
	// unresolved counts the orders that were sent and not disclaimed.
	unresolved int
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// Apply applies an event. It panics when the event is not allowed in the current
// state, since that is a violated invariant.
func (l *Lifecycle) Apply(event Event) {
	next, ok := transitions[l.state][event]
	if !ok {
		panic(fmt.Sprintf("request: event %s is not allowed in state %s", event, l.state))
	}
	switch event {
	case Send:
		l.unresolved++
	case Disclaim:
		l.unresolved--
	}
	l.state = next
}

// MayHaveRun reports whether a backend server may have run any part of the
// request.
func (l *Lifecycle) MayHaveRun() bool { return l.unresolved > 0 }

// Outcome returns the outcome that may be reported to the caller, now or at the
// end.
func (l *Lifecycle) Outcome() reason.Outcome {
	switch {
	case l.state == Delivered:
		return reason.Done
	case l.unresolved > 0:
		return reason.Unknown
	default:
		return reason.NotRun
	}
}
