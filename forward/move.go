package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// A stream goes on at another engine, from its memory there, when its own is about to
// have no memory left, or is leaving. Without, an engine without memory preempts a stream
// and reads it anew, 3,500 to 5,200 tokens, and all its streams pause meanwhile; one that
// leaves breaks off those that outlast it. The memory of a stream, some 0.1 GB, passes in
// a few milliseconds. A move is the same run: also streams that may not be repeated move.

// move is a stream's way from one decode engine to another.
type move struct {
	from, to *route.Rated
	why      reason.Reason
	began    time.Time
	// need is the memory that is noted for the stream at the engine that it moves to.
	need int
	// done is closed once the outcome below is known.
	done chan struct{}
	// result names the stream's memory; stopped is set if its run has ended for the move,
	// and arrived if the memory is at the other engine.
	result  Prefilled
	stopped bool
	arrived bool
	err     error
}

const (
	// moveLook is the pause between two looks at whether a stream should move: others'
	// commitments are known about so late.
	moveLook = 100 * time.Millisecond
	// moveLead is how long before an engine has no memory left a stream leaves it: the
	// age of what is known of it, and the copying.
	moveLead = 300 * time.Millisecond
	// maxMoves bounds how often one stream moves: each time costs its memory's transfer.
	maxMoves = 4
	// moveCopy and moveStop bound the two calls of a move: the copying while the run goes
	// on, and the rest once it has stopped. Callers bear a pause of 300 ms (source: the
	// users' sheets).
	moveCopy = 500 * time.Millisecond
	moveStop = 400 * time.Millisecond
	// moveStops is how often the second call is made if it is not answered: its run may
	// have stopped.
	moveStops = 2
	// lastEvents is how many events of the longest answer may be left for it to stay: it
	// would end before it has moved.
	lastEvents = 4
	// tailPart is what an answer that has outgrown its caller's guess is expected to
	// generate yet, as a part of what it has: guesses are off by half in the mean
	// (source: the users' sheets).
	tailPart = 0.3
)

// considerMove begins a move if the stream should leave its engine, or ends one that has
// failed.
func (r *relay) considerMove(now time.Time) {
	if r.move != nil {
		r.abandonFailed()
		return
	}
	if !r.service.Engine.Moves || r.lastID == "" || r.moves >= maxMoves || now.Before(r.nextLook) {
		return
	}
	r.nextLook = now.Add(moveLook)
	if r.mostLeft() <= lastEvents*r.service.Engine.EventTokens {
		return
	}
	why := r.reasonToMove()
	if why == reason.None {
		return
	}
	need := r.needElsewhere()
	to := r.destination(why, need)
	if to == nil {
		return
	}
	r.beginMove(&move{from: r.decode, to: to, why: why, began: now, need: need, done: make(chan struct{})})
}

// reasonToMove says why the stream should leave its engine; none if it may stay.
func (r *relay) reasonToMove() reason.Reason {
	if r.leaving(r.decode.Name) {
		return reason.EngineLeaving
	}
	if r.freeAt(r.decode.Backend) < r.soonTaken() && r.drawn() {
		return reason.EngineFull
	}
	return reason.None
}

// drawn says whether it is for this stream to leave an engine without memory: for one
// that has outgrown what was expected of it, and of the others for about one. Who else has
// a stream there sees the same.
func (r *relay) drawn() bool {
	return r.committed > r.outgrown || r.Random()*float64(r.streamsAt(r.decode.Server)) < 1
}

// streamsAt is how many streams an engine has, of all instances.
func (r *relay) streamsAt(server *route.Server) int {
	return server.InFlight() + server.Others().InFlight
}

// soonTaken is the memory that the streams at the engine may take until a move from it
// is done.
func (r *relay) soonTaken() int {
	pause, known := r.pausesOf(r.service.Name).usual.Most()
	if !known {
		pause = r.config.EventPause
	}
	return int(float64(r.streamsAt(r.decode.Server)*r.service.Engine.EventTokens) * moveLead.Seconds() / max(pause, time.Millisecond).Seconds())
}

// generated is how many tokens the stream has.
func (r *relay) generated() int { return r.events * r.service.Engine.EventTokens }

// mostLeft is how many tokens the stream may generate yet.
func (r *relay) mostLeft() int { return r.request.Generation.MaxTokens - r.generated() }

// needElsewhere is the memory that the stream needs at an engine that it moves to.
func (r *relay) needElsewhere() int {
	left := max(r.expected-r.generated(), int(tailPart*float64(r.generated())))
	left = max(min(left, r.mostLeft()), 0)
	return r.request.Generation.PromptTokens + r.generated() + int(float64(left)*r.margin())
}

