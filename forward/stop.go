package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream"
)

const (
	// moveStopTimeout is the time without an answer after which the call that stops a run is repeated.
	// Callers tolerate a pause of 300 ms (source: the reference workload).
	moveStopTimeout = 400 * time.Millisecond
	// moveStopLimit bounds the wait for the answers to all calls that stop a run.
	moveStopLimit = upstream.SoundSilence
	// moveStopAttempts bounds the number of calls that stop a run.
	moveStopAttempts = 2
)

// stopCall is a call that stops a run for a move. The engine answers it with the handle of the run's memory
// if it has stopped the run.
type stopCall func(ctx context.Context) (PrefillHandle, error)

// stopAnswer is the result of a stopCall.
type stopAnswer struct {
	result PrefillHandle
	err    error
}

// answered reports whether the engine has answered the call. An answer without a handle is one only if it is a
// refusal.
func (a stopAnswer) answered() bool {
	var refused *NotRunError
	return a.result != "" || errors.As(a.err, &refused)
}

// stopRun stops the run and records what is known of it.
//
// A call without an answer may have stopped the run. The engine then refuses the repeated call with 404 or 409, so
// that only the late answer to the first one brings the handle. It is awaited beside the repeated call. The run goes
// on for certain only if each call was answered, and none with a handle.
func (m *move) stopRun(ctx context.Context, call stopCall) {
	ctx, cancel := context.WithTimeout(ctx, moveStopLimit)
	answers := make(chan stopAnswer, moveStopAttempts)
	made, pending := 0, 0
	defer func() { go m.awaitStops(ctx, cancel, answers, pending) }()
	send := func() {
		made, pending = made+1, pending+1
		m.open.Add(1)
		go func() {
			result, err := call(ctx)
			answers <- stopAnswer{result: result, err: err}
		}()
	}
	repeat := time.NewTimer(moveStopTimeout)
	defer repeat.Stop()
	for send(); pending > 0; {
		select {
		case <-repeat.C:
			if made < moveStopAttempts && !m.streamOver.Load() {
				send()
			}
		case answer := <-answers:
			pending--
			m.closeStop(ctx, answer)
			m.recordStop(answer)
			if m.stopped {
				return
			}
			if !answer.answered() && made < moveStopAttempts && ctx.Err() == nil && !m.streamOver.Load() {
				send()
			}
		}
	}
}

// awaitStops awaits the calls that are still open after one of them was answered with a handle.
func (m *move) awaitStops(ctx context.Context, cancel context.CancelFunc, answers <-chan stopAnswer, pending int) {
	defer cancel()
	for ; pending > 0; pending-- {
		m.closeStop(ctx, <-answers)
	}
	if m.open.Load() == 0 {
		close(m.stopsOver)
	}
}

// closeStop counts a call as over that the engine has answered, or whose connection it has ended. One that this instance
// gave up may still reach the engine, and one that is answered with a handle after another one has stopped the run that
// went on.
func (m *move) closeStop(ctx context.Context, answer stopAnswer) {
	again := answer.result != "" && m.stopped
	if !again && (answer.answered() || ctx.Err() == nil) {
		m.open.Add(-1)
	}
}

// mayStopAgain reports whether a call may stop, or has stopped, the run that goes on at the engine where it was stopped. Until one is
// answered with a handle, one of the open calls is the one that has stopped the run.
func (m *move) mayStopAgain() bool {
	if m.isDone() && m.stopped {
		return m.open.Load() > 0
	}
	return m.open.Load() > 1
}

// recordStop records the result of one call to stop the run.
func (m *move) recordStop(answer stopAnswer) {
	m.stops = append(m.stops, resultOf(answer.err))
	m.err = answer.err
	switch {
	case answer.result != "":
		m.result, m.stopped, m.mayHaveStopped, m.arrived = answer.result, true, false, answer.err == nil
	case !answer.answered():
		m.mayHaveStopped = true
	}
}
