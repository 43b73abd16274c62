// Package peer carries messages between sibling instances over QUIC with
// mutual TLS. Heartbeats are datagrams, and each request with its answer uses
// a stream of its own.
package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
)

// ServerLoad is the summary of one backend server's load report, made by its
// steward (the instance that grants reservations at an engine).
type ServerLoad struct {
	// ID is route.ServerID of the server's name.
	ID            uint32 `cbor:"1,keyasint"`
	WaitingTokens int    `cbor:"2,keyasint,omitempty"`
	Running       int    `cbor:"3,keyasint,omitempty"`
	FreePieces    int    `cbor:"4,keyasint,omitempty"`
	Draining      bool   `cbor:"5,keyasint,omitempty"`
	// Cached and Dropped are the latest changes of a prefill engine's prefix
	// cache, limited to what fits into the message.
	Cached  []uint64 `cbor:"6,keyasint,omitempty"`
	Dropped []uint64 `cbor:"7,keyasint,omitempty"`
}

// Heartbeat shows that its sender is alive and carries the load of the backend
// servers that it is the steward of.
type Heartbeat struct {
	Info  member.Info  `cbor:"1,keyasint"`
	Loads []ServerLoad `cbor:"2,keyasint,omitempty"`
}

// Reserve requests a reservation at a backend server from its steward; see
// route.Demand.
type Reserve struct {
	Server         string        `cbor:"1,keyasint"`
	RequestID      string        `cbor:"2,keyasint"`
	Attempt        int           `cbor:"3,keyasint,omitempty"`
	Pieces         int           `cbor:"5,keyasint,omitempty"`
	TTL            time.Duration `cbor:"6,keyasint"`
	ArrivesIn      time.Duration `cbor:"7,keyasint,omitempty"`
	HoldFor        time.Duration `cbor:"8,keyasint,omitempty"`
	Headroom       int           `cbor:"9,keyasint,omitempty"`
	Tokens         int           `cbor:"10,keyasint,omitempty"`
	MaxTokensAhead int           `cbor:"11,keyasint,omitempty"`
}

// Reserved answers Reserve. With an empty Refused the reservation is granted.
type Reserved struct {
	Refused reason.Reason `cbor:"1,keyasint,omitempty"`
	Free    int           `cbor:"2,keyasint,omitempty"`
	Ahead   int           `cbor:"3,keyasint,omitempty"`
}

// Release releases reserved memory.
type Release struct {
	Server    string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Attempt   int    `cbor:"3,keyasint"`
}

// Intent informs a witness (the instance in another zone that acknowledges an
// intent) that the home (the instance that the caller is connected to) is about
// to send an operation.
type Intent struct {
	Operation string `cbor:"1,keyasint"`
}

// IntentAnswer acknowledges an intent, or refuses it with a reason.
type IntentAnswer struct {
	Refused reason.Reason `cbor:"1,keyasint,omitempty"`
}

// Settle informs a witness of the outcome of an operation.
type Settle struct {
	Operation string           `cbor:"1,keyasint"`
	Status    operation.Status `cbor:"2,keyasint"`
}

// OperationRequest requests the status of an operation from its home or a witness.
type OperationRequest struct {
	Operation string `cbor:"1,keyasint"`
}

// OperationAnswer answers OperationRequest.
type OperationAnswer struct {
	Status operation.Status `cbor:"1,keyasint"`
}

// TraceRequest requests the trace of a request, as JSON.
type TraceRequest struct {
	RequestID string `cbor:"1,keyasint"`
}

// TraceAnswer answers TraceRequest. It is empty when the trace is not kept.
type TraceAnswer struct {
	JSON []byte `cbor:"1,keyasint,omitempty"`
}

// RecordsRequest requests log records from an offset on.
type RecordsRequest struct {
	From uint64 `cbor:"1,keyasint"`
}

