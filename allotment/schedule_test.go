package allotment

import (
	"testing"
	"time"
)

// Callers that are refused together must come back one after the other as tokens become available.
// One that cannot be served in its time gets its longest delay and must not delay others, and a
// return that never comes must not block later callers.
func TestReturnsAreScheduled(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(DefaultConfig(), func() float64 { return 0 })
	l.SetBounds(Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 100})
	l.SetInstances(2)
	l.SetLimits(map[string]Limit{testTeam: {Rate: 100, Burst: 100}}, now)
	stream := func(cost float64, longest time.Duration, at time.Time) Decision {
		return l.Admit(Request{Team: testTeam, Cost: cost, Class: Class{Stream: true}, MaxWait: longest}, at)
	}
	now = now.Add(time.Second)
	if made := stream(300, 0, now); !made.Admitted || made.Source != SourceStart || !made.First {
		t.Fatalf("%+v", made)
	}
	first := stream(50, 10*time.Second, now)
	if first.Admitted || !first.Scheduled || first.Wait <= 0 || first.First {
		t.Fatalf("%+v", first)
	}
	// Half of the rate is this instance's part, so a cost of 50 takes a second.
	for i := range 3 {
		longest := stream(50, 500*time.Millisecond, now)
		if longest.Scheduled || longest.Wait != 500*time.Millisecond {
			t.Errorf("%d: %+v", i, longest)
		}
	}
	if next := stream(50, 10*time.Second, now); !next.Scheduled || next.Wait != first.Wait+time.Second {
		t.Errorf("%+v after %+v", next, first)
	}
	// Neither came back.
	if made := stream(50, 0, now.Add(first.Wait+3*time.Second)); !made.Admitted {
		t.Errorf("%+v", made)
	}
}

// Guards against delays that overflow at a low rate and become negative, so that refused callers come back at once.
func TestDelaysAtALowRateDoNotOverflow(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, rate := range []float64{1e-3, 1e-6, 1e-12} {
		l := New(DefaultConfig(), func() float64 { return 0.5 })
		l.SetBounds(Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 100})
		l.SetInstances(1400)
		l.SetLimits(map[string]Limit{testTeam: {Rate: rate, Burst: 1e9}}, now)
		made := l.Admit(Request{Team: testTeam, Cost: 1e6, Class: Class{Stream: true}, MaxWait: 3 * time.Second}, now.Add(time.Minute))
		if made.Admitted || made.Scheduled || made.Wait != 3*time.Second {
			t.Errorf("rate %g: %+v", rate, made)
		}
	}
}

// The balance of a hub includes what other instances had at their disposal when this one started. If
// the instance credited itself that again, each member of a hub would spend it once more.
func TestAdoptedBalanceEndsTheCreditOfTheStart(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(DefaultConfig(), func() float64 { return 0.5 })
	l.SetBounds(Bounds{Window: window, Overage: overage, Slack: tolerance})
	l.SetShare(1.0/78, now)
	l.SetLimits(map[string]Limit{testTeam: {Rate: largestRate, Burst: largestRate}}, now)
	now = now.Add(time.Second)
	l.ApplyHubUpdate(HubUpdate{Levels: []Balance{{Team: IDOf(testTeam), Units: -30_000}}, Known: now, Due: now.Add(time.Second)}, now)
	l.SetShare(1, now)
	if got := l.Admit(Request{Team: testTeam, Cost: 1, Class: Class{Stream: true}}, now); got.Balance > -30_000 {
		t.Errorf("balance %.0f, the hub's was -30000", got.Balance)
	}
}
