package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/upstream"
)

// A graceful shutdown takes requests for as long as they are likely to end in time. Another instance serves those that are
// refused at once. What is left at its end is ended in two steps: first with a status where the caller has got nothing yet,
// which takes time to be written, and then where an answer is arriving, whose end may still come.

// shutdown holds the times of a graceful shutdown.
type shutdown struct{ began, ends time.Time }

// Stop begins a graceful shutdown, at whose end, the time of EndUnbegun, a new request would be ended. Requests that might
// outlast it are refused.
func (g *Gateway) Stop(now, ends time.Time) {
	if g.stopping.CompareAndSwap(nil, &shutdown{began: now, ends: ends}) {
		close(g.stopBegan)
	}
}

// Stopping reports whether a graceful shutdown has begun.
func (g *Gateway) Stopping() bool { return g.stopping.Load() != nil }

// requestShutdown holds the graceful shutdowns of the instances that an answer passes through.
type requestShutdown struct {
	// own is that of this instance.
	own *atomic.Pointer[shutdown]
	// sender is that of the sibling that handed the request over, once it is known to have begun.
	sender *atomic.Pointer[shutdown]
	// senderEnds returns the end of the sender's shutdown; zero if it has not begun. It is nil for a request of a caller.
	senderEnds func() time.Time
}

// shutdownOf returns the graceful shutdowns that a request depends on.
func (g *Gateway) shutdownOf(r *Request) requestShutdown {
	known := requestShutdown{own: &g.stopping, sender: new(atomic.Pointer[shutdown])}
	switch {
	case !r.SenderEnds.IsZero():
		known.sender.Store(&shutdown{ends: r.SenderEnds})
	case r.HandedOver != "" && g.SiblingEnds != nil:
		received := clock.Now()
		known.senderEnds = func() time.Time { return g.SiblingEnds(r.HandedOver, received) }
	}
	return known
}

// Load returns the shutdown that ends first; nil if there is none.
func (s *requestShutdown) Load() *shutdown {
	own, sender := s.own.Load(), s.ofSender()
	if sender == nil || own != nil && own.ends.Before(sender.ends) {
		return own
	}
	return sender
}

// ofSender returns the shutdown of the sibling that handed the request over; nil if it is not known to have begun.
func (s *requestShutdown) ofSender() *shutdown {
	if s.sender.Load() == nil && s.senderEnds != nil {
		if ends := s.senderEnds(); !ends.IsZero() {
			s.sender.CompareAndSwap(nil, &shutdown{ends: ends})
		}
	}
	return s.sender.Load()
}

// sinceOwn returns the time since the shutdown of this instance began; 0 if it did not.
func (s *requestShutdown) sinceOwn(now time.Time) time.Duration {
	own := s.own.Load()
	if own == nil {
		return 0
	}
	return now.Sub(own.began)
}

// endsWithin reports whether an instance that the answer passes through stops so soon. A stream whose move is under way then
// has no run, and would be cut although its engine could still end it.
func (f *flow) endsWithin(limit time.Duration) bool {
	stopping := f.stopping.Load()
	return stopping != nil && clock.Until(stopping.ends) < limit
}

// errEnded is the cause with which a graceful shutdown ends requests.
var errEnded = upstream.ErrShutdownOver

// EndUnbegun ends the requests of which the caller has nothing yet, and refuses those that come later. They get a status: 502
// if a backend server may have run them, 503 otherwise. An answer that is arriving is read on until End.
func (g *Gateway) EndUnbegun() { g.endUnbegun(errEnded) }

// End ends all requests. Callers that have a part of an answer get no status: their connections are closed.
func (g *Gateway) End() {
	g.EndUnbegun()
	g.endShutdown(errEnded)
}

// EndedByShutdown returns how many requests EndUnbegun has ended, and how many End has ended whose answer was arriving.
func (g *Gateway) EndedByShutdown() (unbegun, begun int) {
	return int(g.endedUnbegun.Load()), int(g.endedBegun.Load())
}

// States of an ending.
const (
	// endsUnbegun: the caller has nothing yet, and EndUnbegun ends the request.
	endsUnbegun = iota
	// endsLast: the answer is arriving, and End ends the request.
	endsLast
	// hasEnded: the request has been ended.
	hasEnded
)

// ending ends one request at the end of a graceful shutdown.
type ending struct {
	gateway *Gateway
	cancel  context.CancelCauseFunc
	state   atomic.Int32
	// stopWaiting ends the wait for the end of the shutdown. Only the request's own goroutines use it.
	stopWaiting func() bool
}

// endingKey is the key of the ending of a request in its context.
type endingKey struct{}

