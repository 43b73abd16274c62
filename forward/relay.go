package forward

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
)

// relay passes a stream on to the caller, only in whole events, because a server may break off
// in the middle of an event. Closing it ends the request.
type relay struct {
	*generation
	// status and fields are the head that the caller gets. Once begun is set, it has got it, and an engine that continues
	// the stream has to answer with the same status.
	status int
	fields []Field
	begun  bool
	// why is the reason that the end was logged with.
	why reason.Reason
	// stream is the answer that is being read. After a break it is another engine's answer.
	stream *Stream
	// buffer holds bytes that were read and not passed on yet. ready is the length of the
	// whole events in it.
	buffer  []byte
	ready   int
	scratch []byte
	// ended is the error that ended the stream, once it was seen.
	ended error
	// unfinished is the number of bytes of an incomplete event with which the last run ended.
	unfinished int
	// lastID is the id of the last whole event.
	lastID          string
	lastEventAt     time.Time
	longestPause    time.Duration
	firstEventAfter time.Duration
	// firstEvents is the number of events that came first, at once.
	firstEvents int
	// promptPending is set if the engine had a prompt to read at the last event.
	promptPending bool
	closed        bool
	// endPassedOn is set once the reader got the proper end of the stream.
	endPassedOn bool
	// move is the transfer of the running stream to another engine while it is in progress.
	// moves counts these transfers, and nextMoveCheck is when to check next whether the stream
	// should move.
	move          *move
	moves         int
	nextMoveCheck time.Time
	// stopPending is set if a call to stop the present run for a move got no answer, and was given up.
	stopPending bool
	// stoppedBy is the move by which the present run was stopped before it went on at the same engine; nil if there is none.
	stoppedBy *move
	// leavingSince is since when the instance has known that the engine leavingAt, at which the stream was then, leaves.
	leavingAt    string
	leavingSince time.Time
	// plannedMemory is the memory above which the stream has outgrown its expected size, in
	// tokens.
	plannedMemory int
	// progressAt, progressSince and progressFrom are where, when and with how many tokens the
	// measurement of the stream's rate began. nextRate is when to record the rate next.
	progressAt              string
	progressSince, nextRate time.Time
	progressFrom            int
	// nextSurvival is when the stream counts as surviving next.
	nextSurvival time.Time
}

// relayRead is the size of one read in bytes. An event has some hundred bytes.
const relayRead = 4 << 10

func newRelay(g *generation, stream *Stream) *relay {
	return &relay{generation: g, status: stream.Status, fields: stream.Fields, stream: stream, scratch: make([]byte, relayRead), lastEventAt: clock.Now(), plannedMemory: g.committed}
}

// Read implements io.Reader. It returns io.EOF only after the proper end of the server's
// stream.
func (r *relay) Read(p []byte) (int, error) {
	for r.ready == 0 && r.ended == nil {
		r.fill()
	}
	if r.ready == 0 {
		r.endPassedOn = r.ended == io.EOF
		return 0, r.ended
	}
	n := copy(p, r.buffer[:r.ready])
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[n:])]
	r.ready -= n
	return n, nil
}

// maxEventBytes bounds the bytes of an incomplete event. Events have some hundred bytes.
const maxEventBytes = 64 << 10

// errEventTooLong is the error of a stream with more than maxEventBytes that are no whole event.
var errEventTooLong = errors.New("an event of the stream is too long")

// fill reads once from the server.
func (r *relay) fill() {
	n, err := r.stream.Read(r.scratch)
	if n > 0 {
		r.decode.Server.RecordContact(clock.Now())
		r.recordAnswer()
	}
	r.buffer = append(r.buffer, r.scratch[:n]...)
	if length, count := wholeEvents(r.buffer[r.ready:]); count > 0 {
		r.recordEvents(count)
		r.lastID = lastID(r.buffer[r.ready:r.ready+length], r.lastID)
		r.ready += length
		if err == nil {
			r.considerMove(r.lastEventAt)
		}
	}
	if err == nil && len(r.buffer)-r.ready > maxEventBytes {
		err = r.passOnUnfinished()
	}
	switch {
	case err == nil:
	case err == io.EOF:
		r.endOfAnswer()
	default:
		r.resumeAfterBreak(err)
	}
}

// passOnUnfinished handles more bytes behind the last whole event than are held. An answer that is no stream of events
// is passed on as it comes, and then cannot be repeated any more.
func (r *relay) passOnUnfinished() error {
	if r.stream.hasEvents() {
		return errEventTooLong
	}
	r.noRerun, r.ready = true, len(r.buffer)
	return nil
}

// errInsideEvent is the error of a stream that ended inside an event. Its end is no proper one,
// whatever marks it: an engine that breaks off may close its connection without a reset.
var errInsideEvent = errors.New("the stream ended inside an event")

