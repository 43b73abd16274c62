package request

// Protections switches the mechanisms that keep the promises. Each can be
// switched off in a trial, to see the violation that it prevents.
type Protections struct {
	// Witness has an intent acknowledged before a call with an operation id
	// is sent. Without it, "not run" may be told of a call that ran.
	Witness bool
	// Once keeps a call that may have run from being sent again. Without it, a
	// non-idempotent call may run twice.
	Once bool
	// Match lets a token through only if it belongs to the request, the
	// attempt and the position in hand. Without it, answers are mixed up.
	Match bool
	// Cancel releases what a departed caller holds, until that is confirmed.
	// Without it, decode memory stays held.
	Cancel bool
	// Orphans lets stewards cancel what dead homes left behind. Without it,
	// decode memory stays held.
	Orphans bool
	// Leaving keeps new work from servers that are leaving.
	Leaving bool
	// Drain makes a planned stop wait for its requests. Without it, they are
	// cut off.
	Drain bool
}

// AllProtections returns every protection switched on.
func AllProtections() Protections {
	return Protections{
		Witness: true, Once: true, Match: true, Cancel: true, Orphans: true, Leaving: true, Drain: true,
	}
}
