package forward

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// A running stream is moved to another engine, together with its KV memory, when its own engine
// is about to run out of memory or is leaving. If no stream were moved, an engine that runs out
// of memory would preempt a stream and read its 3,500 to 5,200 tokens again, while all its
// other streams pause. A leaving engine would break off the streams that outlast it. The memory
// of a stream, some 0.1 GB, is transferred in a few milliseconds. The run stays the same, so
// streams that must not be repeated can be moved too.

// move is the transfer of a stream from one decode engine to another.
type move struct {
	from, to *route.ScoredCandidate
	why      reason.Reason
	began    time.Time
	// leavingSince is since when the instance has known that the source leaves; zero if it did not when the move began.
	leavingSince time.Time
	// need is the memory that is accounted to the stream at the destination, in tokens.
	need int
	// held is set while need is accounted at the destination for the move. Only the stream's reader uses it.
	held bool
	// awaited is set once the stream has ended and waited for the answers of the calls that stop the run. Only the stream's
	// reader uses it.
	awaited bool
	// copied identifies the copy that was made while the run went on; nil before.
	copied atomic.Pointer[PrefillHandle]
	// streamOver is set once the stream has ended. Its run has stopped then, so that a repeated call can only stop the run
	// that goes on.
	streamOver atomic.Bool
	// open is the number of calls that stop the run and may still reach the engine. stopsOver is closed once the run was
	// stopped, or goes on, and there are none.
	open      atomic.Int32
	stopsOver chan struct{}
	// done is closed once the fields below are final.
	done chan struct{}
	// result identifies the stream's memory. stopped is set if the run was stopped for the
	// move, mayHaveStopped if a call to stop it got no answer, and arrived if the memory is at the
	// destination. stops holds the results of these calls, for the log.
	result         PrefillHandle
	stopped        bool
	mayHaveStopped bool
	arrived        bool
	stops          []string
	err            error
	// ended is when the calls of the move had ended.
	ended time.Time
}

const (
	// moveCheckInterval is the pause between two checks whether a stream should move. The
	// commitments (the requests and memory that an instance has assigned to servers) of other
	// instances become known with that delay.
	moveCheckInterval = 100 * time.Millisecond
	// moveLead is how long before an engine runs out of memory a stream leaves it. It covers
	// the age of the known state of the engine and the time for copying.
	moveLead = 300 * time.Millisecond
	// maxMoves bounds how often one stream is moved to another engine, because its memory is
	// transferred each time.
	maxMoves = 4
	// moveCopyTimeout bounds the call that copies memory while the run continues.
	moveCopyTimeout = 500 * time.Millisecond
	// maxEventsToStay is the number of remaining events, for the longest possible answer, up to
	// which a stream stays. It would end before it has been moved.
	maxEventsToStay = 4
	// overrunFraction is how much more an answer that has outgrown its caller's estimate is
	// expected to generate, as a fraction of what it has generated. Estimates are off by half
	// in the mean (source: the reference workload).
	overrunFraction = 0.3
)

// considerMove starts moving the stream to another engine if it should leave its own, or ends a
// move that has failed.
func (r *relay) considerMove(now time.Time) {
	r.trackProgress(now)
	if r.move != nil {
		r.endFailedMove()
		return
	}
	if !r.service.Engine.Moves || r.lastID == "" || !r.isOriginClear(r.View.Servers()) || r.moves >= maxMoves || now.Before(r.nextMoveCheck) || r.endsWithin(moveCopyTimeout+r.stopWait()+usualSilence) {
		return
	}
	r.nextMoveCheck = now.Add(moveCheckInterval)
	if r.maxTokensLeft() <= maxEventsToStay*r.service.Engine.EventTokens {
		return
	}
	why := r.reasonToMove()
	if why == reason.None {
		return
	}
	leavingSince := time.Time{}
	if why == reason.EngineLeaving {
		leavingSince = r.sourceLeavesSince(now)
	}
	need := r.memoryAfterMove()
	to := r.destination(why, need)
	if to == nil {
		if r.forecasting() {
			// The next draw decides by a view that has changed. It also bounds the logged decisions.
			r.nextMoveCheck = now.Add(moveLead)
		}
		return
	}
	if r.tracked != nil {
		r.tracked.to.Store(&to.Name)
	}
	r.beginMove(&move{from: r.decode, to: to, why: why, began: now, leavingSince: leavingSince, need: need, done: make(chan struct{}), stopsOver: make(chan struct{})})
}

// reasonToMove returns the reason why the stream should leave its engine; none if it may stay.
func (r *relay) reasonToMove() reason.Reason {
	if r.isLeaving(r.decode.Name) {
		return reason.EngineLeaving
	}
	if r.stopping.Load() != nil {
		// An engine that runs out of memory preempts the streams that it got last, and so a moved stream before all others.
		// At its own engine the stream is as old as it is. A preempted stream may be silent until the shutdown is over.
		return reason.None
	}
	if r.forecasting() {
		return r.reasonByForecast()
	}
	if r.freeMemoryAt(r.decode.Backend) < r.growthBeforeMove() && r.selectedToMove() {
		return reason.EngineFull
	}
	return reason.None
}

