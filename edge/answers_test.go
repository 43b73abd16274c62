package edge

import (
	"testing"
	"time"
)

func TestTheStoreReturnsOnlyAfterItWasAway(t *testing.T) {
	start := time.Unix(1_000, 0)
	for _, one := range []struct {
		name     string
		at       []time.Duration
		returned []bool
	}{
		{"the first answer", []time.Duration{0}, []bool{false}},
		{"answers as usual", []time.Duration{0, awayAfter - 1}, []bool{false, false}},
		{"after it was away", []time.Duration{0, awayAfter}, []bool{false, true}},
		{"once for each time", []time.Duration{0, 5 * time.Second, 5900 * time.Millisecond}, []bool{false, true, false}},
		{"an older answer, told late", []time.Duration{5 * time.Second, 0}, []bool{false, false}},
	} {
		var known answers
		for i, at := range one.at {
			if got := known.heard(start.Add(at), true); got != one.returned[i] {
				t.Errorf("%s, answer %d: returned %t", one.name, i, got)
			}
		}
	}
}

func TestAnAnswerWhoseUpdatesAreNotKnownMakesNoListCurrent(t *testing.T) {
	start := time.Unix(1_000, 0)
	var known answers
	known.heard(start, true)
	known.heard(start.Add(time.Second), false)
	if got := known.confirmed(); !got.Equal(start) {
		t.Errorf("confirmed at %v", got)
	}
	if got := known.latest(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("latest answer at %v", got)
	}
	if age := known.age(start.Add(time.Second)); age == nil || *age != time.Second {
		t.Errorf("siblings are told %v", age)
	}
}
