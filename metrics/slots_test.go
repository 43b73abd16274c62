package metrics

import (
	"testing"
	"time"
)

// The number of series is bounded. Without the bound each priority that operators ever chose would have its own.
func TestPrioritySeriesAreBounded(t *testing.T) {
	s := New()
	for priority := range 1000 {
		s.SlotWaitBegan("desk", priority)
		s.SlotWaitEnded("desk", priority, time.Millisecond)
	}
	families, err := s.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		switch family.GetName() {
		case "mastwheel_slot_queue_calls", "mastwheel_slot_wait_seconds":
			if got := len(family.GetMetric()); got != maxPrioritySeries+1 {
				t.Errorf("%s: %d series", family.GetName(), got)
			}
		}
		for _, one := range family.GetMetric() {
			if family.GetName() == "mastwheel_slot_queue_calls" && one.GetGauge().GetValue() != 0 {
				t.Errorf("%v calls wait", one.GetGauge().GetValue())
			}
		}
	}
}