// sourceLeavesSince returns since when the instance has known that the stream's engine leaves.
func (r *relay) sourceLeavesSince(now time.Time) time.Time {
	if r.leavingAt != r.decode.Name {
		r.leavingAt, r.leavingSince = r.decode.Name, now
	}
	return r.leavingSince
}

// maxForecastMoves bounds how often one stream is moved because its engine overflows, where that is
// forecast. Each move copies up to 1.6 GB (source: the second customer's load).
const maxForecastMoves = 2

// reasonByForecast returns the reason why the stream should leave its engine, if the forecast says
// that the engine overflows.
func (r *relay) reasonByForecast() reason.Reason {
	if r.moves >= maxForecastMoves {
		return reason.None
	}
	expected := r.newForecastAt(r.decode.Name, r.tracked)
	engine, stream := expected.engine(r.decode.Candidate), expected.stream
	if stream.Rate = math.Float64frombits(r.tracked.rate.Load()); stream.Rate == 0 {
		stream.Rate = engine.Rate
	}
	leaving := expected.model.Leave(engine, stream, moveCheckInterval)
	if r.Random() >= leaving.Probability {
		return reason.None
	}
	r.Metrics.MemoryDecided(r.service.Name, metrics.MemoryLeaves)
	r.record(stepMove, "leaves", append([]any{
		"server", r.decode.Name, "probability", hundredths(leaving.Probability),
		"peak", int(leaving.Peak.Mean), "peakAfterMillis", leaving.Peak.After.Milliseconds(),
	}, "capacity", int(engine.Capacity), "own", len(engine.Own), "others", int(engine.Others.Count), "othersMemory", int(engine.Others.Memory))...)
	return reason.EngineFull
}

// selectedToMove reports whether this stream should leave an engine that runs out of memory. It
// is true for each stream that has outgrown its expected size, and for about one of the other
// streams, drawn at random. Other instances with streams at the engine see the same state.
func (r *relay) selectedToMove() bool {
	return r.committed > r.plannedMemory || r.Random()*float64(r.streamsAt(r.decode.Server)) < 1
}

// streamsAt returns the number of streams that all instances have at an engine.
func (r *relay) streamsAt(server *route.Server) int {
	return server.InFlight() + server.Others().InFlight
}

// growthBeforeMove returns the memory that the streams at the engine may take before a move
// from it completes, in tokens.
func (r *relay) growthBeforeMove() int {
	pause, known := r.pausesOf(r.service.Name).usual.P95()
	if !known {
		pause = r.config.EventPause
	}
	return int(float64(r.streamsAt(r.decode.Server)*r.service.Engine.EventTokens) * moveLead.Seconds() / max(pause, time.Millisecond).Seconds())
}

// generated returns the number of tokens that the stream has generated.
func (g *generation) generated() int { return g.events * g.service.Engine.EventTokens }

// maxTokensLeft returns how many more tokens the stream may generate.
func (r *relay) maxTokensLeft() int { return r.request.Generation.MaxTokens - r.generated() }

// memoryAfterMove returns the memory that the stream needs at its destination, in tokens.
func (r *relay) memoryAfterMove() int {
	if r.forecasting() {
		return r.request.Generation.PromptTokens + r.generated()
	}
	left := max(r.expected-r.generated(), int(overrunFraction*float64(r.generated())))
	left = max(min(left, r.maxTokensLeft()), 0)
	return r.request.Generation.PromptTokens + r.generated() + int(float64(left)*r.margin())
}

// destination chooses the engine to move to; nil if there is none. A stream whose engine is
// leaving may use the memory that is kept free for other streams.
func (r *relay) destination(why reason.Reason, need int) *route.ScoredCandidate {
	r.tried = append(r.tried[:0], r.decode.Name)
	defer func() { r.tried = r.tried[:0] }()
	query := r.query()
	query.MemoryTokens, query.Zone = need, r.decode.Backend.Zone
	if why != reason.EngineLeaving {
		query.Spare = r.poolingFactor() * r.spare()
	}
	if why != reason.EngineLeaving && r.forecasting() {
		query.Forecast = r.newForecast(r.tracked, 1)
	}
	return r.chooseFor(query, r.Gateway.decode, decodePool)
}

func (r *relay) beginMove(m *move) {
	r.move = m
	r.moves++
	r.holdDestination(m)
	from, to, request := r.entry(m.from), r.entry(m.to), r.request
	endRun, wait := r.cancelRun, r.stopWait()
	go func() {
		defer close(m.done)
		m.run(r.ctx, r.Backends, from, to, request)
		m.ended = clock.Now()
		if m.stopped {
			// The engine ends the connection before it answers. If the end does not arrive, the stream goes on without it.
			time.AfterFunc(wait, endRun)
		}
	}()
}

