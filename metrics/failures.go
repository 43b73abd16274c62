package metrics

// ServerFailure is how a call failed at a backend server without an answer.
type ServerFailure string

// Ways in which a call fails.
const (
	// FailedConnect: no connection could be opened.
	FailedConnect ServerFailure = "connect"
	// FailedBroken: the connection broke off, or no answer came in time.
	FailedBroken ServerFailure = "broken"
)

// ServerFailed counts a call that got no answer from a server of the service.
func (s *Set) ServerFailed(service string, how ServerFailure) {
	s.serverFailures.WithLabelValues(service, string(how)).Inc()
}
