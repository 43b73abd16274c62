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

// outcomeCounts counts the outcomes that callers know after the home of their
// calls died.
type outcomeCounts struct {
	mu       sync.Mutex
	outcomes map[reason.Outcome]int
	ids      []operation.ID
}

// TestSessionShareOfUnknowns starts a hundred calls, one every millisecond, and
// kills their home halfway. It does so with an operation id and a witness, and
// with neither.
func TestSessionShareOfUnknowns(t *testing.T) {
	runSession(t, func(s *session) {
		s.plain.CallDuration = 20 * time.Millisecond
		for _, witnessed := range []bool{true, false} {
			if s.nodes["sabana-1"] == nil {
				s.start("sabana-1", "sabana")
			}
			time.Sleep(5 * time.Second)
			got := s.callsWhileHomeDies(witnessed)
			s.recordf("witnessed %v: %d done, %d not run, %d unknown", witnessed,
				got.outcomes[reason.Done], got.outcomes[reason.NotRun], got.outcomes[reason.Unknown])
			for _, id := range got.ids {
				if runs := s.plain.Runs()[id.String()]; runs > 1 {
					s.recordf("A CALL RAN %d TIMES", runs)
				}
			}
			time.Sleep(10 * time.Second)
		}
	})
}

const (
	callsInTotal    = 100
	homeKilledAfter = 50*time.Millisecond + time.Millisecond/4
)

func (s *session) callsWhileHomeDies(witnessed bool) *outcomeCounts {
	home, witness := s.nodes["sabana-1"], s.nodes["heredia-1"]
	got := &outcomeCounts{outcomes: make(map[reason.Outcome]int)}
	var group sync.WaitGroup
	for n := range callsInTotal {
		id := s.newOperationID(home, witness, fmt.Sprint("n", n))
		got.ids = append(got.ids, id)
		group.Go(func() {
			time.Sleep(time.Duration(n) * time.Millisecond)
			outcome := s.callDyingHome(home, witness, id, witnessed)
			got.mu.Lock()
			defer got.mu.Unlock()
			got.outcomes[outcome]++
		})
	}
	time.Sleep(homeKilledAfter)
	s.killAndUnlist("sabana-1")
	group.Wait()
	return got
}

// callDyingHome returns the outcome that one caller learns: the one from the
// home, or else the one from the witness. The caller has sent its call in any
// case, and cannot tell whether a home that died had received it.
func (s *session) callDyingHome(home, witness *node, id operation.ID, witnessed bool) reason.Outcome {
	outcome := reason.Unknown
	if home.lifeline.Context().Err() == nil {
		ask := request.Plain{ID: home.NewRequestID(), Service: "plate-desk", Call: service.Call{
			Method: "POST", Path: "/hold", Headers: []service.Header{{Name: standin.HeaderOperation, Value: id.String()}},
		}}
		if witnessed {
			ask.Operation = &id
		}
		_, result := home.Runner.RunPlain(s.ctx, ask)
		if home.lifeline.Context().Err() == nil {
			outcome = result.Outcome
		}
	}
	if outcome == reason.Unknown && witnessed {
		time.Sleep(time.Second)
		outcome = witness.WitnessStatus(id).Outcome
	}
	return outcome
}
