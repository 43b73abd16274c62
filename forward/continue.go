package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/wait"
)

// A stream that was stopped for a move has no run until it continues, so a continuation that fails is tried on: at the
// destination, then at the engine where the run was stopped; at a destination that has begun to leave only after that
// engine, and at none that has been leaving for long. The handle of a run's memory can be used once, and a request with a
// handle that was used is refused and not run (source: the platform's protocol). So a continuation that got no answer may
// be repeated for streams that must not be repeated, too, and sent to the source while the destination is silent (standby).

const (
	// continuationTries bounds the calls to one engine that continue a stopped run. A server at its limit of
	// connections, or that closes an idle connection, may fail a call without having read it.
	continuationTries = 3
	// continuationPause is the pause between two of them.
	continuationPause = 20 * time.Millisecond
	// maxStopWait bounds the wait for one of the two signs of a stopped run behind the other one: the answer of the call
	// that stopped it, and the end of its connection.
	maxStopWait = 400 * time.Millisecond
	// maxLeavingUse is for how long an engine that leaves may still get the stream: its source since the instance has known of
	// it, and a destination that has begun to leave in the move since the move began. Servers that leave take requests for
	// two seconds (source: the platform's protocol), and the instance knows of it some time later.
	maxLeavingUse = time.Second
)

// resumeMoved continues the stream where its memory is, if it broke off because its run was
// stopped for a move. stopped reports whether that is why it broke off: then its engine has not
// failed. The error is why the stream does not continue.
func (r *relay) resumeMoved() (stopped bool, err error) {
	if r.move == nil {
		return false, nil
	}
	m := r.move
	if r.stopIsUnanswered(m) {
		if decided, err := r.resumeFromCopy(m); decided {
			return true, err
		}
	}
	<-m.done
	if !m.stopped {
		r.stopPending = r.stopPending || m.mayHaveStopped
		r.abandonMove(moveBrokenOff, m.err)
		return false, nil
	}
	r.leaveSource()
	if err := r.checkContinue(); err != nil {
		r.abandonMove(moveBrokenOff, err)
		return true, err
	}
	order := r.continuation(m, m.result)
	leaves := r.isLeaving(m.to.Name)
	if !m.arrived || leaves {
		if err = errSourceLeaves; !m.arrived || m.mayReturn() {
			err = r.continueAtSource(m, order)
		}
		if err == nil || !m.arrived || usedUp(err) || clock.Since(m.began) >= maxLeavingUse || r.checkContinue() != nil {
			r.releaseDestination(m)
			return true, r.endMoveBack(m, err)
		}
	}
	err = r.resumeAtDestination(m, order)
	if err == nil && r.decode == m.from {
		r.endMove(moveBack, nil)
		return true, nil
	}
	if err == nil {
		r.endMove(moveDone, nil)
		return true, nil
	}
	if !usedUp(err) && !leaves && m.mayReturn() && r.checkContinue() == nil {
		return true, r.endMoveBack(m, r.continueAtSource(m, order))
	}
	r.endMove(moveBrokenOff, err)
	r.releaseUnlessUsed(m, err)
	return true, err
}

// errSourceLeaves is why a stream does not go back to the engine where it was stopped.
var errSourceLeaves = errors.New("the engine where the run was stopped has been leaving for long")

// mayReturn reports whether the stream may go back to the engine where it was stopped.
func (m *move) mayReturn() bool {
	return m.leavingSince.IsZero() || clock.Since(m.leavingSince) < maxLeavingUse
}

// checkContinue returns an error if a stopped run must not continue: nobody waits for it, or an engine must not get it.
func (r *relay) checkContinue() error {
	if r.ctx.Err() != nil {
		return context.Cause(r.ctx)
	}
	return r.checkSend()
}

// stopWait returns how long to wait for the second sign of a stopped run. Half of the time for which engines keep the
// memory leaves the other half for the continuation.
func (r *relay) stopWait() time.Duration {
	return min(r.service.Engine.Handle/2, maxStopWait)
}

// stopIsUnanswered waits a while for the calls that stop the run, and reports whether one of them may have stopped it
// without an answer so far.
func (r *relay) stopIsUnanswered(m *move) bool {
	m.streamOver.Store(true)
	if m.awaited {
		return !m.isDone() || (!m.stopped && m.mayHaveStopped)
	}
	m.awaited = true
	timer := time.NewTimer(r.stopWait())
	defer timer.Stop()
	select {
	case <-m.done:
		return !m.stopped && m.mayHaveStopped
	case <-timer.C:
		return true
	}
}

// errDestinationLeaves is why a stream does not continue at the destination of its move.
var errDestinationLeaves = errors.New("the destination is leaving")

// resumeFromCopy continues the stream by the handle of the copy that was made before the run was stopped: at the
// destination, which reads again what the copy lacks, or where the run was stopped. decided is false if the handle was not
// used up.
func (r *relay) resumeFromCopy(m *move) (decided bool, err error) {
	copied := m.copied.Load()
	if copied == nil || r.lastID == "" || r.checkContinue() != nil {
		return false, nil
	}
	// The engine may have broken off as well.
	r.recordSend(r.ctx, m.from, r.ended)
	r.alwaysLog = true
	r.leaveSource()
	order, outcome := r.continuation(m, *copied), moveFromCopy
	if err = errDestinationLeaves; !r.isLeaving(m.to.Name) {
		err = r.resumeAtDestination(m, order)
	}
	if err != nil && !usedUp(err) && m.mayReturn() && r.checkContinue() == nil {
		err = r.continueAtSource(m, order)
	}
	if err == nil && r.decode == m.from {
		outcome = moveBack
	}
	if err != nil && !usedUp(err) {
		r.record(stepMove, "copy not used", "to", m.to.Name, "err", err.Error())
		r.decode = m.from
		return false, nil
	}
	if err != nil {
		outcome = moveBrokenOff
	}
	r.endMove(outcome, err)
	r.releaseDestination(m)
	r.releaseLateHandle(m, *copied)
	return true, err
}

