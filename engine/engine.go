// Package engine is the client of model engines: prefill, KV import, decode,
// cancel and load reports. The daemon uses HTTP as the implementation of
// Client, and tests use a fake.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of calls to an engine. Callers compare them with errors.Is.
var (
	// ErrStale means that the engine refused an order because of its fencing
	// token.
	ErrStale = errors.New("engine refused a stale fencing token")
	// ErrUnreachable means that no byte of the order reached the engine.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrRefused means that the engine answered that it did not accept the
	// order.
	ErrRefused = errors.New("engine refused the order")
	// ErrNoMemory means that the engine has too few free memory pieces (units of
	// KV cache memory, 2,000 tokens).
	ErrNoMemory = errors.New("engine has no free memory")
	// ErrExpired means that the engine no longer has the prefill result or the
	// KV handle.
	ErrExpired = errors.New("prefill result expired")
	// ErrBroken means that the engine or its connection failed after the
	// order was sent; what the engine did is not known.
	ErrBroken = errors.New("engine connection broken")
)

// Attempt identifies one attempt (one try of a request) at an engine.
type Attempt struct {
	RequestID string `json:"request_id"`
	Number    int    `json:"attempt"`
	// Home is the home (the instance that the caller is connected to) with its
	// incarnation, "name.incarnation". A steward (the instance that grants
	// reservations at an engine) cancels the attempts of a dead incarnation.
	Home string `json:"home"`
}

// PrefillOrder asks a prefill engine to prefill a prompt.
type PrefillOrder struct {
	Attempt
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
}

// PrefillResult identifies a KV cache that waits to be exported.
type PrefillResult struct {
	Handle       string `json:"handle"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	// WindowMillis is the time for which the result is kept, in milliseconds.
	WindowMillis int64 `json:"window_ms"`
}

// ImportOrder asks a decode engine to fetch a KV cache from a prefill engine.
type ImportOrder struct {
	Attempt
	Source string `json:"source"`
	Handle string `json:"handle"`
	// Pieces is the memory to reserve for prompt and answer, in memory pieces.
	Pieces int `json:"pieces"`
}

// DecodeOrder asks a decode engine to generate tokens from an imported KV
// cache. Generation starts at token position From. A broken stream is resumed
// at the first position that was not delivered.
type DecodeOrder struct {
	Attempt
	From      int `json:"from"`
	MaxTokens int `json:"max_tokens"`
	Priority  int `json:"priority"`
}

// Token is one generated token. Position counts from 0.
type Token struct {
	RequestID string `json:"request_id"`
	Number    int    `json:"attempt"`
	Position  int    `json:"position"`
	Text      string `json:"text"`
	// Last is set for the final token of the answer.
	Last bool `json:"last,omitempty"`
}

// Stream returns the tokens of one decode.
type Stream interface {
	// Next waits for the next token. It returns io.EOF after the last token
	// and ErrBroken when the stream ends before that.
	Next() (Token, error)
	// Close closes the connection. It does not cancel the decode.
	Close()
}

// Held is an attempt of a request for which an engine holds memory.
type Held struct {
	Attempt
	Pieces int `json:"pieces"`
}

// Load is an engine's report of its load. It is received with a delay.
type Load struct {
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens counts prompt tokens that wait for prefill.
	WaitingTokens int `json:"waiting_tokens"`
	// Pieces and FreePieces count memory pieces.
	Pieces     int `json:"pieces"`
	FreePieces int `json:"free_pieces"`
	// Draining is set once the engine is draining.
	Draining bool `json:"leaving"`
	// Weights is the name of the loaded version, and Loading the name of the
	// version that is being loaded.
	Weights string `json:"weights,omitempty"`
	Loading string `json:"loading,omitempty"`
	Held    []Held `json:"held,omitempty"`
}

// CacheEvent reports that a prefix was added to an engine's prefix cache or
// removed from it.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Removed  bool   `json:"removed,omitempty"`
}

// Client sends orders to model engines by address ("ip:port").
type Client interface {
	Prefill(ctx context.Context, address string, order PrefillOrder) (PrefillResult, error)
	Import(ctx context.Context, address string, order ImportOrder) error
	Decode(ctx context.Context, address string, order DecodeOrder) (Stream, error)
	// Cancel ends the attempt and releases its memory. It is idempotent.
	Cancel(ctx context.Context, address string, attempt Attempt) error
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Order makes the engine load weights. Only the instance that holds the lease
	// on orders to engines calls it.
	Order(ctx context.Context, address string, order WeightsOrder) error
}

// WeightsOrder asks an engine to load a version of its model's weights.
type WeightsOrder struct {
	Weights string `json:"weights"`
	// Token is the fencing token of the lease. Some engines refuse an order
	// with a lower token than the highest one they received. Others ignore it.
	Token uint64 `json:"token"`
	// BytesPerSecond is the maximum rate of the engine's fetch.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// PieceTokens is the size of one memory piece, in tokens. A memory piece is the
// unit of KV cache memory. The service requirements say that "memory is allocated
// in pieces of about 2,000".
const PieceTokens = 2000

// bytesPerToken is the usual average number of bytes per token of text. Engines report
// exact counts.
const bytesPerToken = 4

// EstimateTokens estimates the token count of a prompt from its size in bytes.
func EstimateTokens(promptBytes int) int {
	return (promptBytes + bytesPerToken - 1) / bytesPerToken
}

// PiecesFor returns the number of memory pieces for a prompt and its answer.
func PiecesFor(promptTokens, maxTokens int) int {
	return (promptTokens + maxTokens + PieceTokens - 1) / PieceTokens
}

// CancelTimeout limits one try to send a cancel order.
const CancelTimeout = 2 * time.Second
