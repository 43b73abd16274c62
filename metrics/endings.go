package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwheel/mastwheel/reason"
)

func newEndings() *prometheus.CounterVec {
	endings := counters("requests_without_whole_answer_total", "Requests that may have run and got no whole answer of a server, by what ended them and by whether the caller got a status, or a part of the answer and a closed connection.", "by", "caller_got")
	for _, by := range reason.Endings() {
		for _, cut := range []bool{false, true} {
			endings.WithLabelValues(string(by), callerGot(cut))
		}
	}
	return endings
}

func callerGot(cut bool) string {
	if cut {
		return "part"
	}
	return "status"
}

// EndedWithoutAnswer counts a request that got no whole answer of a server. cut is set if its caller got a part of it.
func (s *Set) EndedWithoutAnswer(by reason.Ending, cut bool) {
	s.endings.WithLabelValues(string(by), callerGot(cut)).Inc()
}
