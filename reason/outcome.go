// Package reason holds the values that say how a request ended and why: its
// outcome, and the reason for every refusal, retry and loss. Each reason is
// counted under its own label, and each is explained to operators.
package reason

// Outcome says what is known about a request that has ended.
type Outcome string

const (
	// Done means that the whole answer was handed to the caller's connection.
	Done Outcome = "done"
	// NotRun means that no backend server ran any part of the request and
	// that none ever will. The caller may safely send it again.
	NotRun Outcome = "not_run"
	// Unknown means that a backend server may have run the request. Nobody
	// may turn Unknown into NotRun, and mastwheel never retries it by itself.
	Unknown Outcome = "unknown"
)