// errStopped is the error of a stream whose run was, or may have been, stopped for a move.
var errStopped = errors.New("the run was stopped for a move")

// errExitedAtEnd is the error of a stream whose engine's process exited as its connection ended.
var errExitedAtEnd = errors.New("the engine's process exited as its connection ended")

// exitedAtEnd reports whether a stream that ends with its connection ended because the engine's
// process exited: the kernel then closes the connection, mostly between two events. Another process may
// listen at its address at once. An engine that leaves exits at a time of its own, whatever still runs there
// (source: the platform's protocol).
func (r *relay) exitedAtEnd() bool {
	if !r.stream.EndsWithConnection || !r.stream.hasEvents() {
		return false
	}
	return r.Backends.RunHasEnded(r.ctx, r.entry(r.decode))
}

// endOfAnswer handles an end of the server's answer without an error.
func (r *relay) endOfAnswer() {
	if r.stream.hasEvents() {
		r.unfinished = unfinishedEvent(r.buffer[r.ready:])
	}
	switch {
	case r.unfinished > 0:
		r.resumeAfterBreak(errInsideEvent)
		return
	case r.mayBeStopped():
		r.resumeAfterBreak(errStopped)
		return
	case r.exitedAtEnd():
		r.resumeAfterBreak(errExitedAtEnd)
		return
	}
	// Bytes after the last event are part of the server's answer too.
	r.ended, r.ready = io.EOF, len(r.buffer)
}

// resumeAfterBreak continues a broken stream at another engine, if mayRerun allows it or the
// stream was being moved. The received part of an incomplete event is dropped, because the
// event is sent again.
func (r *relay) resumeAfterBreak(broken error) {
	r.ended = broken
	stalled := errors.Is(context.Cause(r.runCtx), errStalled)
	stopped, err := r.resumeMoved()
	mayBeStopped := stopped || r.stopIsPending()
	switch {
	case stopped && err == nil:
		return
	case stopped:
		r.ended = err
	case errors.Is(broken, errStopped) && !r.stopIsPending() && !r.exitedAtEnd():
		// All calls that were to stop the run were refused: the end was the proper one.
		r.ended = io.EOF
		return
	default:
		r.stopStallTimer()
		r.recordSend(r.ctx, r.decode, broken)
	}
	r.rerunBroken(stopped)
	if r.ended != nil {
		r.endedBy = r.endingOf(mayBeStopped, stalled)
	}
}

// rerunBroken continues a broken stream at another engine, if mayRerun allows it. stopped is set if its engine has
// not failed.
func (r *relay) rerunBroken(stopped bool) {
	if !r.mayRerun() || !clock.Now().Before(r.deadline) || (r.events > 0 && r.lastID == "") {
		return
	}
	if !stopped {
		r.endBrokenRun()
		r.decode.Server.Breaker.Failure(clock.Now())
	}
	if stream, failed := r.rerun(r.ended); failed == nil {
		if err := r.continueWith(stream, metrics.ContinuedByRerun); err != nil {
			r.record(stepRetry, "failed", "status", stream.Status)
		}
	}
}

// endingOf returns what ended a stream that broke off. mayBeStopped is set if its run was, or may have been, stopped
// for a move, and stalled if it was ended because it was silent.
func (r *relay) endingOf(mayBeStopped, stalled bool) reason.Ending {
	interrupted := r.interruption(r.ctx)
	switch {
	case interrupted != reason.NotEnded:
		return interrupted
	case mayBeStopped:
		return reason.EndedByMove
	case stalled:
		return reason.EndedByStall
	}
	return reason.EndedByServer
}

// endBrokenRun ends the run whose stream broke off, and makes the next run continue after the
// last whole event.
func (r *relay) endBrokenRun() {
	r.stopStallTimer()
	r.stream.Close()
	r.cancelRun()
	r.buffer = r.buffer[:r.ready]
	r.resumeAfterLastEvent()
}

// statusError is the error of an answer that does not continue a stream, because it has another
// status than the caller got.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string {
	return "the engine answered the continuation with status " + strconv.Itoa(e.status)
}

// continueWith reads on from another engine's stream. An answer with another status than the
// caller got, such as the engine's own failure, is not appended to what the caller got.
func (r *relay) continueWith(next *Stream, how metrics.Continuation) error {
	r.stream = next
	if !r.begun && next.Status != r.status {
		r.status, r.fields = next.Status, next.Fields
	}
	if next.Status != r.status {
		r.stopStallTimer()
		next.Close()
		r.cancelRun()
		return &statusError{status: next.Status}
	}
	r.ended, r.continuedBy, r.unfinished, r.stopPending = nil, how, 0, false
	r.stoppedBy = nil
	r.endedBy = reason.NotEnded
	return nil
}

