package metrics

import (
	"fmt"
	"sync"
	"testing"

	"github.com/mastwheel/mastwheel/reason"
)

// A table of 15,000 teams has no more series than one of some dozens.
func TestSeriesOfTeamsAreBounded(t *testing.T) {
	s := New()
	var all sync.WaitGroup
	for part := range 4 {
		all.Go(func() {
			for team := part; team < 15_000; team += 4 {
				s.TeamEnded(fmt.Sprint("t", team), reason.NotRun, reason.OverAllotment)
			}
		})
	}
	all.Wait()
	families, err := s.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "mastwheel_team_requests_total" {
			continue
		}
		if got := len(family.GetMetric()); got != teamsCounted+1 {
			t.Errorf("%d series", got)
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
