// Package reason defines how a request ended and why: its outcome, and the
// reason of each refusal, retry and loss. Each reason is a value of the label
// "reason" in the metrics and has an explanation for operators.
package reason

// Outcome is what is known about a request that has ended.
type Outcome string

const (
	// Done means that the whole answer was written to the caller's connection.
	Done Outcome = "done"
	// NotRun means that no backend server ran any part of the request and
	// that none will. The caller may safely send it again.
	NotRun Outcome = "not_run"
	// Unknown means that a backend server may have run the request. Unknown
	// must never be changed to NotRun, and mastwheel never retries the request
	// by itself.
	Unknown Outcome = "unknown"
)
