package request

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
)

// Checks over random event sequences that "not run" is reported only when every
// order that was sent was disclaimed, and "done" only after the answer was
// delivered. Final states have no transitions (TestLifeTransitions), so a final
// outcome never changes.
func TestLifeOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		life := Lifecycle{}
		unresolved := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			events := transitions[life.State()]
			if len(events) == 0 {
				break
			}
			choices := make([]Event, 0, len(events))
			for event := Admit; event <= CallerDisconnect; event++ {
				if _, ok := events[event]; ok {
					choices = append(choices, event)
				}
			}
			event := rapid.SampledFrom(choices).Draw(t, "event")
			life.Apply(event)
			switch event {
			case Send:
				unresolved++
			case Disclaim:
				unresolved--
			}
			if life.Outcome() == reason.NotRun && unresolved > 0 {
				t.Fatal("outcome is not run although an order may have run")
			}
			if life.Outcome() == reason.Done && life.State() != Delivered {
				t.Fatal("outcome is done before the answer was delivered")
			}
		}
	})
}

func TestLifeTransitions(t *testing.T) {
	Convey("Final states have no transitions, and every other state allows CallerDisconnect and GiveUp", t, func() {
		for state := Received; state <= CallerDisconnected; state++ {
			final := state == Delivered || state == Ended || state == CallerDisconnected
			So(len(transitions[state]) == 0, ShouldEqual, final)
			if !final {
				So(transitions[state][CallerDisconnect], ShouldEqual, CallerDisconnected)
				So(transitions[state][GiveUp], ShouldEqual, Ended)
			}
		}
	})
	Convey("An event that the state does not allow panics", t, func() {
		So(func() { (&Lifecycle{}).Apply(Deliver) }, ShouldPanic)
	})
}

type recordingSink struct{ positions []int }

func (l *recordingSink) Token(token engine.Token) error {
	l.positions = append(l.positions, token.Position)
	return nil
}

// Whatever tokens a stream contains, the caller receives positions 0, 1, 2 and
// so on of its own request and attempt, each exactly once.
func TestCursorDeliversEachPositionOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sink := &recordingSink{}
		c := cursor{requestID: "mine", sink: sink}
		for range rapid.IntRange(0, 60).Draw(t, "tokens") {
			token := engine.Token{
				RequestID: rapid.SampledFrom([]string{"mine", "mine", "mine", "other"}).Draw(t, "request"),
				Number:    rapid.IntRange(0, 1).Draw(t, "attempt"),
				Position:  c.next + rapid.IntRange(-2, 1).Draw(t, "offset"),
			}
			before := len(sink.positions)
			_, err := c.offer(1, token)
			delivered := len(sink.positions) > before
			expected := token.RequestID == "mine" && token.Number == 1 && token.Position == before
			if delivered != expected {
				t.Fatalf("token %+v: delivered %v at position %d (error %v)", token, delivered, before, err)
			}
		}
		for i, position := range sink.positions {
			if i != position {
				t.Fatalf("position %d was delivered at index %d", position, i)
			}
		}
	})
}
