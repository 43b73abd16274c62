package forward

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// movable is how many events a stream has that is long enough to move: a second.
const movable = 100

// run is one run of a stream at an engine.
type streamRun struct {
	server string
	order  DecodeOrder
}

// movers plays engines that hand streams to each other.
type movers struct {
	*bench
	mu   sync.Mutex
	runs []streamRun
	// stopped has the run at hand end without its end.
	stopped *atomic.Bool
	// copied and stop answer the calls of a move; nil for success.
	copied func() (Prefilled, error)
	stop   func(stop func()) (Prefilled, error)
}

func newMovers(b *bench) *movers {
	m := &movers{bench: b}
	view := b.View.(*testView).view
	view.Services["llm"].Engine.Moves = true
	b.engines.decode = func(server string, order DecodeOrder) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.runs = append(m.runs, streamRun{server: server, order: order})
		return nil
	}
	b.engines.stream = func(ctx context.Context, _, lastEvent string) io.ReadCloser {
		first, _ := strconv.Atoi(lastEvent)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.stopped = new(atomic.Bool)
		return &stoppable{events: events{ctx: ctx, next: first + 1, last: movable, end: io.EOF}, stopped: m.stopped}
	}
	b.engines.move = m.move
	return m
}

func (m *movers) move(from, _ string, last bool) (Prefilled, error) {
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !last {
		if m.copied != nil {
			return m.copied()
		}
		return "copy", nil
	}
	stop := func() { stopped.Store(true) }
	if m.stop != nil {
		return m.stop(stop)
	}
	stop()
	return Prefilled("m-" + from), nil
}

// leaves has the engine at which the stream began leave after a while.
func (m *movers) leaves(after time.Duration) {
	time.AfterFunc(after, func() {
		m.mu.Lock()
		at := m.runs[0].server
		m.mu.Unlock()
		before := m.View.Servers()
		next := *before
		next.ByRun = make(map[string]*registry.Entry)
		for id, entry := range before.ByRun {
			changed := *entry
			changed.Draining = id == at
			next.ByRun[id] = &changed
		}
		m.believe(&next)
	})
}

// ran lists where the stream ran.
func (m *movers) ran() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var at []string
	for _, run := range m.runs {
		at = append(at, run.server)
	}
	return strings.Join(at, " ")
}

// stoppable is a stream that ends without its end once its run was stopped.
type stoppable struct {
	events
	stopped *atomic.Bool
}

func (s *stoppable) Read(p []byte) (int, error) {
	if s.rest == "" && s.stopped.Load() {
		return 0, errors.New("the stream ended early")
	}
	return s.events.Read(p)
}

func wholeMovable() string {
	var text strings.Builder
	for i := range movable {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return text.String()
}

// long makes a request whose stream has as many events as it may.
func (m *movers) long(id string) *Request {
	r := m.generation(id, testPrompt)
	r.Generation.MaxTokens = movable * 64
	return r
}

// A stream that may not be repeated leaves its engine with it, whole, and without being
// read or run anew.
func TestAStreamMovesOffAnEngineThatLeaves(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		m.leaves(300 * time.Millisecond)
		reply, body, err := b.read(m.long("a"))
		if err != nil || body != wholeMovable() || reply.Status != 200 {
			t.Fatalf("%v, %q", err, body)
		}
		first, second := m.runs[0], m.runs[1]
		if len(m.runs) != 2 || first.server == second.server || second.order.Source.ID != first.server ||
			second.order.Result != Prefilled("m-"+first.server) || second.order.LastEvent == "" {
			t.Errorf("%+v", m.runs)
		}
		if b.did("prefill") != 1 || b.did("copy") != 1 || b.did("stop") != 1 {
			t.Errorf("%v", b.engines.calls)
		}
		if reply.Fields[0].Value != first.server {
			t.Errorf("head of %v", reply.Fields)
		}
		b.nothingHeld()
	})
}

func TestEnginesThatDoNotMoveStreamsAreNotAsked(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		b.View.(*testView).view.Services["llm"].Engine.Moves = false
		m.leaves(300 * time.Millisecond)
		if _, body, err := b.read(m.long("a")); err != nil || body != wholeMovable() || b.did("copy") != 0 {
			t.Errorf("%v, %v", err, b.engines.calls)
		}
	})
}