// releaseLateHandle releases the memory that a late answer to the call that stopped the run names, after the stream has
// continued from a copy.
func (r *relay) releaseLateHandle(m *move, used PrefillHandle) {
	from := r.entry(m.from)
	r.cleanup(func(ctx context.Context) {
		<-m.done
		if m.result != used {
			r.freeMoved(ctx, from, m)
		}
	})
}

// leaveSource ends what the instance has at the engine where the run was stopped.
func (r *relay) leaveSource() {
	r.endBrokenRun()
	r.releaseDecode()
}

// continuation returns the order that continues the stream from the memory of a stopped run.
func (r *relay) continuation(m *move, result PrefillHandle) DecodeRequest {
	return DecodeRequest{Source: r.entry(m.from), Result: result, LastEvent: r.request.LastEvent}
}

// usedUp reports whether an engine that failed to continue a stopped run has answered, and so used up its handle.
func usedUp(failed error) bool {
	var answered *statusError
	return errors.As(failed, &answered)
}

// resumeAtDestination continues a stream at the engine to which its memory was moved.
func (r *relay) resumeAtDestination(m *move, order DecodeRequest) error {
	r.holdDestination(m)
	r.decode, r.committed, r.plannedMemory = m.to, m.need, m.need
	m.held = false
	r.standby = r.newStandby(m)
	err := r.continueStopped(order)
	r.standby = nil
	if err != nil {
		r.releaseDecode()
	}
	return err
}

// endMoveBack ends a move whose stream was to continue at the engine where it was stopped, and returns its error.
func (r *relay) endMoveBack(m *move, err error) error {
	r.endMove(moveBack, err)
	if err != nil {
		r.releaseUnlessUsed(m, err)
	}
	return err
}

// continueAtSource continues a stopped run at the engine where it was stopped.
func (r *relay) continueAtSource(m *move, order DecodeRequest) error {
	r.decode, r.committed = m.from, 0
	r.grow(m.need)
	r.awaitOpenStops(m)
	err := r.continueStopped(order)
	if err != nil {
		r.releaseDecode()
		return err
	}
	r.stoppedBy = m
	return nil
}

// awaitOpenStops waits a while for the calls of a move that may stop the run once more if it goes on where it was stopped.
func (r *relay) awaitOpenStops(m *move) {
	if !m.isDone() || !m.mayStopAgain() {
		return
	}
	timer := time.NewTimer(r.stopWait())
	defer timer.Stop()
	select {
	case <-m.stopsOver:
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// continueStopped continues a stopped run at the decode engine. A call without an answer is repeated on a new connection.
func (r *relay) continueStopped(order DecodeRequest) error {
	for try := 1; ; try++ {
		stream, err := r.decodeOnce(order, 0)
		r.recordStandby(r.standby)
		if err == nil {
			return r.continueWith(stream, metrics.ContinuedByMove)
		}
		if r.standby != nil && r.standby.stream != nil {
			return r.continueAtStandby(r.standby)
		}
		r.recordSend(r.ctx, r.decode, err)
		answered := isNotRun(err)
		if !answered && try == 1 {
			r.brokenAt = append(r.brokenAt, r.decode.Name)
		}
		if !r.mayRepeatContinuation(order, err) || try == continuationTries || !wait.For(r.ctx, continuationPause) || r.checkSend() != nil {
			return errors.Wrap(err, "continue at "+r.decode.Name)
		}
		if !answered {
			r.recordRepeatedContinuation(r.decode.Name, err)
			order.NewConnection = true
		}
	}
}

// mayRepeatContinuation reports whether a call that continues a stopped run is repeated after an error at the same engine.
// A call that could not be sent is repeated only at the engine where the run was stopped, because no other engine is left.
// An engine that stayed silent for longer than sound ones do is not asked again.
func (r *relay) mayRepeatContinuation(order DecodeRequest, failed error) bool {
	var notRun *NotRunError
	if !errors.As(failed, &notRun) {
		return !errors.Is(context.Cause(r.runCtx), errStalled)
	}
	return !notRun.Sent && order.Source.Run() == r.entry(r.decode).Run()
}

// recordRepeatedContinuation records that a call which continues a stopped run is repeated. It uses the retry budget, but
// does not depend on it: the stream has no other way to go on.
func (r *relay) recordRepeatedContinuation(at string, cause error) {
	r.Budget(r.service.Name).Spend(clock.Now())
	r.Metrics.Retried(reason.StreamBroken)
	r.alwaysLog = true
	r.record(stepRetry, "continuation", "server", at, "cause", cause.Error())
}

// releaseUnlessUsed releases the memory of a stopped run, unless the engine that failed to
// continue it has taken the memory over and answered.
func (r *relay) releaseUnlessUsed(m *move, failed error) {
	if !usedUp(failed) {
		r.releaseMoved(m)
	}
}
