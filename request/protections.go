package request

// Protections switches the mechanisms that enforce the guarantees. A trial
// switches one off to show the violation that it prevents.
type Protections struct {
	// Witness has the intent acknowledged by a witness (an instance in another zone)
	// before a call with an operation ID is sent. Without it, "not run" may be reported
	// for a call that ran.
	Witness bool
	// NoDuplicateCalls keeps a call that may have run from being sent again. Without it, a
	// non-idempotent call may run twice.
	NoDuplicateCalls bool
	// MatchTokens delivers a token only if it belongs to the current request and
	// attempt and has the next position. Without it, answers get mixed up.
	MatchTokens bool
	// Cancel cancels the work of a disconnected caller until the engine
	// confirms it. Without it, decode memory stays reserved.
	Cancel bool
	// CancelOrphans lets stewards (the instances that grant reservations at engines)
	// cancel the attempts of homes (the instances that the callers were connected to) that
	// have crashed. Without it, decode memory stays reserved.
	CancelOrphans bool
	// AvoidDraining keeps new work away from draining servers.
	AvoidDraining bool
	// Drain makes a planned stop wait for the requests in flight. Without it,
	// they are cut off.
	Drain bool
}

// AllProtections returns Protections with every protection on.
func AllProtections() Protections {
	return Protections{
		Witness: true, NoDuplicateCalls: true, MatchTokens: true, Cancel: true, CancelOrphans: true, AvoidDraining: true, Drain: true,
	}
}