// run copies the stream's memory while the run continues, then stops the run and copies the
// rest.
func (m *move) run(ctx context.Context, backends Backends, from, to *registry.Entry, request *Request) {
	if m.result, m.err = copyRun(ctx, backends, from, to, request); m.err != nil {
		return
	}
	copied := m.result
	m.copied.Store(&copied)
	m.stopRun(ctx, func(ctx context.Context) (PrefillHandle, error) { return backends.Move(ctx, from, to, request, true) })
}

// copyRun copies the memory of a run that continues.
func copyRun(ctx context.Context, backends Backends, from, to *registry.Entry, request *Request) (PrefillHandle, error) {
	ctx, cancel := context.WithTimeout(ctx, moveCopyTimeout)
	defer cancel()
	return backends.Move(ctx, from, to, request, false)
}

// endFailedMove ends a move that has failed while its stream continues.
func (r *relay) endFailedMove() {
	if !r.move.isDone() {
		return
	}
	if r.move.stopped || r.move.mayUseCopy(r.service.Engine.Handle) {
		return
	}
	// A call without an answer may still reach the engine, and stop the run after later events.
	r.stopPending = r.stopPending || r.move.mayHaveStopped
	r.abandonMove("failed", r.move.err)
}

// endMove records the outcome of a move that is over.
func (r *relay) endMove(outcome string, err error) {
	m := r.move
	r.move = nil
	if r.tracked != nil {
		r.tracked.to.Store(nil)
	}
	inputs := []any{"from", m.from.Name, "to", m.to.Name, "why", m.why, "need", m.need, "tookMillis", clock.Since(m.began).Milliseconds()}
	select {
	case <-m.done:
		inputs = append(inputs, "stops", m.stops, "mayHaveStopped", m.mayHaveStopped)
	default:
		inputs = append(inputs, "stops", "unanswered")
	}
	r.record(stepMove, outcome, append(inputs, "err", resultOf(err))...)
	if outcome == moveDone || outcome == moveFromCopy {
		r.Metrics.Retried(m.why)
	}
}

// abandonMove ends a move after which the stream was not continued at the destination, and
// releases the memory that the move holds at the two engines.
func (r *relay) abandonMove(outcome string, err error) {
	m := r.move
	r.endMove(outcome, err)
	r.releaseDestination(m)
	r.releaseMoved(m)
}

// isDone reports whether the calls of the move have ended.
func (m *move) isDone() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// mayUseCopy reports whether the run may have been stopped by a call without an answer, so that the stream, of which
// events may still be on their way, has to go on from the copy. kept is for how long engines keep it.
func (m *move) mayUseCopy(kept time.Duration) bool {
	return m.mayHaveStopped && clock.Since(m.ended) < kept
}

// holdDestination accounts for the memory that the stream needs at its destination.
func (r *relay) holdDestination(m *move) {
	if !m.held {
		m.held = true
		m.to.Server.AddMemory(m.need)
	}
}

// releaseDestination ends the accounting for that memory.
func (r *relay) releaseDestination(m *move) {
	if m.held {
		m.held = false
		m.to.Server.AddMemory(-m.need)
	}
}

// releaseMoved releases the memory of a move that failed.
func (r *relay) releaseMoved(m *move) {
	from := r.entry(m.from)
	r.cleanup(func(ctx context.Context) { r.freeMoved(ctx, from, m) })
}

func (r *relay) freeMoved(ctx context.Context, from *registry.Entry, m *move) {
	if m.result != "" {
		r.logLeak("moved memory", from, r.Backends.Free(ctx, from, m.result))
	}
}

// Outcomes of a move. After moveDone the stream continues at its destination, after moveFromCopy too, but from the copy
// that was made before its run was stopped, and after moveBack at the engine where it was stopped, unless there is an
// error. After moveBrokenOff it does not continue from its memory.
const (
	moveDone      = "ok"
	moveFromCopy  = "from copy"
	moveBack      = "back"
	moveBrokenOff = "broken off"
)

// mayBeStopped reports whether the end of a stream may be the stop of its run for a move. Where the
// connection alone marks the end, a stop looks like a proper end. A stop whose answer is late may have stopped the run:
// if the run had ended, there is nothing left to generate from its copy.
func (r *relay) mayBeStopped() bool {
	if !r.stream.EndsWithConnection {
		return false
	}
	if r.move == nil || r.move.copied.Load() == nil {
		// No call of the present move that stops the run was sent before the end.
		return r.stopIsPending()
	}
	return r.stopIsUnanswered(r.move) || r.move.stopped || r.stopIsPending()
}

// stopIsPending reports whether a call of an earlier move may have stopped the present run, whose stream has ended. It waits
// a while for the answers of open calls.
func (r *relay) stopIsPending() bool {
	if r.stoppedBy != nil {
		r.awaitOpenStops(r.stoppedBy)
	}
	return r.stopPending || r.stoppedBy != nil && r.stoppedBy.mayStopAgain()
}

// cancelMove ends the move that is in progress when the request ends.
func (r *relay) cancelMove() {
	m := r.move
	if m == nil {
		return
	}
	r.move = nil
	from := r.entry(m.from)
	r.cleanup(func(ctx context.Context) {
		<-m.done
		r.releaseDestination(m)
		r.freeMoved(ctx, from, m)
	})
}