// untilEnd returns a context that ends with the caller's, and when the shutdown ends the request. detach must be called at the
// end of the request.
func (g *Gateway) untilEnd(caller context.Context) (ctx context.Context, detach func()) {
	ctx, cancel := context.WithCancelCause(caller)
	e := &ending{gateway: g, cancel: cancel}
	count := &g.endedUnbegun
	if g.unbegunOver.Err() != nil {
		// The request is refused.
		count = new(atomic.Int64)
	}
	e.stopWaiting = context.AfterFunc(g.unbegunOver, func() { e.end(endsUnbegun, count) })
	return context.WithValue(ctx, endingKey{}, e), func() { e.stopWaiting() }
}

// end ends the request if it is in a state.
func (e *ending) end(state int32, count *atomic.Int64) {
	if e.state.CompareAndSwap(state, hasEnded) {
		count.Add(1)
		e.cancel(errEnded)
	}
}

// AnswerBegins records that an answer to the request of a context is arriving. It is read until the very end of a graceful
// shutdown. AnswerBegins returns false if the shutdown has ended the request.
func AnswerBegins(ctx context.Context) bool {
	e, ok := ctx.Value(endingKey{}).(*ending)
	if !ok {
		return true
	}
	if e.state.CompareAndSwap(endsUnbegun, endsLast) {
		e.stopWaiting()
		e.stopWaiting = context.AfterFunc(e.gateway.shutdownOver, func() { e.end(endsLast, &e.gateway.endedBegun) })
	}
	return e.state.Load() != hasEnded
}

// stopTimeFactor is how much longer than the longest of the last calls a call may take for it to end before the instance stops.
const stopTimeFactor = 2

// stopsTooSoon reports whether the instance, or the sibling that handed the request over, may stop before the request would
// end. Another instance can serve it then.
func (f *flow) stopsTooSoon() bool { return f.stopsTooSoonAfter(0) }

// stopsTooSoonAfter is like stopsTooSoon, for a request that waits for a time before it is sent.
func (f *flow) stopsTooSoonAfter(wait time.Duration) bool {
	stopping := f.stopping.Load()
	if stopping == nil {
		return false
	}
	sent := clock.Now().Add(wait)
	left, since := stopping.ends.Sub(sent), f.stopping.sinceOwn(sent)
	switch {
	case f.unbegunOver.Err() != nil:
		return true
	case f.isGeneration():
		return since >= f.config.StreamGrace || f.streamStopsTooSoon(wait)
	case left < f.config.PlainShutdownMargin:
		return true
	case since < f.config.PlainGrace:
		return f.callIsLikelyCut(stopping, left)
	}
	return f.callStopsTooSoon(stopping, left)
}

// stopsUninformed reports whether the instance stops before it has got a list of servers. Other instances have one.
func (f *flow) stopsUninformed() bool { return f.Stopping() && len(f.View.Servers().ByRun) == 0 }

// callIsLikelyCut reports whether the probability that the end of a shutdown cuts off a plain call is more than maxCutChance, by the
// time that is left when the call is sent, and by the time that the last calls took. It is false if no call was measured.
func (f *flow) callIsLikelyCut(stopping *shutdown, left time.Duration) bool {
	if !f.deadline.After(stopping.ends) {
		return false
	}
	chance := f.callTimesOf(f.service.Name).partLongerThan(left, clock.Now())
	if chance <= maxCutChance {
		return false
	}
	f.record(stepStop, "too late", "leftMillis", left.Milliseconds(), "cutChance", hundredths(chance))
	return true
}

// callStopsTooSoon reports whether the end of a shutdown may cut off a plain call of the request, by the time that is left when the
// call is sent, and by the time that the last calls took.
func (f *flow) callStopsTooSoon(stopping *shutdown, left time.Duration) bool {
	longest, known := f.callTimesOf(f.service.Name).atMost(clock.Now())
	return f.deadline.After(stopping.ends) && (!known || left < stopTimeFactor*longest)
}

// errorAtRepeat returns the error of a plain request that is not sent to another server, because the instance may stop before its
// end; nil if it may be sent.
func (f *flow) errorAtRepeat() error {
	if stopping := f.stopping.Load(); len(f.sentTo) > 0 && stopping != nil && f.callStopsTooSoon(stopping, clock.Until(stopping.ends)) {
		return errStopping
	}
	return nil
}

// endedByStop reports whether the end of a graceful shutdown has ended the request.
func (f *flow) endedByStop() bool { return errors.Is(context.Cause(f.caller), errEnded) }

// endAtStop ends a request that the end of a graceful shutdown has interrupted.
func (f *flow) endAtStop(detail string) *Reply {
	if f.mayHaveRun {
		f.endedBy = reason.EndedByStop
	}
	return f.refuse(reason.Stopping, errEnded.Error()+": "+detail)
}