// What fails of a move costs the caller nothing while the run goes on, and as little as
// may be once it was stopped.
func TestMovesThatFail(t *testing.T) {
	refused := &NotRun{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
	lost := errors.New("connection reset")
	for name, test := range map[string]struct {
		copied func() (Prefilled, error)
		stop   func(stop func()) (Prefilled, error)
		whole  bool
		ran    int
	}{
		"no room":                         {copied: func() (Prefilled, error) { return "", refused }, whole: true, ran: 1},
		"its copy is not answered":        {copied: func() (Prefilled, error) { return "", lost }, whole: true, ran: 1},
		"no room once it has stopped":     {stop: func(stop func()) (Prefilled, error) { stop(); return "kept", refused }, whole: true, ran: 2},
		"it does not stop":                {stop: func(func()) (Prefilled, error) { return "", refused }, whole: true, ran: 1},
		"whether it stopped is not known": {stop: func(stop func()) (Prefilled, error) { stop(); return "", lost }, whole: false, ran: 1},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(b *bench) {
				m := newMovers(b)
				m.copied, m.stop = test.copied, test.stop
				m.leaves(300 * time.Millisecond)
				_, body, err := b.read(m.long("a"))
				if whole := err == nil && body == wholeMovable(); whole != test.whole {
					t.Errorf("whole %v: %v, %d bytes", whole, err, len(body))
				}
				if len(m.runs) < test.ran || (test.ran == 1 && len(m.runs) != 1) {
					t.Errorf("ran at %s", m.ran())
				}
				if test.ran == 2 && (m.runs[1].server != m.runs[0].server || m.runs[1].order.Result != "kept") {
					t.Errorf("%+v", m.runs)
				}
				b.nothingHeld()
			})
		})
	}
}

// An answer to the call that stops a run was lost; the call is made once more.
func TestAStopThatIsNotAnsweredIsRepeated(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		calls := 0
		m.stop = func(stop func()) (Prefilled, error) {
			stop()
			if calls++; calls == 1 {
				return "", errors.New("connection reset")
			}
			return "kept", nil
		}
		m.leaves(300 * time.Millisecond)
		if _, body, err := b.read(m.long("a")); err != nil || body != wholeMovable() || len(m.runs) != 2 {
			t.Errorf("%v at %s", err, m.ran())
		}
	})
}

// full has others take so much of every engine but those that are named.
func (b *bench) full(tokens int, but ...string) {
	for _, name := range []string{"d1", "d2"} {
		if len(but) == 0 || but[0] != name {
			b.Fleet.Server(name).SetOthers(route.Commitment{InFlight: 6, Memory: tokens})
		}
	}
}

// A stream that needs more than was expected leaves an engine that has no more.
func TestAStreamThatOutgrowsItsEngineMoves(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		b.full(testMemory, "d1")
		time.AfterFunc(500*time.Millisecond, func() {
			b.Fleet.Server("d1").SetOthers(route.Commitment{InFlight: 6, Memory: testMemory - 9000})
			b.Fleet.Server("d2").SetOthers(route.Commitment{})
		})
		if _, body, err := b.read(m.long("a")); err != nil || body != wholeMovable() || m.ran() != "d1 d2" {
			t.Errorf("%v at %s", err, m.ran())
		}
		b.nothingHeld()
	})
}

func TestAStreamStaysWhereNoOtherHasRoom(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		b.full(testMemory, "d1")
		time.AfterFunc(500*time.Millisecond, func() {
			b.Fleet.Server("d1").SetOthers(route.Commitment{InFlight: 6, Memory: testMemory - 9000})
		})
		if _, body, err := b.read(m.long("a")); err != nil || body != wholeMovable() || m.ran() != "d1" || b.did("copy") != 0 {
			t.Errorf("%v at %s", err, m.ran())
		}
	})
}

// A caller that leaves in the middle of a move leaves nothing behind.
func TestACallerThatLeavesDuringAMove(t *testing.T) {
	play(t, func(b *bench) {
		m := newMovers(b)
		ctx, leave := context.WithCancel(context.Background())
		m.copied = func() (Prefilled, error) {
			leave()
			time.Sleep(50 * time.Millisecond)
			return "copy", nil
		}
		m.leaves(300 * time.Millisecond)
		reply := b.Serve(ctx, m.long("a"))
		if _, err := io.Copy(io.Discard, reply.Stream); err != nil {
			t.Logf("the stream ended with %v", err)
		}
		reply.Stream.Close()
		b.Wait()
		b.nothingHeld()
		for _, backend := range b.View.Servers().Decode["llm"] {
			if held := b.Fleet.Server(backend.Name).Own(); held != (route.Commitment{}) {
				t.Errorf("%s: %+v", backend.Name, held)
			}
		}
	})
}