// Records answers RecordsRequest. When the requested records are no longer kept,
// Snapshot holds the full table and its fold state instead.
type Records struct {
	Next    uint64   `cbor:"1,keyasint"`
	Records [][]byte `cbor:"2,keyasint,omitempty"`
	// First is the offset of the first entry of Records.
	First    uint64 `cbor:"3,keyasint,omitempty"`
	Snapshot []byte `cbor:"4,keyasint,omitempty"`
}

// LastContactRequest requests the time since the receiver's last contact with a member.
type LastContactRequest struct {
	Member operation.Member `cbor:"1,keyasint"`
}

// LastContact answers LastContactRequest.
type LastContact struct {
	Known   bool          `cbor:"1,keyasint,omitempty"`
	Silence time.Duration `cbor:"2,keyasint,omitempty"`
}

// Claim identifies an attempt (one try of a request) for which an engine holds
// memory.
type Claim struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   int    `cbor:"2,keyasint"`
}

// ClaimsRequest lists attempts and asks their home which of them it still works
// on.
type ClaimsRequest struct {
	Home   operation.Member `cbor:"1,keyasint"`
	Claims []Claim          `cbor:"2,keyasint"`
}

// Claims answers ClaimsRequest.
type Claims struct {
	// Home is the member that answers. A later run of the home's process
	// doesn't know the attempts of an earlier run.
	Home operation.Member `cbor:"1,keyasint"`
	// Abandoned are the requested attempts on which the home no longer works.
	Abandoned []Claim `cbor:"2,keyasint,omitempty"`
}

// Message is one message between siblings. Exactly one field is set.
type Message struct {
	Heartbeat       *Heartbeat          `cbor:"1,keyasint,omitempty"`
	Reserve         *Reserve            `cbor:"2,keyasint,omitempty"`
	Reserved        *Reserved           `cbor:"3,keyasint,omitempty"`
	Release         *Release            `cbor:"4,keyasint,omitempty"`
	Intent          *Intent             `cbor:"5,keyasint,omitempty"`
	IntentAnswer    *IntentAnswer       `cbor:"6,keyasint,omitempty"`
	Settle          *Settle             `cbor:"7,keyasint,omitempty"`
	AskOperation    *OperationRequest   `cbor:"8,keyasint,omitempty"`
	OperationAnswer *OperationAnswer    `cbor:"9,keyasint,omitempty"`
	AskTrace        *TraceRequest       `cbor:"10,keyasint,omitempty"`
	TraceAnswer     *TraceAnswer        `cbor:"11,keyasint,omitempty"`
	AskRecords      *RecordsRequest     `cbor:"12,keyasint,omitempty"`
	Records         *Records            `cbor:"13,keyasint,omitempty"`
	AskHeard        *LastContactRequest `cbor:"14,keyasint,omitempty"`
	Heard           *LastContact        `cbor:"15,keyasint,omitempty"`
	AskClaims       *ClaimsRequest      `cbor:"16,keyasint,omitempty"`
	Claims          *Claims             `cbor:"17,keyasint,omitempty"`
}

// Handler answers messages from siblings. It returns nil when the message has
// no answer or is of an unknown kind.
type Handler func(ctx context.Context, message *Message) *Message

// ErrNoAnswer means that no answer was received from a sibling. Whether the
// sibling received the request is not known.
var ErrNoAnswer = errors.New("no answer from sibling")

// Transport exchanges messages with siblings, addressed by "ip:port".
type Transport interface {
	// Call sends a request and waits for its answer.
	Call(ctx context.Context, address string, request *Message) (*Message, error)
	// Send sends a message that gets no answer. The message may be lost.
	Send(address string, message *Message)
	// Serve passes received messages to handler until ctx ends.
	Serve(ctx context.Context, handler Handler) error
	Close() error
}

// Encode encodes a message as CBOR.
func Encode(message *Message) ([]byte, error) { return cbor.Marshal(message) }

// Decode decodes a message from CBOR.
func Decode(data []byte) (*Message, error) {
	message := new(Message)
	if err := cbor.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode sibling message")
	}
	return message, nil
}
