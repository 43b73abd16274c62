package instance_test

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/standin"
)

func TestSessionPlainDay(t *testing.T) {
	runSession(t, func(s *session) {
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
		s.sendModelRequest(s.ctx, s.nodes["heredia-1"], prompt(300), 5, nil)
		s.sendModelRequest(s.ctx, s.nodes["heredia-1"], prompt(90_000), 40, nil)
	})
}

// TestSessionCallerLeaves: a caller disconnects while its answer is streamed,
// and the replies to the first cancels are lost.
func TestSessionCallerLeaves(t *testing.T) {
	runSession(t, func(s *session) {
		ctx, disconnect := context.WithCancel(s.ctx)
		s.farm.Engine(decodeOne).Faults.LoseCancelReplies.Store(2)
		s.sendModelRequest(ctx, s.nodes["sabana-1"], prompt(2400), 40, func(position int) {
			if position == 10 {
				disconnect()
			}
		})
		time.Sleep(500 * time.Millisecond)
		s.recordLedgers()
	})
}

// TestSessionCallerLeavesInPrefill: a caller disconnects while its prompt is
// prefilled.
func TestSessionCallerLeavesInPrefill(t *testing.T) {
	runSession(t, func(s *session) {
		ctx, disconnect := context.WithTimeout(s.ctx, 50*time.Millisecond)
		defer disconnect()
		s.sendModelRequest(ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
	})
}

// TestSessionTransferStalls: a transfer stalls. The prefill result is
// transferred to the other decode engine in time.
func TestSessionTransferStalls(t *testing.T) {
	runSession(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.StallImports.Store(1)
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
	})
}

// TestSessionStreamBreaks: a stream breaks and is resumed at the right token.
func TestSessionStreamBreaks(t *testing.T) {
	runSession(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.BreakStreams.Store(1)
		s.farm.Engine(decodeOne).Faults.RepeatTokens.Store(2)
		s.farm.Engine(decodeOne).Faults.ForeignTokens.Store(2)
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, nil)
	})
}

// TestSessionEngineCrashes: the decode engine crashes in the middle of an
// answer.
func TestSessionEngineCrashes(t *testing.T) {
	runSession(t, func(s *session) {
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 40, func(position int) {
			if position == 10 {
				s.farm.Engine(decodeOne).Crash()
			}
		})
	})
}

// TestSessionEngineLeaves: a draining engine gets no new requests, even while
// the table still has its row.
func TestSessionEngineLeaves(t *testing.T) {
	runSession(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.Draining.Store(true)
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 10, nil)
		time.Sleep(2 * time.Second)
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 10, nil)
	})
}

// TestSessionHomeDies: the home (the instance that the caller is connected to)
// dies in the middle of an answer. The engine's steward (the instance that
// grants reservations at it) finds the stream and cancels it.
func TestSessionHomeDies(t *testing.T) {
	runSession(t, func(s *session) {
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 4000, func(position int) {
			if position == 10 {
				s.killAndUnlist("sabana-1")
			}
		})
		time.Sleep(20 * time.Second)
	})
}

// TestSessionEverybodyWhoKnewTheHomeDies: the home dies, and so does every
// instance that knew it. New instances still find its stream.
func TestSessionEverybodyWhoKnewTheHomeDies(t *testing.T) {
	runSession(t, func(s *session) {
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 4000, func(position int) {
			if position == 10 {
				s.killAndUnlist("sabana-1")
				s.killAndUnlist("heredia-1")
				s.start("cartago-1", "cartago")
			}
		})
		time.Sleep(20 * time.Second)
	})
}

// TestSessionHomePauses: a suspended home becomes a suspect but is not declared
// dead, so its stream continues.
func TestSessionHomePauses(t *testing.T) {
	runSession(t, func(s *session) {
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 400, func(position int) {
			if position == 10 {
				s.nodes["sabana-1"].lifeline.Pause()
				time.Sleep(7 * time.Second)
				s.nodes["sabana-1"].lifeline.Resume()
			}
		})
	})
}

// TestSessionAnswerLost: the outcome of a call whose answer is lost stays
// unknown, and a duplicate of the call does not run.
func TestSessionAnswerLost(t *testing.T) {
	runSession(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		id := s.newOperationID(home, witness, "n1")
		s.plain.LoseReplies.Store(1)
		s.callHold(home, id)
		s.callHold(home, id)
		s.callHold(witness, id)
		s.queryOutcome(witness, id)
	})
}

