package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwheel/mastwheel/allotment"
)

const (
	labelClass  = "class"
	labelReturn = "return"
	labelSource = "source"
)

// Values of labelReturn: the caller was given the time at which tokens will be available, or the
// longest delay because there will be none in its time.
const (
	returnScheduled = "scheduled"
	returnLongest   = "longest"
)

// allotmentCounters counts decisions on the allotments of teams.
type allotmentCounters struct {
	refusals *prometheus.CounterVec
	returns  *prometheus.CounterVec
	starts   *prometheus.CounterVec
}

func newAllotmentCounters() *allotmentCounters {
	return &allotmentCounters{
		refusals: counters("allotment_refusals_total", "Requests beyond their team's allotment, by class.", labelClass),
		returns:  counters("allotment_returns_total", "Delays given to callers beyond their team's allotment, by whether tokens will be available after them.", labelReturn),
		starts:   counters("allotment_starts_total", "First decisions on a team since the instance started, by the source of the balance.", labelSource),
	}
}

// AllotmentDecided counts a decision on a team's allotment.
func (s *Set) AllotmentDecided(made allotment.Decision) {
	if made.First {
		s.allotments.starts.WithLabelValues(string(made.Source)).Inc()
	}
	if made.Admitted {
		return
	}
	s.allotments.refusals.WithLabelValues(made.Class.String()).Inc()
	switch {
	case made.Scheduled:
		s.allotments.returns.WithLabelValues(returnScheduled).Inc()
	case made.Scheduling:
		s.allotments.returns.WithLabelValues(returnLongest).Inc()
	}
}
