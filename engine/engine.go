// Package engine talks to model engines: prefill, KV import, decode, cancel
// and load reports. Client is the interface; HTTP is the implementation that
// the daemon uses, and tests put a fake in its place.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that an engine answers with. Callers compare with errors.Is.
var (
	// ErrStale means that the engine refused an order for its fencing token.
	ErrStale = errors.New("engine refused a stale fencing token")
	// ErrUnreachable means that no byte of the order reached the engine.
	ErrUnreachable = errors.New("engine unreachable")
	// ErrRefused means that the engine answered that it did not take the order.
	ErrRefused = errors.New("engine refused the order")
	// ErrNoMemory means that the engine has too few free memory pieces.
	ErrNoMemory = errors.New("engine has no free memory")
	// ErrExpired means that the prefill result or the KV handle is gone.
	ErrExpired = errors.New("prefill result expired")
	// ErrBroken means that the engine or its connection failed after the
	// order was sent; what the engine did is not known.
	ErrBroken = errors.New("engine connection broken")
)

// Attempt identifies one attempt of one request at an engine.
type Attempt struct {
	RequestID string `json:"request_id"`
	Number    int    `json:"attempt"`
	// Home is the home instance with its incarnation, "name.incarnation".
	// A steward cancels what a dead incarnation left behind.
	Home string `json:"home"`
}

// PrefillOrder asks a prefill engine to read a prompt.
type PrefillOrder struct {
	Attempt
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Priority int    `json:"priority"`
}

// PrefillResult is the handle of a KV cache that waits to be exported.
type PrefillResult struct {
	Handle       string `json:"handle"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	// WindowMillis is how long the result survives, in milliseconds.
	WindowMillis int64 `json:"window_ms"`
}

// ImportOrder asks a decode engine to fetch a KV cache from a prefill engine.
type ImportOrder struct {
	Attempt
	Source string `json:"source"`
	Handle string `json:"handle"`
	// Pieces is the memory to hold, in pieces, for prompt and answer.
	Pieces int `json:"pieces"`
}

// DecodeOrder asks a decode engine to generate from an imported KV cache.
// Generation starts at token position From, so a broken stream is resumed
// with the first position that was not delivered.
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
	// Last is set on the final token of the answer.
	Last bool `json:"last,omitempty"`
}

// Stream yields the tokens of one decode.
type Stream interface {
	// Next blocks for the next token. It returns io.EOF after the last one
	// and ErrBroken when the stream ends early.
	Next() (Token, error)
	// Close releases the connection. It does not cancel the decode.
	Close()
}

// Held is one request whose memory an engine holds.
type Held struct {
	Attempt
	Pieces int `json:"pieces"`
}

// Load is an engine's report about itself. It reaches its reader with a lag.
type Load struct {
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// WaitingTokens counts prompt tokens not yet read by a prefill engine.
	WaitingTokens int `json:"waiting_tokens"`
	// Pieces and FreePieces count memory pieces.
	Pieces     int `json:"pieces"`
	FreePieces int `json:"free_pieces"`
	// Leaving is set once the engine is about to stop.
	Leaving bool `json:"leaving"`
	// Weights names the version that is loaded, and Loading the one that is
	// being loaded.
	Weights string `json:"weights,omitempty"`
	Loading string `json:"loading,omitempty"`
	Held    []Held `json:"held,omitempty"`
}

// CacheEvent says that a prefix entered or left an engine's prefix cache.
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
	// Cancel ends the attempt and frees its memory. It is idempotent.
	Cancel(ctx context.Context, address string, attempt Attempt) error
	Load(ctx context.Context, address string) (Load, error)
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Load weights, as the holder of the lease on orders.
	Order(ctx context.Context, address string, order WeightsOrder) error
}

// WeightsOrder asks an engine to load a version of its model's weights.
type WeightsOrder struct {
	Weights string `json:"weights"`
	// Token is the fencing token of the lease. Some engines refuse an order
	// with a lower one than they have seen; others ignore it.
	Token uint64 `json:"token"`
	// BytesPerSecond is the rate at which the engine may fetch.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// PieceTokens is the size of one memory piece, in tokens (source: the brief,
// "memory is allocated in pieces of about 2,000").
const PieceTokens = 2000

// bytesPerToken is the usual average for text; engines report exact counts.
const bytesPerToken = 4

// EstimateTokens estimates the token count of a prompt from its bytes.
func EstimateTokens(promptBytes int) int {
	return (promptBytes + bytesPerToken - 1) / bytesPerToken
}

// PiecesFor returns the memory pieces that a prompt and its answer need.
func PiecesFor(promptTokens, maxTokens int) int {
	return (promptTokens + maxTokens + PieceTokens - 1) / PieceTokens
}

// CancelTimeout bounds one try of a cancel order.
const CancelTimeout = 2 * time.Second
