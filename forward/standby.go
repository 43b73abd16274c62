package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/wait"
)

// standby continues a stopped run at its source beside a call to the destination that has got no answer for a while.
// Engines keep the memory for a short time only, and a sound one may be silent for longer. The handle can be used once
// (source: the platform's protocol), so that one of the two calls is refused and not run.
type standby struct {
	// after is how long the destination may be silent.
	after  time.Duration
	move   *move
	source *registry.Entry
	// stopsOver is closed once no call can stop the run again at the source.
	stopsOver <-chan struct{}
	// recordCall records that the source is called, and mayRepeat reports whether it is called again after an error.
	recordCall func()
	mayRepeat  func(failed error) bool
	// stream is the stream at the source, if it continues there. cancel ends it.
	stream *Stream
	cancel context.CancelFunc
	// failed are the errors of the calls to the source.
	failed []error
}

// newStandby returns the standby of a move; nil if it has none.
func (r *relay) newStandby(m *move) *standby {
	after, stopsOver := r.stopWait(), m.stopsOver
	if !m.isDone() || !m.stopped {
		if m.mayStopAgain() {
			return nil
		}
		// The wait for the answer of the call that stopped the run has taken a part of the time for which engines keep the copy.
		after = min(after, (r.service.Engine.Handle-after)/2)
		stopsOver = closed
	}
	if after == 0 || !m.mayReturn() {
		return nil
	}
	return &standby{
		after: after, move: m, source: r.entry(m.from), stopsOver: stopsOver,
		recordCall: func() { r.recordRepeatedContinuation(m.from.Name, errSilent) },
		mayRepeat: func(failed error) bool {
			var notRun *NotRunError
			return (!errors.As(failed, &notRun) || !notRun.Sent) && wait.For(r.runCtx, continuationPause) && m.mayReturn() && r.checkSend() == nil
		},
	}
}

// closed is a closed channel.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// errSilent is why a run is continued at its source beside a call to the destination.
var errSilent = errors.New("the destination has not answered")

// errContinuedAtSource is the error of a call to the destination that was ended because the source continues the run.
var errContinuedAtSource = &NotRunError{Why: reason.HandoffRefused, Withheld: true, Detail: "the run continues where it was stopped"}

// decodeResult is the result of a call that continues a run.
type decodeResult struct {
	stream *Stream
	err    error
}

// closeStream ends a stream that is not used.
func (d decodeResult) closeStream() {
	if d.stream != nil {
		d.stream.Close()
	}
}

// decodeCall is a call that continues a run at an engine, on a new connection if that is set.
type decodeCall func(ctx context.Context, at *registry.Entry, newConnection bool) (*Stream, error)

// decode calls the destination, and the source too if there is no answer for a while. The context that ends the stream
// of the destination is ctx, and that of the source, whose stream is left in s, is derived from parent.
func (s *standby) decode(ctx, parent context.Context, call decodeCall, destination *registry.Entry, newConnection bool) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	first := callAsync(ctx, call, destination, newConnection)
	timer := time.NewTimer(s.after)
	defer timer.Stop()
	select {
	case got := <-first:
		return keepUnlessFailed(got, cancel)
	case <-timer.C:
	}
	select {
	case got := <-first:
		return keepUnlessFailed(got, cancel)
	case <-s.stopsOver:
		// A call that is still open might stop the run again at the source.
	}
	if !s.move.mayReturn() {
		return keepUnlessFailed(<-first, cancel)
	}
	return s.decodeAtBoth(parent, call, first, cancel)
}

// decodeAtBoth calls the source beside the call to the destination, of which first is the result and cancel ends the
// stream. A call to the source that may not have been read is repeated, as it would be without the destination
// (continueStopped): the destination may be silent for longer than the source keeps the memory.
func (s *standby) decodeAtBoth(parent context.Context, call decodeCall, first <-chan decodeResult, cancel context.CancelFunc) (*Stream, error) {
	sourceCtx, cancelSource := context.WithCancel(parent)
	for try := 1; ; try++ {
		s.recordCall()
		second := callAsync(sourceCtx, call, s.source, try > 1)
		select {
		case got := <-first:
			if got.err == nil {
				cancelSource()
				go func() { (<-second).closeStream() }()
				return keepUnlessFailed(got, cancel)
			}
			if other := <-second; other.err == nil {
				s.stream, s.cancel, got.err = other.stream, cancelSource, errContinuedAtSource
			} else {
				s.failed = append(s.failed, other.err)
				cancelSource()
			}
			return keepUnlessFailed(got, cancel)
		case other := <-second:
			if other.err == nil {
				s.stream, s.cancel = other.stream, cancelSource
				cancel()
				go func() { (<-first).closeStream() }()
				return nil, errContinuedAtSource
			}
			s.failed = append(s.failed, other.err)
			if try == continuationTries || !s.mayRepeat(other.err) {
				cancelSource()
				return keepUnlessFailed(<-first, cancel)
			}
		}
	}
}

func callAsync(ctx context.Context, call decodeCall, at *registry.Entry, newConnection bool) <-chan decodeResult {
	result := make(chan decodeResult, 1)
	go func() {
		stream, err := call(ctx, at, newConnection)
		result <- decodeResult{stream: stream, err: err}
	}()
	return result
}

// keepUnlessFailed returns a result, and ends its context if there is no stream. The context of a stream ends with its
// parent.
func keepUnlessFailed(got decodeResult, cancel context.CancelFunc) (*Stream, error) {
	if got.err != nil {
		cancel()
		return nil, got.err
	}
	return got.stream, nil
}

// recordStandby records the outcomes of the calls to the source that failed.
func (r *relay) recordStandby(s *standby) {
	if s == nil {
		return
	}
	unknown := false
	for _, failed := range s.failed {
		r.recordSend(r.ctx, s.move.from, failed)
		unknown = unknown || !isNotRun(failed)
	}
	if unknown {
		r.brokenAt = append(r.brokenAt, s.move.from.Name)
	}
	s.failed = nil
}

// continueAtStandby goes on with the stream at the source, which continued the run while the destination was silent.
func (r *relay) continueAtStandby(s *standby) error {
	r.releaseDecode()
	// The stream may have to move again.
	r.brokenAt = append(r.brokenAt, s.move.to.Name)
	r.decode, r.committed = s.move.from, 0
	r.grow(s.move.need)
	r.sentTo = append(r.sentTo, r.decode.Name)
	r.cancelRun, r.mayHaveRun = s.cancel, true
	r.endRun = sync.OnceFunc(r.decode.Server.RequestSent(0))
	r.recordSent(clock.Now())
	r.record(stepDecode, resultOf(nil), "server", r.decode.Name, "version", s.source.Release, "besides", s.move.to.Name)
	if err := r.continueWith(s.stream, metrics.ContinuedByMove); err != nil {
		return err
	}
	r.stoppedBy = s.move
	return nil
}