// TestSessionCallerComesBack: a caller loses its connection while its call
// runs, and retries with the same id. It gets the answer, and the call runs
// once.
func TestSessionCallerComesBack(t *testing.T) {
	runSession(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		id := s.newOperationID(home, witness, "n1")
		ctx, disconnect := context.WithTimeout(s.ctx, 3*time.Millisecond)
		defer disconnect()
		s.callHoldUntil(ctx, home, id)
		s.queryOutcome(witness, id)
		s.callHold(home, id)
		s.callHold(home, id)
	})
}

// TestSessionCallRefused: a call that is refused before a byte was sent goes to
// another server. So does a call that the server reports as not run.
func TestSessionCallRefused(t *testing.T) {
	runSession(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		s.plain.SetDown(standin.SamplePlainOne, true)
		s.callHold(home, s.newOperationID(home, witness, "n1"))
		s.plain.SetDown(standin.SamplePlainOne, false)
		s.plain.Refuse.Store(1)
		s.callHold(home, s.newOperationID(home, witness, "n2"))
	})
}

// TestSessionToldNotRun: the caller queries the witness (the instance in
// another zone that acknowledges an intent) before its call arrives and gets
// "not run". The call then never runs, however late it arrives.
func TestSessionToldNotRun(t *testing.T) {
	runSession(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		id := s.newOperationID(home, witness, "n1")
		s.recordf("outcome of n1 asked at its witness alone: %s", witness.WitnessStatus(id).Outcome)
		s.callHold(home, id)
		s.callHold(home, id)
	})
}

// TestSessionHomeDiesWithCalls: the home dies. Its witness knows which calls
// may have run and which did not.
func TestSessionHomeDiesWithCalls(t *testing.T) {
	runSession(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		ran, never := s.newOperationID(home, witness, "ran"), s.newOperationID(home, witness, "never")
		s.callHold(home, ran)
		time.Sleep(100 * time.Millisecond)
		s.killAndUnlist("sabana-1")
		s.queryOutcome(witness, ran)
		s.queryOutcome(witness, never)
		again := s.start("sabana-1", "sabana")
		time.Sleep(3 * time.Second)
		s.callHold(again, never)
		s.queryOutcome(again, ran)
	})
}

// TestSessionWitnessOutOfReach: while the witness is unreachable, the call is
// not sent, and the caller gets an answer that says so.
func TestSessionWitnessOutOfReach(t *testing.T) {
	runSession(t, func(s *session) {
		home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
		s.network.Cut(home.Info().Peer, witness.Info().Peer, true)
		id := s.newOperationID(home, witness, "n1")
		s.callHold(home, id)
		s.network.Cut(home.Info().Peer, witness.Info().Peer, false)
		s.callHold(home, id)
	})
}

// TestSessionDrain: a draining instance is no longer given to callers. It
// serves the requests that it has, and Drain returns when they have ended.
func TestSessionDrain(t *testing.T) {
	runSession(t, func(s *session) {
		home, sibling := s.nodes["sabana-1"], s.nodes["heredia-1"]
		done := make(chan struct{})
		endRequest := home.BeginRequest()
		go func() {
			defer close(done)
			home.Drain(s.ctx)
			s.recordf("sabana-1 has drained")
		}()
		time.Sleep(time.Second)
		entry, _ := sibling.SelectEntry("sabana", "")
		s.recordf("a caller in sabana is sent to %s", entry.Instance)
		s.sendModelRequest(s.ctx, home, prompt(2400), 800, nil)
		endRequest()
		<-done
	})
}

// TestSessionNobodyToDecode: all decode engines are draining. The request is
// refused immediately, not only when its first token is due.
func TestSessionNobodyToDecode(t *testing.T) {
	runSession(t, func(s *session) {
		s.farm.Engine(decodeOne).Faults.Draining.Store(true)
		s.farm.Engine(decodeTwo).Faults.Draining.Store(true)
		time.Sleep(2 * time.Second)
		s.sendModelRequest(s.ctx, s.nodes["sabana-1"], prompt(2400), 10, nil)
	})
}
