package request

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
)

// However a life goes, "not run" is told only when every order sent was
// disclaimed, and an outcome that has become final never changes.
func TestLifeOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		life := Life{}
		open := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			events := transitions[life.State()]
			if len(events) == 0 {
				break
			}
			choices := make([]Event, 0, len(events))
			for event := Admit; event <= Depart; event++ {
				if _, ok := events[event]; ok {
					choices = append(choices, event)
				}
			}
			event := rapid.SampledFrom(choices).Draw(t, "event")
			life.Step(event)
			switch event {
			case Send:
				open++
			case Disclaim:
				open--
			}
			if life.Outcome() == reason.NotRun && open > 0 {
				t.Fatal("told not run while an order may have run")
			}
			if life.Outcome() == reason.Done && life.State() != Delivered {
				t.Fatal("told done before the answer was delivered")
			}
		}
	})
}

func TestLifeTable(t *testing.T) {
	Convey("Final states have no way out, and every other can be departed from", t, func() {
		for state := Received; state <= Departed; state++ {
			final := state == Delivered || state == Ended || state == Departed
			So(len(transitions[state]) == 0, ShouldEqual, final)
			if !final {
				So(transitions[state][Depart], ShouldEqual, Departed)
				So(transitions[state][GiveUp], ShouldEqual, Ended)
			}
		}
	})
	Convey("An event out of place is a broken invariant", t, func() {
		So(func() { (&Life{}).Step(Deliver) }, ShouldPanic)
	})
}

type listSink struct{ positions []int }

func (l *listSink) Token(token engine.Token) error {
	l.positions = append(l.positions, token.Position)
	return nil
}

// Whatever a stream carries, the caller gets positions 0, 1, 2 … of its own
// request and attempt, each once.
func TestCursor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sink := &listSink{}
		c := cursor{requestID: "mine", sink: sink}
		for range rapid.IntRange(0, 60).Draw(t, "tokens") {
			token := engine.Token{
				RequestID: rapid.SampledFrom([]string{"mine", "mine", "mine", "other"}).Draw(t, "request"),
				Number:    rapid.IntRange(0, 1).Draw(t, "attempt"),
				Position:  c.next + rapid.IntRange(-2, 1).Draw(t, "offset"),
			}
			before := len(sink.positions)
			_, err := c.offer(1, token)
			passed := len(sink.positions) > before
			right := token.RequestID == "mine" && token.Number == 1 && token.Position == before
			if passed != right {
				t.Fatalf("token %+v passed %v at %d (%v)", token, passed, before, err)
			}
		}
		for i, position := range sink.positions {
			if i != position {
				t.Fatalf("position %d came in place %d", position, i)
			}
		}
	})
}
