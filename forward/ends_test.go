package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
)

// insideEvent is a stream that ends without an error inside its third event.
const insideEvent = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\nda"

// endInsideEvent makes the first run of each request end inside an event, and later runs complete.
func (b *bench) endInsideEvent() {
	runs := 0
	b.engines.stream = func(context.Context, string, string) io.ReadCloser {
		runs++
		if runs > 1 {
			return io.NopCloser(strings.NewReader("id: 3\ndata: 3\n\n"))
		}
		return io.NopCloser(strings.NewReader(insideEvent))
	}
}

func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for name, endsWithConnection := range map[string]bool{"by its connection": true, "by its chunks": false} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.engines.endsWithConnection = endsWithConnection
				b.endInsideEvent()
				_, body, err := b.read(b.generation("a", testPromptTokens))
				if err == nil {
					b.t.Fatalf("the caller got %q as complete", body)
				}
				b.checkNothingHeld()
			})
		})
	}
}

func TestResumableStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.endsWithConnection = true
		b.endInsideEvent()
		r := b.generation("a", testPromptTokens)
		r.Path, r.Target = "/resume/x", "/resume/x"
		_, body, err := b.read(r)
		if want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"; err != nil || body != want {
			b.t.Fatalf("the caller got %q, %v", body, err)
		}
		b.checkNothingHeld()
	})
}

// closing is a movable stream whose stop for a move closes its connection between two events.
type closing struct{ stoppable }

func (c *closing) Read(p []byte) (int, error) {
	if c.rest == "" && c.stopped.Load() {
		return 0, io.EOF
	}
	return c.events.Read(p)
}

// newClosingBench is newMovingBench with streams that end with their connection.
func newClosingBench(b *bench) *movingBench {
	m := newMovingBench(b)
	b.engines.endsWithConnection = true
	stream := b.engines.stream
	b.engines.stream = func(ctx context.Context, server, lastEvent string) io.ReadCloser {
		return &closing{stoppable: *stream(ctx, server, lastEvent).(*stoppable)}
	}
	return m
}

func TestStopForAMoveThatClosesTheConnectionIsNotTheEnd(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newClosingBench(b)
		m.drainAfter(300 * time.Millisecond)
		_, body, err := b.read(m.longRequest("a"))
		if err != nil || body != wholeMovable() || len(m.runs) != 2 {
			b.t.Fatalf("%d runs, error %v, body %q", len(m.runs), err, body)
		}
		b.checkNothingHeld()
	})
}

// expectWholeFromCopy expects that a stream is whole, and that its second run goes on from the copy made before its stop.
func (m *movingBench) expectWholeFromCopy() {
	m.t.Helper()
	_, body, err := m.read(m.longRequest("a"))
	if err != nil || body != wholeMovable() || len(m.runs) != 2 || m.runs[1].order.Result != "copy" {
		m.t.Errorf("error %v, %d of %d bytes, runs %+v", err, len(body), len(wholeMovable()), m.runs)
	}
}

func TestUnansweredStopThatClosesTheConnectionIsNotTheEnd(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newClosingBench(b)
		m.drainAfter(300 * time.Millisecond)
		m.onStop = func(stop func()) (PrefillHandle, error) {
			stop()
			return "", errors.New("no answer")
		}
		m.expectWholeFromCopy()
		b.checkNothingHeld()
	})
}

func TestStreamWithoutFramingThatEndsBesideARefusedMoveIsComplete(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newClosingBench(b)
		m.drainAfter(300 * time.Millisecond)
		m.onStop = func(func()) (PrefillHandle, error) { return "", &NotRunError{Why: reason.BackendRefused} }
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() {
			b.t.Fatalf("error %v, body %q", err, body)
		}
		b.checkNothingHeld()
	})
}

// crashAtEnd makes streams end with their connection after two of three events, while the engine's
// process exits.
func (b *bench) crashAtEnd() {
	b.engines.endsWithConnection = true
	b.engines.crashed = map[string]bool{"d1": true, "d2": true}
	b.engines.stream = func(context.Context, string, string) io.ReadCloser {
		return io.NopCloser(strings.NewReader("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"))
	}
}

func TestCrashThatClosesTheConnectionBetweenEventsIsNotTheEnd(t *testing.T) {
	withBench(t, func(b *bench) {
		b.crashAtEnd()
		if _, body, err := b.read(b.generation("a", testPromptTokens)); err == nil {
			b.t.Fatalf("the caller got %q as complete", body)
		}
		b.checkNothingHeld()
	})
}

// drainAtStart makes each decode engine begin to leave when it gets a stream.
func (b *bench) drainAtStart() {
	b.engines.decode = func(server string, _ DecodeRequest) error {
		b.drain(server)
		return nil
	}
}

// Guards against a stream that passes as complete because its engine exits while it leaves, with the stream still
// running.
func TestStreamOfALeavingEngineThatExitsIsNotComplete(t *testing.T) {
	withBench(t, func(b *bench) {
		b.crashAtEnd()
		b.drainAtStart()
		if _, body, err := b.read(b.generation("a", testPromptTokens)); err == nil {
			b.t.Fatalf("the caller got %q as complete", body)
		}
		b.checkNothingHeld()
	})
}

// Guards against a stream that is broken off at its end because its engine is leaving, though its process goes on.
func TestStreamWithoutFramingOfALeavingEngineThatGoesOnIsComplete(t *testing.T) {
	withBench(t, func(b *bench) {
		b.crashAtEnd()
		b.engines.crashed = nil
		b.drainAtStart()
		if _, body, err := b.read(b.generation("a", testPromptTokens)); err != nil {
			b.t.Fatalf("the caller got %q, %v", body, err)
		}
		b.checkNothingHeld()
	})
}

// Guards against an engine that sends bytes without end which are no event, and that the relay keeps in memory.
func TestEventWithoutEndIsBrokenOff(t *testing.T) {
	withBench(t, func(b *bench) {
		endless := &endlessText{}
		b.engines.stream = func(context.Context, string, string) io.ReadCloser { return io.NopCloser(endless) }
		reply, body, err := b.read(b.generation("a", testPromptTokens))
		if reply.Status != statusBadGateway || reply.Stream != nil || endless.sent > maxEventBytes+relayRead {
			b.t.Errorf("the caller got status %d, %d bytes, %v, after %d bytes", reply.Status, len(body), err, endless.sent)
		}
		b.checkNothingHeld()
	})
}

// endlessText is 16 MB of text without an empty line.
type endlessText struct{ sent int }

func (e *endlessText) Read(p []byte) (int, error) {
	if e.sent >= 16<<20 {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = 'x'
	}
	e.sent += len(p)
	return len(p), nil
}

// Guards against an answer that is no stream of events and larger than what is held of it, and that is cut short.
func TestLargeAnswerWithoutEventsIsWhole(t *testing.T) {
	withBench(t, func(b *bench) {
		whole := strings.Repeat("failure ", maxEventBytes/4)
		b.engines.statusOf = func(string) int { return 500 }
		b.engines.stream = func(context.Context, string, string) io.ReadCloser { return io.NopCloser(strings.NewReader(whole)) }
		if _, body, err := b.read(b.generation("a", testPromptTokens)); err != nil || body != whole {
			b.t.Errorf("the caller got %d of %d bytes, %v", len(body), len(whole), err)
		}
		b.checkNothingHeld()
	})
}
