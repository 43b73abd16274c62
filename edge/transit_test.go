package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/operation"
)

// TestMessagesAreNotDatedAfterTheyWereSent draws delays in both directions and clocks that drift apart.
func TestMessagesAreNotDatedAfterTheyWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known, now := newTransit(), time.Unix(1_000, 0)
		began := now.Add(-time.Hour)
		rate := 1 + rapid.Float64Range(-maxDrift, maxDrift).Draw(t, "drift")
		uptime := func(at time.Time) time.Duration { return time.Duration(rate * float64(at.Sub(began))) }
		delay := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "delay"))
		})
		for range 20 {
			asked := now
			sent := asked.Add(delay.Draw(t, "to"))
			handled := sent.Add(delay.Draw(t, "from"))
			if rapid.Bool().Draw(t, "echoes") {
				known.Echoed("b", 1, uptime(sent), asked, handled)
			}
			// An echo that waited is not yet lowered for the time that it waited.
			const rounding = time.Duration(maxDrift*float64(10*time.Second)) + time.Millisecond
			if at, ok := known.SentAt("b", 1, uptime(sent), handled); ok && at.After(sent.Add(rounding)) {
				t.Fatalf("a message is dated %v after it was sent", at.Sub(sent))
			}
			now = handled.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause")))
		}
	})
}

func TestMessagesOfAnotherRunAreNotDatedByAnEarlierOne(t *testing.T) {
	known, now := newTransit(), time.Unix(1_000, 0)
	known.Echoed("b", 2, time.Hour, now, now)
	if at, ok := known.SentAt("b", 2, time.Hour, now.Add(time.Second)); !ok || at.After(now) {
		t.Errorf("%v, %t", at, ok)
	}
	for _, run := range []uint64{1, 3} {
		if at, ok := known.SentAt("b", operation.Incarnation(run), time.Hour, now); ok {
			t.Errorf("a message of run %d is dated %v", run, at)
		}
	}
}
