package metrics

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwheel/mastwheel/reason"
)

const (
	// teamsCounted is how many teams have series of their own; the requests of further ones
	// are counted together. Each has a series for each outcome and for each reason for which
	// its requests were refused: with 15,000 teams they would be some 100,000 an instance.
	teamsCounted = 64
	// otherTeams stands for all further teams.
	otherTeams = "(others)"
)

// teamCounters counts requests by team, of so many teams as have asked first.
type teamCounters struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// named holds the teams that have series of their own; count is how many.
	named sync.Map
	count atomic.Int64
}

func newTeamCounters() *teamCounters {
	return &teamCounters{
		requests: counters("team_requests_total", "Requests that ended, by team and outcome.", labelTeam, labelOutcome),
		refusals: counters("team_refusals_total", "Requests that ended other than done, by team and reason.", labelTeam, labelReason),
	}
}

// label is the name under which a team is counted.
func (t *teamCounters) label(team string) string {
	if _, known := t.named.Load(team); known {
		return team
	}
	if t.count.Load() >= teamsCounted {
		return otherTeams
	}
	if _, known := t.named.LoadOrStore(team, true); !known && t.count.Add(1) > teamsCounted {
		t.named.Delete(team)
		return otherTeams
	}
	return team
}

// TeamEnded counts a request of a team that ended.
func (s *Set) TeamEnded(team string, outcome reason.Outcome, why reason.Reason) {
	label := s.teams.label(team)
	s.teams.requests.WithLabelValues(label, string(outcome)).Inc()
	if outcome != reason.Done {
		s.teams.refusals.WithLabelValues(label, string(why)).Inc()
	}
}
