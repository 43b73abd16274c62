package instance_test

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/standin"
)

func TestSessionPlainDay(t *testing.T) {
	play(t, func(s *session) {
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
		s.ask(s.ctx, s.nodes["heredia-1"], prompt(300), 5, nil)
		s.ask(s.ctx, s.nodes["heredia-1"], prompt(90_000), 40, nil)
	})
}

// A caller leaves while its answer is streamed, and the replies to the first
// cancels are lost.
func TestSessionCallerLeaves(t *testing.T) {
	play(t, func(s *session) {
		ctx, leave := context.WithCancel(s.ctx)
		s.farm.Engine(decodeOne).Faults.LoseCancelReplies.Store(2)
		s.ask(ctx, s.nodes["sabana-1"], prompt(2400), 40, func(position int) {
			if position == 10 {
				leave()
			}
		})
		time.Sleep(500 * time.Millisecond)
		s.ledgers()
	})
}

// A caller leaves while its prompt is read.
func TestSessionCallerLeavesInPrefill(t *testing.T) {
	play(t, func(s *session) {
		ctx, leave := context.WithTimeout(s.ctx, 50*time.Millisecond)
		defer leave()
		s.ask(ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
	})
}

// A transfer hangs; the result is handed to the other engine in time.
func TestSessionTransferStalls(t *testing.T) {
	play(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.StallImports.Store(1)
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
	})
}

// A stream breaks and is taken up again at the right token.
func TestSessionStreamBreaks(t *testing.T) {
	play(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.BreakStreams.Store(1)
		s.farm.Engine(decodeOne).Faults.RepeatTokens.Store(2)
		s.farm.Engine(decodeOne).Faults.ForeignTokens.Store(2)
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
	})
}

// The decode engine crashes in the middle of an answer.
func TestSessionEngineCrashes(t *testing.T) {
	play(t, func(s *session) {
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, func(position int) {
			if position == 10 {
				s.farm.Engine(decodeOne).Crash()
			}
		})
	})
}

// An engine that says it is leaving gets no new work, though the table still
// has its row.
func TestSessionEngineLeaves(t *testing.T) {
	play(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.Leaving.Store(true)
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 10, nil)
		time.Sleep(2 * time.Second)
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 10, nil)
	})
}

// The home dies in the middle of an answer; the engine's steward finds the
// stream and cancels it.
func TestSessionHomeDies(t *testing.T) {
	play(t, func(s *session) {
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 4000, func(position int) {
			if position == 10 {
				s.lose("sabana-1")
			}
		})
		time.Sleep(20 * time.Second)
	})
}

// The home dies and so does every instance that knew it; the new ones still
// find its stream.
func TestSessionEverybodyWhoKnewTheHomeDies(t *testing.T) {
	play(t, func(s *session) {
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 4000, func(position int) {
			if position == 10 {
				s.lose("sabana-1")
				s.lose("heredia-1")
				s.start("cartago-1", "cartago")
			}
		})
		time.Sleep(20 * time.Second)
	})
}

// A frozen home is a suspect and no more: its stream goes on.
func TestSessionHomePauses(t *testing.T) {
	play(t, func(s *session) {
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 400, func(position int) {
			if position == 10 {
				s.nodes["sabana-1"].line.Pause()
				time.Sleep(7 * time.Second)
				s.nodes["sabana-1"].line.Resume()
			}
		})
	})
}

// A call whose answer is lost stays unknown, and a duplicate does not run.
func TestSessionAnswerLost(t *testing.T) {
	play(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		id := s.newID(home, witness, "n1")
		s.plain.LoseReplies.Store(1)
		s.hold(home, id)
		s.hold(home, id)
		s.hold(witness, id)
		s.askOutcome(witness, id)
	})
}

// A caller loses its connection while its call runs, and comes back with the
// same id: it gets the answer, once.
func TestSessionCallerComesBack(t *testing.T) {
	play(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		id := s.newID(home, witness, "n1")
		ctx, leave := context.WithTimeout(s.ctx, 3*time.Millisecond)
		defer leave()
		s.holdUntil(ctx, home, id)
		s.askOutcome(witness, id)
		s.hold(home, id)
		s.hold(home, id)
	})
}

// A call refused before a byte was sent goes to another server; one that the
// server says it did not run, too.
func TestSessionCallRefused(t *testing.T) {
	play(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		s.plain.SetDown(standin.SamplePlainOne, true)
		s.hold(home, s.newID(home, witness, "n1"))
		s.plain.SetDown(standin.SamplePlainOne, false)
		s.plain.Refuse.Store(1)
		s.hold(home, s.newID(home, witness, "n2"))
	})
}

// The caller asks the witness before its call arrives: told "not run", it
// never runs, however late it comes.
func TestSessionToldNotRun(t *testing.T) {
	play(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		id := s.newID(home, witness, "n1")
		s.say("outcome of n1 asked at its witness alone: %s", witness.Witnessed(id).Outcome)
		s.hold(home, id)
		s.hold(home, id)
	})
}

// The home dies; its witness knows what may have run and what did not.
func TestSessionHomeDiesWithCalls(t *testing.T) {
	play(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		ran, never := s.newID(home, witness, "ran"), s.newID(home, witness, "never")
		s.hold(home, ran)
		time.Sleep(100 * time.Millisecond)
		s.lose("sabana-1")
		s.askOutcome(witness, ran)
		s.askOutcome(witness, never)
		again := s.start("sabana-1", "sabana")
		time.Sleep(3 * time.Second)
		s.hold(again, never)
		s.askOutcome(again, ran)
	})
}

// With the witness out of reach, the call is not sent and the caller is told
// so.
func TestSessionWitnessOutOfReach(t *testing.T) {
	play(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		s.network.Cut(home.Info().Peer, witness.Info().Peer, true)
		id := s.newID(home, witness, "n1")
		s.hold(home, id)
		s.network.Cut(home.Info().Peer, witness.Info().Peer, false)
		s.hold(home, id)
	})
}

// An instance drains: it is not named any more, serves what it has, and says
// when it is done.
func TestSessionDrain(t *testing.T) {
	play(t, func(s *session) {
		home, sibling := s.nodes["sabana-1"], s.nodes["heredia-1"]
		done := make(chan struct{})
		leave := home.Enter()
		go func() {
			defer close(done)
			home.Drain(s.ctx)
			s.say("sabana-1 has drained")
		}()
		time.Sleep(time.Second)
		entry, _ := sibling.Entry("sabana", "")
		s.say("a caller in sabana is sent to %s", entry.Instance)
		s.ask(s.ctx, home, prompt(2400), 800, nil)
		leave()
		<-done
	})
}

// Every decode engine says it is leaving: the request is refused at once, not
// when its first token was due.
func TestSessionNobodyToDecode(t *testing.T) {
	play(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.Leaving.Store(true)
		s.farm.Engine(decodeTwo).Faults.Leaving.Store(true)
		time.Sleep(2 * time.Second)
		s.ask(s.ctx, s.nodes["sabana-1"], prompt(2400), 10, nil)
	})
}
