package backpressure

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
}
