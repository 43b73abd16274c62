package metrics

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastwheel/mastwheel/reason"
)

const (
	// maxTeamSeries is the number of teams with their own series. The requests of all
	// other teams are counted together. A team has a series for each outcome and for
	// each reason of its refusals, so 15,000 teams would have some 100,000 series on
	// each instance.
	maxTeamSeries = 64
	// otherTeams is the label value of all other teams.
	otherTeams = "(others)"
)

// teamCounters counts requests by team. The first teams that send requests have
// their own series.
type teamCounters struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// named holds the teams with their own series. count is their number.
	named sync.Map
	count atomic.Int64
}

func newTeamCounters() *teamCounters {
	return &teamCounters{
		requests: counters("team_requests_total", "Requests that ended, by team and outcome.", labelTeam, labelOutcome),
		refusals: counters("team_refusals_total", "Requests that ended other than done, by team and reason.", labelTeam, labelReason),
	}
}

// label returns the label value under which a team is counted.
func (t *teamCounters) label(team string) string {
	if _, known := t.named.Load(team); known {
		return team
	}
	if t.count.Load() >= maxTeamSeries {
		return otherTeams
	}
	if _, known := t.named.LoadOrStore(team, true); !known && t.count.Add(1) > maxTeamSeries {
		t.named.Delete(team)
		return otherTeams
	}
	return team
}

// TeamEnded counts a request that ended, by its team.
func (s *Set) TeamEnded(team string, outcome reason.Outcome, why reason.Reason) {
	label := s.teams.label(team)
	s.teams.requests.WithLabelValues(label, string(outcome)).Inc()
	if outcome != reason.Done {
		s.teams.refusals.WithLabelValues(label, string(why)).Inc()
	}
}
