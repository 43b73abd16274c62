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

// HandedOver counts a request that was handed over to a sibling, by whether the sibling took it.
func (s *Set) HandedOver(taken bool) {
	outcome := "declined"
	if taken {
		outcome = "taken"
	}
	s.handOvers.WithLabelValues(outcome).Inc()
}

// ServerFailed counts a call that got no answer from a server of the service.
func (s *Set) ServerFailed(service string, how ServerFailure) {
	s.serverFailures.WithLabelValues(service, string(how)).Inc()
}
