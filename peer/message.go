// Package peer carries messages between sibling instances over QUIC with
// mutual TLS: heartbeats as datagrams, questions with an answer on a stream
// each.
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

// ServerLoad is a steward's digest of one backend server's report.
type ServerLoad struct {
	// ID is route.ServerID of the server's name.
	ID            uint32 `cbor:"1,keyasint"`
	WaitingTokens int    `cbor:"2,keyasint,omitempty"`
	Running       int    `cbor:"3,keyasint,omitempty"`
	FreePieces    int    `cbor:"4,keyasint,omitempty"`
	Leaving       bool   `cbor:"5,keyasint,omitempty"`
	// Cached and Dropped are the latest changes of a prefill engine's prefix
	// cache, as many as fit.
	Cached  []uint64 `cbor:"6,keyasint,omitempty"`
	Dropped []uint64 `cbor:"7,keyasint,omitempty"`
}

// Heartbeat says that its sender lives, and what its workers report.
type Heartbeat struct {
	Info  member.Info  `cbor:"1,keyasint"`
	Loads []ServerLoad `cbor:"2,keyasint,omitempty"`
}

// Reserve asks a steward for a place at a worker; see route.Ask.
type Reserve struct {
	Worker    string        `cbor:"1,keyasint"`
	RequestID string        `cbor:"2,keyasint"`
	Attempt   int           `cbor:"3,keyasint,omitempty"`
	Pieces    int           `cbor:"5,keyasint,omitempty"`
	TTL       time.Duration `cbor:"6,keyasint"`
	LandIn    time.Duration `cbor:"7,keyasint,omitempty"`
	HoldFor   time.Duration `cbor:"8,keyasint,omitempty"`
	Headroom  int           `cbor:"9,keyasint,omitempty"`
	Tokens    int           `cbor:"10,keyasint,omitempty"`
	MostAhead int           `cbor:"11,keyasint,omitempty"`
}

// Reserved answers Reserve; an empty Refused is a promise.
type Reserved struct {
	Refused reason.Reason `cbor:"1,keyasint,omitempty"`
	Free    int           `cbor:"2,keyasint,omitempty"`
	Ahead   int           `cbor:"3,keyasint,omitempty"`
}

// Release gives reserved memory back.
type Release struct {
	Worker    string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Attempt   int    `cbor:"3,keyasint"`
}

// Intent tells a witness that the home is about to send an operation.
type Intent struct {
	Operation string `cbor:"1,keyasint"`
}

// IntentAnswer acknowledges an intent, or refuses it with a reason.
type IntentAnswer struct {
	Refused reason.Reason `cbor:"1,keyasint,omitempty"`
}

// Settle tells a witness the outcome of an operation.
type Settle struct {
	Operation string           `cbor:"1,keyasint"`
	Status    operation.Status `cbor:"2,keyasint"`
}

// AskOperation asks a home or a witness what became of an operation.
type AskOperation struct {
	Operation string `cbor:"1,keyasint"`
}

// OperationAnswer answers AskOperation.
type OperationAnswer struct {
	Status operation.Status `cbor:"1,keyasint"`
}

// AskTrace asks for the record of a request, as JSON.
type AskTrace struct {
	RequestID string `cbor:"1,keyasint"`
}

// TraceAnswer answers AskTrace; empty when the record is not kept.
type TraceAnswer struct {
	JSON []byte `cbor:"1,keyasint,omitempty"`
}

// AskRecords asks for log records from an offset on.
type AskRecords struct {
	From uint64 `cbor:"1,keyasint"`
}

// Records answers AskRecords. When the records asked for are no longer kept,
// Snapshot holds a whole table and its fold state instead.
type Records struct {
	Next    uint64   `cbor:"1,keyasint"`
	Records [][]byte `cbor:"2,keyasint,omitempty"`
	// First is the offset of the first of Records.
	First    uint64 `cbor:"3,keyasint,omitempty"`
	Snapshot []byte `cbor:"4,keyasint,omitempty"`
}

// AskHeard asks when the receiver last heard a member.
type AskHeard struct {
	Member operation.Member `cbor:"1,keyasint"`
}

// Heard answers AskHeard.
type Heard struct {
	Known   bool          `cbor:"1,keyasint,omitempty"`
	Silence time.Duration `cbor:"2,keyasint,omitempty"`
}

// Claim names an attempt that an engine holds.
type Claim struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   int    `cbor:"2,keyasint"`
}

// AskClaims asks a home which attempts it still works on.
type AskClaims struct {
	Home   operation.Member `cbor:"1,keyasint"`
	Claims []Claim          `cbor:"2,keyasint"`
}

// Claims answers AskClaims.
type Claims struct {
	// Home is who answers: a later run of the home knows nothing.
	Home operation.Member `cbor:"1,keyasint"`
	// Abandoned are the attempts that have ended.
	Abandoned []Claim `cbor:"2,keyasint,omitempty"`
}

// Message is one message; exactly one field is set.
type Message struct {
	Heartbeat       *Heartbeat       `cbor:"1,keyasint,omitempty"`
	Reserve         *Reserve         `cbor:"2,keyasint,omitempty"`
	Reserved        *Reserved        `cbor:"3,keyasint,omitempty"`
	Release         *Release         `cbor:"4,keyasint,omitempty"`
	Intent          *Intent          `cbor:"5,keyasint,omitempty"`
	IntentAnswer    *IntentAnswer    `cbor:"6,keyasint,omitempty"`
	Settle          *Settle          `cbor:"7,keyasint,omitempty"`
	AskOperation    *AskOperation    `cbor:"8,keyasint,omitempty"`
	OperationAnswer *OperationAnswer `cbor:"9,keyasint,omitempty"`
	AskTrace        *AskTrace        `cbor:"10,keyasint,omitempty"`
	TraceAnswer     *TraceAnswer     `cbor:"11,keyasint,omitempty"`
	AskRecords      *AskRecords      `cbor:"12,keyasint,omitempty"`
	Records         *Records         `cbor:"13,keyasint,omitempty"`
	AskHeard        *AskHeard        `cbor:"14,keyasint,omitempty"`
	Heard           *Heard           `cbor:"15,keyasint,omitempty"`
	AskClaims       *AskClaims       `cbor:"16,keyasint,omitempty"`
	Claims          *Claims          `cbor:"17,keyasint,omitempty"`
}

// Handler answers messages from siblings. A nil answer means that the message
// wants none, or that it was not understood.
type Handler func(ctx context.Context, message *Message) *Message

// ErrUnreached means that a sibling gave no answer. Whether it received the
// question is not known.
var ErrUnreached = errors.New("sibling gave no answer")

// Transport carries messages to siblings by address, "ip:port".
type Transport interface {
	// Call asks a question and waits for its answer.
	Call(ctx context.Context, address string, question *Message) (*Message, error)
	// Send sends a message that may be lost and has no answer.
	Send(address string, message *Message)
	// Serve hands arriving messages to handler until ctx ends.
	Serve(ctx context.Context, handler Handler) error
	Close() error
}

// Encode writes a message as CBOR.
func Encode(message *Message) ([]byte, error) { return cbor.Marshal(message) }

// Decode reads a message from CBOR.
func Decode(data []byte) (*Message, error) {
	message := new(Message)
	if err := cbor.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode sibling message")
	}
	return message, nil
}
