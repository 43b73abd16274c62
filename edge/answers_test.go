package edge

import (
	"testing"
	"time"
)

func TestStoreRecoveryIsReportedOnlyAfterAnOutage(t *testing.T) {
	start := time.Unix(1_000, 0)
	for _, one := range []struct {
		name      string
		at        []time.Duration
		recovered []bool
	}{
		{"the first answer", []time.Duration{0}, []bool{false}},
		{"regular answers", []time.Duration{0, unavailableAfter - 1}, []bool{false, false}},
		{"after an outage", []time.Duration{0, unavailableAfter}, []bool{false, true}},
		{"once for each outage", []time.Duration{0, 5 * time.Second, 5900 * time.Millisecond}, []bool{false, true, false}},
		{"an older answer, reported late", []time.Duration{5 * time.Second, 0}, []bool{false, false}},
	} {
		var known storeContact
		for i, at := range one.at {
			if got := known.observe(storeAnswer{start.Add(at), start.Add(at)}, true); got != one.recovered[i] {
				t.Errorf("%s, answer %d: recovered %t", one.name, i, got)
			}
		}
	}
}

func TestAnAnswerWithUnknownUpdatesDoesNotConfirmTheList(t *testing.T) {
	start := time.Unix(1_000, 0)
	var known storeContact
	known.observe(storeAnswer{start, start}, true)
	known.observe(storeAnswer{start.Add(time.Second), start.Add(time.Second)}, false)
	if got := known.confirmed(); !got.Equal(start) {
		t.Errorf("confirmed at %v", got)
	}
	if got := known.latest(); !got.Equal(start.Add(time.Second)) {
		t.Errorf("latest answer at %v", got)
	}
	if age := known.age(start.Add(time.Second)); age == nil || *age != time.Second {
		t.Errorf("age reported to siblings is %v", age)
	}
}

func TestAnAnswerConfirmsNothingAfterItsRequest(t *testing.T) {
	start := time.Unix(1_000, 0)
	var known storeContact
	known.observe(storeAnswer{start.Add(time.Second), start}, true)
	known.observe(storeAnswer{at: start.Add(2 * time.Second)}, true)
	if confirmed, certain := known.confirmed(), known.certain(); !confirmed.Equal(start) || !certain.Equal(start) {
		t.Errorf("confirmed at %v, certain at %v", confirmed, certain)
	}
}
