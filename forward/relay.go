package forward

import (
	"bytes"
	"io"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
)

// relay hands a stream on to the caller, whole events at a time: a server may
// break off in the middle of one. Closing it ends the request.
type relay struct {
	*generation
	stream *Stream
	// buffer holds what was read and not yet handed on, ready the length of
	// the whole events in it.
	buffer  []byte
	ready   int
	scratch []byte
	// ended is the stream's end, once it was seen.
	ended  error
	events int
	// lastID is the id of the last whole event.
	lastID string
	last   time.Time
	gap    time.Duration
	first  time.Duration
	// reading is set if the engine had a prompt to read at the last event.
	reading bool
	closed  bool
	// move is the stream's move to another engine while it is under way, moves counts
	// them, and nextLook is when to look next whether it should move.
	move     *move
	moves    int
	nextLook time.Time
	// outgrown is the memory beyond which the stream takes more than was expected.
	outgrown int
}

// relayRead is how much is read at once; an event has some hundred bytes.
const relayRead = 4 << 10

func newRelay(g *generation, stream *Stream) *relay {
	return &relay{generation: g, stream: stream, scratch: make([]byte, relayRead), last: clock.Now(), outgrown: g.committed}
}

// eventEnd is the empty line that ends an event (WHATWG, server-sent events).
var eventEnd = []byte("\n\n")

// Read implements io.Reader. It returns io.EOF only after the proper end of
// the server's stream.
func (r *relay) Read(p []byte) (int, error) {
	for r.ready == 0 && r.ended == nil {
		r.fill()
	}
	if r.ready == 0 {
		return 0, r.ended
	}
	n := copy(p, r.buffer[:r.ready])
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[n:])]
	r.ready -= n
	return n, nil
}

// fill reads once from the server.
func (r *relay) fill() {
	n, err := r.stream.Read(r.scratch)
	if n > 0 {
		r.decode.Server.Heard(clock.Now())
	}
	r.buffer = append(r.buffer, r.scratch[:n]...)
	if end := bytes.LastIndex(r.buffer, eventEnd); end >= 0 {
		whole := r.buffer[:end+len(eventEnd)]
		r.arrived(bytes.Count(whole, eventEnd))
		r.lastID = lastID(whole, r.lastID)
		r.ready = len(whole)
		r.considerMove(r.last)
	}
	switch {
	case err == nil:
	case err == io.EOF:
		// What follows the last event is the server's too.
		r.ended = err
		r.ready = len(r.buffer)
	default:
		r.goOn(err)
	}
}

// goOn takes a broken stream up at another engine, if that may be. What arrived
// of an event that is not whole is dropped: it comes again.
func (r *relay) goOn(broken error) {
	r.ended = broken
	if r.moved() {
		return
	}
	r.unwatch()
	r.remember(r.ctx, r.decode, broken)
	if r.mayRerun() && clock.Now().Before(r.deadline) && (r.events == 0 || r.lastID != "") {
		r.stream.Close()
		r.cut()
		r.buffer = r.buffer[:r.ready]
		r.behindLast()
		r.decode.Server.Breaker.Failure(clock.Now())
		if stream, failed := r.rerun(broken); failed == nil {
			r.takeUp(stream)
		}
	}
}

// takeUp reads on from another engine's stream. An answer that is no stream of
// events, as an engine's own failure, is not a part of the first engine's.
func (r *relay) takeUp(next *Stream) {
	before := r.stream.Status
	r.stream = next
	if next.Status != before {
		r.decide(stepRetry, "failed", "status", next.Status)
		r.unwatch()
		return
	}
	r.ended = nil
}

// behindLast has the next run go on behind the last whole event.
func (r *relay) behindLast() {
	if r.lastID == "" {
		return
	}
	next := *r.request
	next.LastEvent = r.lastID
	r.request = &next
	r.need = max(r.need, r.request.Generation.PromptTokens+r.generated()+int(float64(r.expected-r.generated())*r.margin()))
}

// idField begins the line of an event that holds its id (WHATWG, server-sent
// events).
var idField = []byte("id:")

// lastID returns the id of the last event in whole that has one, or else the
// one before.
func lastID(whole []byte, before string) string {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			before = string(bytes.TrimSpace(id))
		}
	}
	return before
}

// arrived notes whole events.
func (r *relay) arrived(events int) {
	now := clock.Now()
	if r.events == 0 {
		r.readDone()
		r.first = now.Sub(r.request.Arrived)
		r.Metrics.FirstToken.WithLabelValues(r.service.Name).Observe(r.first.Seconds())
	} else {
		r.paused(now.Sub(r.last))
	}
	r.reading = r.decode.Server.WaitingTokens() > 0
	r.last = now
	r.events += events
	r.alive(r.events)
	r.grow(r.request.Generation.PromptTokens + r.generated())
}

// paused notes a pause between two events.
func (r *relay) paused(pause time.Duration) {
	r.gap = max(r.gap, pause)
	seen := r.pausesOf(r.service.Name)
	if r.reading || r.decode.Server.WaitingTokens() > 0 {
		seen.reading.Observe(pause)
		return
	}
	seen.usual.Observe(pause)
}

// Close implements io.Closer.
func (r *relay) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	r.cancelMove()
	r.unwatch()
	r.stream.Close()
	r.cut()
	r.free()
	departed := r.ctx.Err() != nil && clock.Now().Before(r.deadline)
	r.cancel()
	r.leave()
	if r.ended == io.EOF {
		r.completed()
	}
	if r.ended == io.EOF && r.events > 0 && !r.partial {
		r.sizesOf(r.service.Name).Ended(r.expected, r.generated())
	}
	why, detail := r.reason(departed)
	r.decide(stepStream, resultOf(r.ended), "events", r.events, "firstMillis", r.first.Milliseconds(), "longestGapMillis", r.gap.Milliseconds())
	r.close(r.stream.Status, why, detail)
	return nil
}

func (r *relay) reason(departed bool) (reason.Reason, string) {
	switch {
	case r.ended == io.EOF:
		return served(r.stream.Status), ""
	case departed:
		return reason.CallerGone, ""
	case r.ended != nil:
		return reason.StreamBroken, r.ended.Error()
	default:
		return reason.CallerGone, "the caller stopped reading"
	}
}

// logNotReturned says that a request's leavings have to lapse by themselves.
func logNotReturned(request, what, server string, err error) {
	klog.InfoS("Not given back; it lapses", "request", request, "what", what, "server", server, "err", err.Error())
}
