package instance_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/standin"
)

// shares counts what callers know of their calls after the death of the home.
type shares struct {
	mu       sync.Mutex
	outcomes map[reason.Outcome]int
	ids      []operation.ID
}

// TestSessionShareOfUnknowns has a hundred calls under way, one every
// millisecond, when their home dies in the middle of them: with an operation
// id and a witness, and with neither.
func TestSessionShareOfUnknowns(t *testing.T) {
	play(t, func(s *session) {
		s.plain.Took = 20 * time.Millisecond
		for _, witnessed := range []bool{true, false} {
			if s.nodes["sabana-1"] == nil {
				s.start("sabana-1", "sabana")
			}
			time.Sleep(5 * time.Second)
			got := s.callsAtDeath(witnessed)
			s.say("witnessed %v: %d done, %d not run, %d unknown", witnessed,
				got.outcomes[reason.Done], got.outcomes[reason.NotRun], got.outcomes[reason.Unknown])
			for _, id := range got.ids {
				if runs := s.plain.Runs()[id.String()]; runs > 1 {
					s.say("A CALL RAN %d TIMES", runs)
				}
			}
			time.Sleep(10 * time.Second)
		}
	})
}

const (
	callsAtDeath = 100
	deathAfter   = 50*time.Millisecond + time.Millisecond/4
)

func (s *session) callsAtDeath(witnessed bool) *shares {
	home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
	got := &shares{outcomes: make(map[reason.Outcome]int)}
	var group sync.WaitGroup
	for n := range callsAtDeath {
		id := s.newID(home, witness, fmt.Sprint("n", n))
		got.ids = append(got.ids, id)
		group.Go(func() {
			time.Sleep(time.Duration(n) * time.Millisecond)
			outcome := s.callUntilDeath(home, witness, id, witnessed)
			got.mu.Lock()
			defer got.mu.Unlock()
			got.outcomes[outcome]++
		})
	}
	time.Sleep(deathAfter)
	s.lose("sabana-1")
	group.Wait()
	return got
}

// callUntilDeath is one caller: what it is told by the home, or else what it
// learns from the witness. It has sent its call in any case, and cannot tell
// whether a home that died had received it.
func (s *session) callUntilDeath(home, witness *node, id operation.ID, witnessed bool) reason.Outcome {
	outcome := reason.Unknown
	if home.line.Context().Err() == nil {
		ask := request.Plain{ID: home.NewRequestID(), Service: "plate-desk", Call: service.Call{
			Method: "POST", Path: "/hold", Headers: []service.Header{{Name: standin.HeaderOperation, Value: id.String()}},
		}}
		if witnessed {
			ask.Operation = &id
		}
		_, result := home.Runner.RunPlain(s.ctx, ask)
		if home.line.Context().Err() == nil {
			outcome = result.Outcome
		}
	}
	if outcome == reason.Unknown && witnessed {
		time.Sleep(time.Second)
		outcome = witness.Witnessed(id).Outcome
	}
	return outcome
}