// resumeAfterLastEvent makes the next run continue after the last whole event.
func (r *relay) resumeAfterLastEvent() {
	if r.lastID == "" {
		return
	}
	next := *r.request
	next.LastEvent = r.lastID
	r.request = &next
	r.need = max(r.need, r.request.Generation.PromptTokens+r.generated()+int(float64(r.expected-r.generated())*r.margin()))
}

// recordEvents records the arrival of whole events.
func (r *relay) recordEvents(events int) {
	now := clock.Now()
	r.endPromptRead()
	switch {
	case r.events == 0:
		r.firstEventAfter = now.Sub(r.request.Arrived)
		r.firstEvents = events
		r.Metrics.FirstToken.WithLabelValues(r.service.Name).Observe(r.firstEventAfter.Seconds())
	case r.continuedBy != "":
		// The pause includes the time that it took to continue elsewhere.
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	default:
		r.recordPause(now.Sub(r.lastEventAt))
		r.recordEventTime(events, now)
	}
	r.recordOrigin()
	r.recordWriting(now)
	r.promptPending = r.decode.Server.WaitingTokens() > 0
	r.lastEventAt = now
	r.events += events
	r.resetStallTimer(r.events)
	r.grow(r.request.Generation.PromptTokens + r.generated())
}

// recordPause records a pause between two events.
func (r *relay) recordPause(pause time.Duration) {
	r.longestPause = max(r.longestPause, pause)
	seen := r.pausesOf(r.service.Name)
	if r.promptPending || r.decode.Server.WaitingTokens() > 0 {
		seen.reading.Observe(pause)
		return
	}
	seen.usual.Observe(pause)
}

// recordEventTime records how long the engine took for events, unless it had a prompt to read.
func (r *relay) recordEventTime(events int, now time.Time) {
	if !r.promptPending && r.decode.Server.WaitingTokens() == 0 {
		r.decode.Server.RecordEvents(events, now.Sub(r.lastEventAt), now)
	}
}

// Close implements io.Closer.
func (r *relay) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	r.cancelMove()
	r.stopStallTimer()
	r.stream.Close()
	r.cancelRun()
	// A rerun that failed may still hold a reservation and a prefill result.
	r.releaseAll()
	departed := r.endedBy == reason.EndedByCaller || r.ended == nil && r.interruption(r.ctx) == reason.EndedByCaller
	r.cancel()
	r.release()
	if r.ended == io.EOF {
		r.recordCompleted()
	}
	if r.ended == io.EOF && r.events > 0 && !r.resumed {
		r.recordLength()
	}
	var detail string
	r.why, detail = r.reason(departed)
	r.recordEnding(departed)
	r.record(stepStream, resultOf(r.ended), "events", r.events, "firstMillis", r.firstEventAfter.Milliseconds(), "longestGapMillis", r.longestPause.Milliseconds(), "lastEventMillisAgo", clock.Since(r.lastEventAt).Milliseconds(),
		"endsWithConnection", r.stream.EndsWithConnection, "unfinishedBytes", r.unfinished)
	r.Metrics.StreamEnded(r.stream.EndsWithConnection, r.streamEnd())
	r.alwaysLog = r.alwaysLog || r.unfinished > 0
	r.close(r.status, r.why, detail)
	return nil
}

// recordEnding records what ended a stream that did not reach its caller as a whole.
func (r *relay) recordEnding(departed bool) {
	switch {
	case r.endPassedOn:
		r.endedBy = reason.NotEnded
	case departed || r.ended == nil || r.ended == io.EOF:
		r.endedBy = reason.EndedByCaller
	default:
		r.cut = r.begun
	}
}

// streamEnd returns how the server's stream ended.
func (r *relay) streamEnd() metrics.StreamEnd {
	switch {
	case r.unfinished > 0:
		return metrics.StreamInsideEvent
	case r.ended == io.EOF:
		return metrics.StreamComplete
	case r.ended != nil:
		return metrics.StreamBroken
	default:
		return metrics.StreamLeft
	}
}

func (r *relay) reason(departed bool) (reason.Reason, string) {
	switch {
	case r.endPassedOn:
		return answerReason(r.status), ""
	case departed:
		return reason.CallerGone, ""
	case r.endedBy == reason.EndedByStop:
		return reason.Stopping, r.ended.Error()
	case r.ended != nil && r.ended != io.EOF:
		return reason.StreamBroken, r.ended.Error()
	default:
		return reason.CallerGone, "the caller stopped reading"
	}
}

// logNotReleased logs that KV memory that a request holds at a backend server was not released
// and has to expire.
func logNotReleased(request, what, server string, err error) {
	klog.InfoS("Failed to release KV memory at a backend server, where it now has to expire",
		"request", request, "what", what, "server", server, "err", err.Error())
}
