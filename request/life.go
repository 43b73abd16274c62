// Package request holds the life of one request: its states and outcome, its
// attempts at backend servers, and the delivery of its answer to the caller.
package request

import (
	"fmt"

	"github.com/mastwheel/mastwheel/reason"
)

// State is where a request is in its life.
type State uint8

const (
	// Received: read from the caller, nothing decided.
	Received State = iota
	// Waiting: admitted, and waits for a promise of memory or for a server.
	Waiting
	// Reserved: decode memory is promised.
	Reserved
	// Prefilling: a prefill engine has, or may have, the order.
	Prefilling
	// Transferring: the KV cache is on its way to the decode engine.
	Transferring
	// Decoding: the decode engine generates.
	Decoding
	// Sent: a plain backend server has, or may have, the call.
	Sent
	// Delivered: the whole answer was handed to the caller's connection.
	Delivered
	// Ended: given up; the outcome says whether anything may have run.
	Ended
	// Departed: the caller has gone.
	Departed
)

var stateNames = [...]string{
	"received", "waiting", "reserved", "prefilling", "transferring",
	"decoding", "sent", "delivered", "ended", "departed",
}

// String returns the state's name in lower case.
func (s State) String() string { return stateNames[s] }

// Event moves a request from one state to the next.
type Event uint8

const (
	// Admit: it has its place within the caps.
	Admit Event = iota
	// Promise: a steward has promised decode memory.
	Promise
	// Send: from now on a byte may have reached a backend server.
	Send
	// Disclaim: the server said, or the transport knows, that the order of
	// the last Send was not run.
	Disclaim
	// Prefilled: the prompt is read.
	Prefilled
	// Imported: the decode engine has the KV cache.
	Imported
	// Retry: the attempt failed and the next one begins.
	Retry
	// Deliver: the whole answer was handed over.
	Deliver
	// GiveUp: no further attempt will be made.
	GiveUp
	// Depart: the caller has gone.
	Depart
)

var eventNames = [...]string{
	"admit", "promise", "send", "disclaim", "prefilled",
	"imported", "retry", "deliver", "give_up", "depart",
}

// String returns the event's name in lower case.
func (e Event) String() string { return eventNames[e] }

// transitions is the whole life of a request. What is not in it is a broken
// invariant.
var transitions = map[State]map[Event]State{
	Received: {Admit: Waiting, GiveUp: Ended, Depart: Departed},
	Waiting:  {Promise: Reserved, Send: Sent, GiveUp: Ended, Depart: Departed},
	Reserved: {Send: Prefilling, Retry: Waiting, GiveUp: Ended, Depart: Departed},
	Prefilling: {
		Prefilled: Transferring, Disclaim: Reserved, Retry: Waiting, GiveUp: Ended, Depart: Departed,
	},
	// Another decode engine may be tried for the same prefill result.
	Transferring: {
		Promise: Transferring, Imported: Decoding, Retry: Waiting, GiveUp: Ended, Depart: Departed,
	},
	Decoding: {Deliver: Delivered, Retry: Waiting, GiveUp: Ended, Depart: Departed},
	Sent: {
		Deliver: Delivered, Disclaim: Waiting, Retry: Waiting, GiveUp: Ended, Depart: Departed,
	},
}

// Life is the state of one request. The zero value is Received.
type Life struct {
	state State
	// open counts orders sent that nobody has disclaimed.
	open int
}

// State returns the current state.
func (l *Life) State() State { return l.state }

// Step moves the life on. An event that the table does not allow is a broken
// invariant, and panics.
func (l *Life) Step(event Event) {
	next, ok := transitions[l.state][event]
	if !ok {
		panic(fmt.Sprintf("request: event %s in state %s", event, l.state))
	}
	switch event {
	case Send:
		l.open++
	case Disclaim:
		l.open--
	}
	l.state = next
}

// MayHaveRun says whether a backend server may have run any part.
func (l *Life) MayHaveRun() bool { return l.open > 0 }

// Outcome returns what a caller may be told, now or at the end.
func (l *Life) Outcome() reason.Outcome {
	switch {
	case l.state == Delivered:
		return reason.Done
	case l.open > 0:
		return reason.Unknown
	default:
		return reason.NotRun
	}
}