// destination chooses the engine to move to; nil without one. A stream whose engine
// leaves takes what would stay free for others.
func (r *relay) destination(why reason.Reason, need int) *route.Rated {
	r.tried = append(r.tried[:0], r.decode.Name)
	defer func() { r.tried = r.tried[:0] }()
	query := r.query()
	query.MemoryTokens, query.Zone = need, r.decode.Backend.Zone
	if why != reason.EngineLeaving {
		query.Spare = r.pooled() * r.spare()
	}
	return r.chooseBy(query, r.Gateway.decode, decodePool)
}

func (r *relay) beginMove(m *move) {
	r.move = m
	r.moves++
	m.to.Server.Hold(m.need)
	from, to, request := r.entry(m.from), r.entry(m.to), r.request
	go func() {
		defer close(m.done)
		m.run(r.ctx, r.Backends, from, to, request)
	}()
}

// run copies the stream's memory while it goes on, then stops it and copies the rest.
func (m *move) run(ctx context.Context, backends Backends, from, to *registry.Entry, request *Request) {
	if m.result, m.err = moveWithin(ctx, moveCopy, backends, from, to, request, false); m.err != nil {
		return
	}
	for range moveStops {
		var result Prefilled
		result, m.err = moveWithin(ctx, moveStop, backends, from, to, request, true)
		var refused *NotRun
		if m.err == nil || errors.As(m.err, &refused) {
			m.arrived = m.err == nil
			m.stopped = result != ""
			if result != "" {
				m.result = result
			}
			return
		}
	}
}

func moveWithin(ctx context.Context, limit time.Duration, backends Backends, from, to *registry.Entry, request *Request, last bool) (Prefilled, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return backends.Move(ctx, from, to, request, last)
}

// abandonFailed ends a move that has failed while its stream goes on.
func (r *relay) abandonFailed() {
	select {
	case <-r.move.done:
	default:
		return
	}
	if r.move.stopped {
		return
	}
	r.endMove("failed")
}

// endMove drops a move that is over, with what it has taken at the other engine.
func (r *relay) endMove(outcome string) {
	m := r.move
	r.move = nil
	r.decide(stepMove, outcome, "from", m.from.Name, "to", m.to.Name, "why", m.why, "need", m.need,
		"tookMillis", clock.Since(m.began).Milliseconds(), "err", resultOf(m.err))
	if outcome == moveDone {
		r.Metrics.Retried(m.why)
		return
	}
	m.to.Server.Hold(-m.need)
	from := r.entry(m.from)
	r.cleanup(func(ctx context.Context) { r.freeMoved(ctx, from, m) })
}

// freeMoved gives up the memory of a move that came to nothing.
func (r *relay) freeMoved(ctx context.Context, from *registry.Entry, m *move) {
	if m.result != "" {
		r.report("moved memory", from, r.Backends.Free(ctx, from, m.result))
	}
}

// moveDone is the outcome of a move after which the stream goes on.
const moveDone = "ok"

// moved takes the stream up where its memory is, if it broke off for a move. It says
// whether the stream goes on.
func (r *relay) moved() bool {
	if r.move == nil {
		return false
	}
	m := r.move
	<-m.done
	if !m.stopped || r.maySend() != nil {
		r.endMove("broken off")
		return false
	}
	r.unwatch()
	r.stream.Close()
	r.cut()
	r.buffer = r.buffer[:r.ready]
	r.behindLast()
	r.free()
	order := DecodeOrder{Source: r.entry(m.from), Result: m.result, LastEvent: r.request.LastEvent}
	if m.arrived && !r.leaving(m.to.Name) {
		r.decode, r.committed, r.outgrown = m.to, m.need, m.need
		if stream, err := r.decodeBy(order, 0); err == nil {
			r.endMove(moveDone)
			r.takeUp(stream)
			return r.ended == nil
		}
		r.uncommit()
	} else {
		m.to.Server.Hold(-m.need)
	}
	return r.backToSource(m, order)
}

// backToSource has a stream go on where it was stopped for a move that came to nothing.
func (r *relay) backToSource(m *move, order DecodeOrder) bool {
	r.decode, r.committed = m.from, 0
	r.grow(m.need)
	stream, err := r.decodeBy(order, 0)
	r.move = nil
	r.decide(stepMove, "back", "from", m.from.Name, "to", m.to.Name, "why", m.why, "err", resultOf(err))
	if err != nil {
		return false
	}
	r.takeUp(stream)
	return r.ended == nil
}

// cancelMove ends a move that is under way as the request ends.
func (r *relay) cancelMove() {
	m := r.move
	if m == nil {
		return
	}
	r.move = nil
	from := r.entry(m.from)
	r.cleanup(func(ctx context.Context) {
		<-m.done
		m.to.Server.Hold(-m.need)
		r.freeMoved(ctx, from, m)
	})
}
