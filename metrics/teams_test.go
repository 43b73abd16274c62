package metrics

import (
	"fmt"
	"sync"
	"testing"

	"github.com/mastwheel/mastwheel/reason"
)

// The number of series is bounded. Without the bound 15,000 teams would each have
// their own.
func TestTeamSeriesAreBounded(t *testing.T) {
	s := New()
	var workers sync.WaitGroup
	for part := range 4 {
		workers.Go(func() {
			for team := part; team < 15_000; team += 4 {
				s.TeamEnded(fmt.Sprint("t", team), reason.NotRun, reason.OverAllotment)
			}
		})
	}
	workers.Wait()
	families, err := s.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "mastwheel_team_requests_total" {
			continue
		}
		if got := len(family.GetMetric()); got != maxTeamSeries+1 {
			t.Errorf("%d series of teams", got)
		}
		total := 0.0
		for _, one := range family.GetMetric() {
			total += one.GetCounter().GetValue()
		}
		if total != 15_000 {
			t.Errorf("%v requests counted", total)
		}
	}
}
