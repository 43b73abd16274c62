package forward

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
)

// Guards against a stopped stream that is cut because the engine that keeps its memory could not be connected to at once.
func TestStoppedStreamGoesOnAfterAFailedConnection(t *testing.T) {
	for name, failed := range map[string]*NotRunError{
		"refused":  {Why: reason.ConnectFailed, Detail: "connection reset"},
		"at limit": {Why: reason.ConnectFailed, AtLimit: true, Detail: "at the limit of connections"},
	} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				m := newMovingBench(b)
				decode := b.engines.decode
				b.engines.decode = func(server string, order DecodeRequest) error {
					if b.callCount("decode") == 2 {
						return failed
					}
					return decode(server, order)
				}
				m.onStop = func(stop func()) (PrefillHandle, error) {
					stop()
					return "kept", &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
				}
				m.drainAfter(300 * time.Millisecond)
				if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() {
					t.Errorf("%d of %d bytes, error %v, ran at %s", len(body), len(wholeMovable()), err, m.engineNames())
				}
				b.checkNothingHeld()
			})
		})
	}
}

// silentEngines are engines of which one reads each request that continues a stream, and answers none of them.
type silentEngines struct {
	*engines
	silent func(server string, order DecodeRequest) bool
}

func (e *silentEngines) Decode(ctx context.Context, server *registry.Entry, r *Request, order DecodeRequest, deadline time.Time) (*Stream, error) {
	if e.silent(server.ID, order) {
		e.record("decode", server.ID)
		<-ctx.Done()
		return nil, errors.Wrap(context.Cause(ctx), "no answer")
	}
	return e.engines.Decode(ctx, server, r, order, deadline)
}

// Guards against several waits in a row for a destination that has stayed silent for as long as a sound server may.
func TestStoppedStreamIsNotSentAgainToASilentDestination(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		b.addDecodeEngine("d3")
		silent := ""
		var mu sync.Mutex
		b.Gateway.Backends = &silentEngines{engines: b.engines, silent: func(server string, order DecodeRequest) bool {
			mu.Lock()
			defer mu.Unlock()
			if order.LastEvent != "" && silent == "" {
				silent = server
			}
			return server == silent
		}}
		m.drainAfter(300 * time.Millisecond)
		r := m.longRequest("a")
		r.Target, r.Path = "/resume/x", "/resume/x"
		_, body, err := b.read(r)
		if calls := b.callCount("decode " + silent); err != nil || body != wholeMovable() || calls != 1 {
			t.Errorf("%d of %d bytes, error %v, %d calls to %s, calls %v", len(body), len(wholeMovable()), err, calls, silent, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// endsWithRequest is a stream that ends as the context of its request does.
type endsWithRequest struct {
	io.ReadCloser
	ctx context.Context
}

func (s *endsWithRequest) Read(p []byte) (int, error) {
	if s.ctx.Err() != nil {
		return 0, s.ctx.Err()
	}
	return s.ReadCloser.Read(p)
}

// Guards against a request to an engine that continues a stream whose caller has disconnected.
func TestStreamDoesNotGoOnWhoseCallerDisconnects(t *testing.T) {
	for name, answer := range map[string]time.Duration{"stopped": 0, "stop unanswered": time.Second} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				m := newMovingBench(b)
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				m.onStop = func(stop func()) (PrefillHandle, error) {
					leave()
					time.Sleep(answer)
					stop()
					return "kept", nil
				}
				stream := b.engines.stream
				b.engines.stream = func(ctx context.Context, server, lastEvent string) io.ReadCloser {
					return &endsWithRequest{ReadCloser: stream(ctx, server, lastEvent), ctx: ctx}
				}
				m.drainAfter(300 * time.Millisecond)
				reply := b.Serve(ctx, m.longRequest("a"))
				_, err := io.ReadAll(reply.Stream)
				reply.Stream.Close()
				b.Wait()
				if err == nil || b.callCount("decode") != 1 {
					t.Errorf("error %v, calls %v", err, b.engines.calls)
				}
				b.checkNothingHeld()
			})
		})
	}
}

// openAfterStop is a stream whose connection stays open without a byte once its run was stopped.
type openAfterStop struct {
	events
	stopped *atomic.Bool
}

func (s *openAfterStop) Read(p []byte) (int, error) {
	if s.rest == "" && s.stopped.Load() {
		<-s.ctx.Done()
		return 0, s.ctx.Err()
	}
	return s.events.Read(p)
}

// Guards against a stopped stream that waits for its deadline because the end of its connection does not arrive.
func TestStoppedStreamGoesOnWhoseConnectionStaysOpen(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			withBench(t, func(b *bench) {
				m := newMovingBench(b)
				b.engines.stream = func(ctx context.Context, _, lastEvent string) io.ReadCloser {
					first, _ := strconv.Atoi(lastEvent)
					m.mu.Lock()
					defer m.mu.Unlock()
					m.stopped = new(atomic.Bool)
					return &openAfterStop{events: events{ctx: ctx, next: first + 1, last: movableEvents, end: io.EOF}, stopped: m.stopped}
				}
				m.drainAfter(300 * time.Millisecond)
				r := m.longRequest("a")
				r.Target, r.Path = path, path
				reply := b.Serve(context.Background(), r)
				body, err := io.ReadAll(reply.Stream)
				pause := reply.Stream.(*relay).longestPause
				reply.Stream.Close()
				b.Wait()
				if err != nil || string(body) != wholeMovable() || b.callCount("prefill") != 1 || pause > r.Deadline.Sub(r.Arrived)/10 {
					t.Errorf("%d of %d bytes, error %v, ran at %s, a pause of %s, calls %v", len(body), len(wholeMovable()), err, m.engineNames(), pause, b.engines.calls)
				}
				b.checkNothingHeld()
			})
		})
	}
}

// Guards against a stream without framing that is cut because its stop is answered after the engines have dropped its memory.
func TestStreamWithoutFramingGoesOnBeforeItsMemoryLapses(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newClosingBench(b)
		var lapses atomic.Pointer[time.Time]
		m.onStop = func(stop func()) (PrefillHandle, error) {
			at := time.Now().Add(m.View.Table().Services["llm"].Engine.Handle)
			if lapses.CompareAndSwap(nil, &at) {
				stop()
			}
			time.Sleep(time.Second)
			return "late", nil
		}
		decode := b.engines.decode
		b.engines.decode = func(server string, order DecodeRequest) error {
			if order.LastEvent != "" && time.Now().After(*lapses.Load()) {
				return &NotRunError{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
			}
			return decode(server, order)
		}
		m.drainAfter(300 * time.Millisecond)
		m.expectWholeFromCopy()
		b.checkNothingHeld()
	})
}

// Guards against a whole stream without framing that is reported as cut, because the call that was to stop it is refused late.
func TestStreamWithoutFramingThatEndsBesideALateRefusalIsComplete(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newClosingBench(b)
		m.onStop = func(func()) (PrefillHandle, error) {
			time.Sleep(1200 * time.Millisecond)
			return "", noSuchRun
		}
		decode := b.engines.decode
		b.engines.decode = func(server string, order DecodeRequest) error {
			if order.LastEvent != "" {
				return &NotRunError{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
			}
			return decode(server, order)
		}
		m.drainAfter(300 * time.Millisecond)
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() {
			t.Errorf("error %v, %d of %d bytes", err, len(body), len(wholeMovable()))
		}
		b.checkNothingHeld()
	})
}
