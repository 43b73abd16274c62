package forward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// movableEvents is the number of events of a stream that lasts a second, which is long
// enough to move it.
const movableEvents = 100

// streamRun is one decode call for a stream.
type streamRun struct {
	server string
	order  DecodeRequest
}

// movingBench is a bench whose engines can move streams to each other.
type movingBench struct {
	*bench
	mu   sync.Mutex
	runs []streamRun
	// stopped makes the current run's stream end early.
	stopped *atomic.Bool
	// onCopy and onStop return the results of the two calls that move a running stream to
	// another engine; nil means success.
	onCopy func() (PrefillHandle, error)
	onStop func(stop func()) (PrefillHandle, error)
}

func newMovingBench(b *bench) *movingBench {
	m := &movingBench{bench: b}
	view := b.View.(*testView).view
	view.Services["llm"].Engine.Moves = true
	b.engines.decode = func(server string, order DecodeRequest) error {
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
		return &stoppable{events: events{ctx: ctx, next: first + 1, last: movableEvents, end: io.EOF}, stopped: m.stopped}
	}
	b.engines.move = m.move
	return m
}

func (m *movingBench) move(from, _ string, last bool) (PrefillHandle, error) {
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !last {
		if m.onCopy != nil {
			return m.onCopy()
		}
		return "copy", nil
	}
	stop := func() { stopped.Store(true) }
	if m.onStop != nil {
		return m.onStop(stop)
	}
	stop()
	return PrefillHandle("m-" + from), nil
}

// drainAfter marks the engine at which the stream began as draining after a duration.
func (m *movingBench) drainAfter(after time.Duration) {
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
		m.setServers(&next)
	})
}

// engineNames returns the engines that ran the stream, in order.
func (m *movingBench) engineNames() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var at []string
	for _, run := range m.runs {
		at = append(at, run.server)
	}
	return strings.Join(at, " ")
}

// stoppable is a stream that ends early once its run was stopped.
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

// wholeMovable is what the caller of a stream of movableEvents events gets.
func wholeMovable() string {
	var text strings.Builder
	for i := range movableEvents {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return text.String()
}

// longRequest returns a request that allows movableEvents events.
func (m *movingBench) longRequest(id string) *Request {
	r := m.generation(id, testPromptTokens)
	r.Generation.MaxTokens = movableEvents * 64
	return r
}

// A stream whose route forbids repeats moves off a draining engine. It stays complete, and
// neither its prefill nor its generation is repeated.
func TestStreamMovesOffDrainingEngine(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		m.drainAfter(300 * time.Millisecond)
		reply, body, err := b.read(m.longRequest("a"))
		if err != nil || body != wholeMovable() || reply.Status != 200 {
			t.Fatalf("error %v, body %q", err, body)
		}
		first, second := m.runs[0], m.runs[1]
		if len(m.runs) != 2 || first.server == second.server || second.order.Source.ID != first.server ||
			second.order.Result != PrefillHandle("m-"+first.server) || second.order.LastEvent == "" {
			t.Errorf("runs %+v", m.runs)
		}
		if b.callCount("prefill") != 1 || b.callCount("copy") != 1 || b.callCount("stop") != 1 {
			t.Errorf("calls %v", b.engines.calls)
		}
		if reply.Fields[0].Value != first.server {
			t.Errorf("header fields %v", reply.Fields)
		}
		b.checkNothingHeld()
	})
}

func TestEnginesWithoutMoveSupportGetNoMoveCalls(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		b.View.(*testView).view.Services["llm"].Engine.Moves = false
		m.drainAfter(300 * time.Millisecond)
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() || b.callCount("copy") != 0 {
			t.Errorf("error %v, calls %v", err, b.engines.calls)
		}
	})
}

// A move that fails before the run has stopped doesn't affect the caller's stream. After the
// stop, the stream continues at its old engine if that still has its memory.
func TestFailedMoves(t *testing.T) {
	refused := &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
	lost := errors.New("connection reset")
	for name, test := range map[string]struct {
		copied func() (PrefillHandle, error)
		stop   func(stop func()) (PrefillHandle, error)
		whole  bool
		ran    int
		// result is the memory from which the second run goes on, and back is set if it does so where the first one ran.
		result PrefillHandle
		back   bool
	}{
		"no memory":                {copied: func() (PrefillHandle, error) { return "", refused }, whole: true, ran: 1},
		"copy call unanswered":     {copied: func() (PrefillHandle, error) { return "", lost }, whole: true, ran: 1},
		"no memory after the stop": {stop: func(stop func()) (PrefillHandle, error) { stop(); return "kept", refused }, whole: true, ran: 2, result: "kept", back: true},
		"stop refused":             {stop: func(func()) (PrefillHandle, error) { return "", refused }, whole: true, ran: 1},
		"stop calls unanswered":    {stop: func(stop func()) (PrefillHandle, error) { stop(); return "", lost }, whole: true, ran: 2, result: "copy"},
	} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				m := newMovingBench(b)
				m.onCopy, m.onStop = test.copied, test.stop
				m.drainAfter(300 * time.Millisecond)
				_, body, err := b.read(m.longRequest("a"))
				if whole := err == nil && body == wholeMovable(); whole != test.whole {
					t.Errorf("whole stream %v: %v, %d bytes", whole, err, len(body))
				}
				if len(m.runs) < test.ran || (test.ran == 1 && len(m.runs) != 1) {
					t.Errorf("ran at %s", m.engineNames())
				}
				if test.ran == 2 && ((m.runs[1].server == m.runs[0].server) != test.back || m.runs[1].order.Result != test.result) {
					t.Errorf("runs %+v", m.runs)
				}
				b.checkNothingHeld()
			})
		})
	}
}

// The answer to the call that stops a run is lost, and the call is repeated once.
func TestUnansweredStopCallIsRepeated(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		calls := 0
		m.onStop = func(stop func()) (PrefillHandle, error) {
			stop()
			if calls++; calls == 1 {
				return "", errors.New("connection reset")
			}
			return "kept", nil
		}
		m.drainAfter(300 * time.Millisecond)
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() || len(m.runs) != 2 {
			t.Errorf("error %v, ran at %s", err, m.engineNames())
		}
	})
}

// fillEngines makes other instances hold tokens at each decode engine, except the one
// named first in except.
func (b *bench) fillEngines(tokens int, except ...string) {
	for _, name := range []string{"d1", "d2"} {
		if len(except) == 0 || except[0] != name {
			b.Fleet.Server(name).SetOthers(route.Commitment{InFlight: 6, Memory: tokens})
		}
	}
}

// A stream that needs more memory than expected moves off an engine that has none left.
func TestAStreamThatOutgrowsItsEngineMoves(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		b.fillEngines(testMemoryTokens, "d1")
		time.AfterFunc(500*time.Millisecond, func() {
			b.Fleet.Server("d1").SetOthers(route.Commitment{InFlight: 6, Memory: testMemoryTokens - 9000})
			b.Fleet.Server("d2").SetOthers(route.Commitment{})
		})
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() || m.engineNames() != "d1 d2" {
			t.Errorf("error %v, ran at %s", err, m.engineNames())
		}
		b.checkNothingHeld()
	})
}

func TestStreamStaysIfNoOtherEngineHasMemory(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		b.fillEngines(testMemoryTokens, "d1")
		time.AfterFunc(500*time.Millisecond, func() {
			b.Fleet.Server("d1").SetOthers(route.Commitment{InFlight: 6, Memory: testMemoryTokens - 9000})
		})
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() || m.engineNames() != "d1" || b.callCount("copy") != 0 {
			t.Errorf("error %v, ran at %s", err, m.engineNames())
		}
	})
}

// addDecodeEngine adds an empty decode engine.
func (b *bench) addDecodeEngine(name string) {
	before := b.View.Servers()
	next := *before
	next.ByRun, next.ByID, next.Decode = maps.Clone(before.ByRun), maps.Clone(before.ByID), maps.Clone(before.Decode)
	next.ByRun[name] = &registry.Entry{ID: name, Service: "llm", Zone: "z", Address: name}
	next.ByID[name] = next.ByRun[name]
	next.Decode["llm"] = append(slices.Clone(before.Decode["llm"]), &table.BackendView{Name: name, Pool: "llm", Zone: "z", MemoryTokens: testMemoryTokens})
	backends := make(map[string]*table.BackendView)
	for _, pool := range []map[string][]*table.BackendView{next.Prefill, next.Decode, next.Plain} {
		for _, servers := range pool {
			for _, server := range servers {
				backends[server.Name] = server
			}
		}
	}
	b.Fleet.Adopt(&table.View{Backends: backends})
	b.setServers(&next)
}

// A stream breaks off during its move, the destination answers the continuation with a failure,
// and so does the next engine. The end of the second failure must not pass for the end of the
// stream, and the log must show the status that the caller got.
func TestTwoFailedContinuationsEndStreamWithError(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		b.addDecodeEngine("d3")
		b.engines.statusOf = func(string) int {
			if b.callCount("decode") > 1 {
				return 500
			}
			return 200
		}
		m.drainAfter(300 * time.Millisecond)
		r := m.longRequest("a")
		r.Target, r.Path = "/resume/x", "/resume/x"
		reply := b.Serve(context.Background(), r)
		relayed := reply.Stream.(*relay)
		body, err := io.ReadAll(reply.Stream)
		reply.Stream.Close()
		b.Wait()
		if err == nil || !strings.HasPrefix(wholeMovable(), string(body)) {
			t.Errorf("error %v after %d of %d bytes, ran at %s", err, len(body), len(wholeMovable()), m.engineNames())
		}
		if b.callCount("decode") != 3 {
			t.Errorf("%d decode calls, want the first, the move and the rerun", b.callCount("decode"))
		}
		if why, _ := relayed.reason(false); why != reason.StreamBroken || relayed.status != reply.Status {
			t.Errorf("logged status %d, reason %s; the caller got %d", relayed.status, why, reply.Status)
		}
		b.checkNothingHeld()
	})
}

// failedMove is a move whose stream cannot continue at the destination.
type failedMove struct {
	m       *movingBench
	relayed *relay
	err     error
	from    string
}

// failMove moves a stream off its engine, which stops it. answer returns the result of each later
// decode call, and statusOf its status.
func failMove(b *bench, target string, answer func(call int, server string) error, statusOf func(call int) int) failedMove {
	m := newMovingBench(b)
	b.addDecodeEngine("d3")
	decode := b.engines.decode
	b.engines.decode = func(server string, order DecodeRequest) error {
		if call := b.callCount("decode"); call > 1 && answer != nil {
			if err := answer(call, server); err != nil {
				return err
			}
		}
		return decode(server, order)
	}
	if statusOf != nil {
		b.engines.statusOf = func(string) int { return statusOf(b.callCount("decode")) }
	}
	m.onStop = func(stop func()) (PrefillHandle, error) {
		stop()
		// Four failures in a row: one more opens the breaker of the engine where the stream runs.
		for range 4 {
			b.Fleet.Server(m.runs[0].server).Breaker.Failure(time.Now())
		}
		return "kept", nil
	}
	m.drainAfter(300 * time.Millisecond)
	r := m.longRequest("a")
	r.Target, r.Path = target, target
	reply := b.Serve(context.Background(), r)
	_, err := io.ReadAll(reply.Stream)
	reply.Stream.Close()
	b.Wait()
	return failedMove{m: m, relayed: reply.Stream.(*relay), err: err, from: m.runs[0].server}
}

// second returns an answer function that fails the second decode call, which goes to the
// destination of the move.
func second(err error) func(int, string) error {
	return func(call int, _ string) error {
		if call == 2 {
			return err
		}
		return nil
	}
}

// logged returns the outcomes of the logged moves.
func (f failedMove) logged() (outcomes []string) {
	for _, made := range f.relayed.decisions {
		if made.step == stepMove {
			outcomes = append(outcomes, made.outcome)
		}
	}
	return outcomes
}

// A stream is stopped at its engine for a move, and its destination answers with a failure. The
// engine that stopped the run as planned must not count as one that broke off, and neither must
// the destination, whose connection is sound. The log must not name the move as done.
func TestDestinationThatAnswersWithFailureIsNoCrash(t *testing.T) {
	withBench(t, func(b *bench) {
		f := failMove(b, "/resume/x", nil, func(call int) int {
			if call == 2 {
				return 500
			}
			return 200
		})
		if f.err != nil || len(f.m.runs) != 3 || f.m.runs[2].server == f.m.runs[1].server {
			t.Errorf("error %v, ran at %s", f.err, f.m.engineNames())
		}
		if b.callCount("check") != 0 {
			t.Errorf("engines were checked for a crash: %v", b.engines.calls)
		}
		if state := b.Fleet.Server(f.from).Breaker.State(time.Now()); state != route.BreakerClosed {
			t.Errorf("the breaker of the engine that stopped the run is %s", state)
		}
		if got := f.logged(); !slices.Equal(got, []string{"broken off"}) {
			t.Errorf("logged moves %q", got)
		}
		b.checkNothingHeld()
	})
}

// A stream goes back to its engine after its destination refused it, and the engine answers with
// a failure. The log must not name the stream as taken up there.
func TestFailureOfEngineThatStreamReturnsToIsLogged(t *testing.T) {
	withBench(t, func(b *bench) {
		refused := &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
		f := failMove(b, "/stream/x", second(refused), func(call int) int {
			if call == 3 {
				return 500
			}
			return 200
		})
		for _, made := range f.relayed.decisions {
			if made.step == stepMove && (made.outcome != "back" || slices.Contains(made.inputs, any("ok"))) {
				t.Errorf("logged move %s, %v", made.outcome, made.inputs)
			}
		}
		if f.err == nil || !slices.Equal(f.logged(), []string{"back"}) {
			t.Errorf("error %v, logged moves %q", f.err, f.logged())
		}
		if b.callCount("check") != 0 {
			t.Errorf("engines were checked for a crash: %v", b.engines.calls)
		}
	})
}

// The connection to the destination of a move breaks before its answer. The destination may have
// crashed and is checked, the engine that stopped the run is not, and a rerun avoids the
// destination.
func TestLostDestinationIsBlamed(t *testing.T) {
	withBench(t, func(b *bench) {
		to := ""
		f := failMove(b, "/resume/x", func(call int, server string) error {
			switch call {
			case 2:
				to = server
				return errCrashed
			case 3:
				return &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
			}
			return nil
		}, nil)
		if b.callCount("check "+to) == 0 || b.callCount("check "+f.from) != 0 {
			t.Errorf("destination %s, calls %v", to, b.engines.calls)
		}
		if !slices.Contains(f.relayed.brokenAt, to) {
			t.Errorf("a rerun may use %s: %v", to, f.relayed.brokenAt)
		}
	})
}

// continuationsOf returns an answer function for engines that are told of handles: the first fails calls that continue the
// stream are lost, and the engine has taken the handle if taken is set. A handle can be used once. Where it was not taken,
// the calls behind the first answered one belong to further moves.
func continuationsOf(fails int, taken bool) (answer func(int, string) error, runs func() int) {
	var mu sync.Mutex
	count, used := 0, false
	answer = func(call int, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		if used && taken {
			return &NotRunError{Why: reason.HandoffRefused, Sent: true, Detail: "status 503"}
		}
		lost := call-1 <= fails
		if !used && (taken || !lost) {
			used, count = true, count+1
		}
		if lost {
			return errors.New("connection reset")
		}
		return nil
	}
	return answer, func() int { return count }
}

// Guards against a stream that must not be repeated and runs twice, because the destination of its move began it and the
// answer was lost.
func TestStreamThatMayNotBeRepeatedDoesNotRunTwiceAfterLostAnswer(t *testing.T) {
	withBench(t, func(b *bench) {
		answer, runs := continuationsOf(1, true)
		f := failMove(b, "/stream/x", answer, nil)
		if f.err == nil || runs() != 1 || f.relayed.endedBy != reason.EndedByMove {
			t.Errorf("error %v, the handle was used %d times, ended by %q, calls %v", f.err, runs(), f.relayed.endedBy, b.engines.calls)
		}
		if b.callCount("free "+f.from) != 1 {
			t.Errorf("the memory of the stopped run was released %d times", b.callCount("free"))
		}
		b.checkNothingHeld()
	})
}

// Guards against a moved stream that is cut because calls that continue it were closed unread, at the destination alone and
// at the engine where it was stopped too.
func TestStreamGoesOnWhoseContinuationsWereNotRead(t *testing.T) {
	for fails := 1; fails < 2*continuationTries; fails++ {
		for _, target := range []string{"/stream/x", "/resume/x"} {
			t.Run(fmt.Sprint(target[1:], " ", fails), func(t *testing.T) {
				withBench(t, func(b *bench) {
					answer, runs := continuationsOf(fails, false)
					f := failMove(b, target, answer, nil)
					if f.err != nil || runs() != 1 || f.relayed.runs != 1 {
						t.Errorf("error %v, the handle was used %d times, %d runs, calls %v", f.err, runs(), f.relayed.runs, b.engines.calls)
					}
					b.checkNothingHeld()
				})
			})
		}
	}
}

// Guards against a stream that is cut because the answer to the call that stopped its run never comes, though the
// destination has a copy.
func TestStreamGoesOnFromItsCopyWhenNoStopIsAnswered(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		m.onStop = func(stop func()) (PrefillHandle, error) { stop(); return "", errors.New("connection reset") }
		m.drainAfter(300 * time.Millisecond)
		m.expectWholeFromCopy()
		b.checkNothingHeld()
	})
}

// Guards against a stream that is cut because its destination begins to leave while the call that stopped its run is
// unanswered.
func TestStreamGoesOnFromItsCopyWhenItsDestinationLeaves(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		m.onStop = func(stop func()) (PrefillHandle, error) {
			stop()
			b.drain("d1")
			b.drain("d2")
			return "", errors.New("connection reset")
		}
		m.drainAfter(300 * time.Millisecond)
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() {
			t.Errorf("%d of %d bytes, error %v, calls %v", len(body), len(wholeMovable()), err, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// Guards against a stream that is cut because a repeated call that stops its run reaches the engine late, when the stream
// goes on there because the destination leaves.
func TestRepeatedStopDoesNotEndTheStreamThatGoesOn(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		calls := new(atomic.Int64)
		m.onStop = func(stop func()) (PrefillHandle, error) {
			if calls.Add(1) == 1 {
				stop()
				b.drain("d1")
				b.drain("d2")
				time.Sleep(moveStopTimeout + 10*time.Millisecond)
				return "kept", nil
			}
			time.Sleep(60 * time.Millisecond)
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.runs[len(m.runs)-1].server != m.runs[0].server {
				return "", &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 404"}
			}
			m.stopped.Store(true)
			return "again", nil
		}
		m.drainAfter(300 * time.Millisecond)
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() {
			t.Errorf("%d of %d bytes, error %v, calls %v", len(body), len(wholeMovable()), err, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// Guards against a run at the old engine that is not counted after the destination used the stream's handle up: the route's
// attempts bound the runs.
func TestRerunAfterLostAnswerCountsAsRun(t *testing.T) {
	withBench(t, func(b *bench) {
		answer, runs := continuationsOf(1, true)
		f := failMove(b, "/resume/x", func(call int, server string) error {
			if call > 3 {
				// Further calls run the request anew.
				return nil
			}
			return answer(call, server)
		}, nil)
		if f.relayed.runs > 2 || runs() != 1 {
			t.Errorf("error %v, %d runs, the handle was used %d times, calls %v", f.err, f.relayed.runs, runs(), b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// Neither the destination of a move nor the old engine takes up a stopped stream. Its memory must
// be released, and not be held until it expires.
func TestMemoryOfMoveThatFailedEverywhereIsReleased(t *testing.T) {
	withBench(t, func(b *bench) {
		refused := &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
		f := failMove(b, "/stream/x", func(int, string) error { return refused }, nil)
		if f.err == nil || b.callCount("decode") != 3 || b.callCount("free "+f.from) != 1 {
			t.Errorf("error %v, calls %v", f.err, b.engines.calls)
		}
		if b.callCount("check") != 0 {
			t.Errorf("engines were checked for a crash: %v", b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// A caller that disconnects during a move leaves no commitments behind.
func TestCallerDisconnectsDuringMove(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		ctx, leave := context.WithCancel(context.Background())
		m.onCopy = func() (PrefillHandle, error) {
			leave()
			time.Sleep(50 * time.Millisecond)
			return "copy", nil
		}
		m.drainAfter(300 * time.Millisecond)
		reply := b.Serve(ctx, m.longRequest("a"))
		if _, err := io.Copy(io.Discard, reply.Stream); err != nil {
			t.Logf("the stream ended with %v", err)
		}
		reply.Stream.Close()
		b.Wait()
		b.checkNothingHeld()
		for _, backend := range b.View.Servers().Decode["llm"] {
			if held := b.Fleet.Server(backend.Name).Own(); held != (route.Commitment{}) {
				t.Errorf("%s: %+v", backend.Name, held)
			}
		}
	})
}

// The last event arrives together with the end of the stream while the engine is leaving. No
// memory must be copied for a stream that is over.
func TestEndedStreamIsNotMoved(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		m.onStop = func(func()) (PrefillHandle, error) { return "", errors.New("the stream is over") }
		b.engines.stream = func(_ context.Context, server, _ string) io.ReadCloser {
			b.drain(server)
			return io.NopCloser(iotest.DataErrReader(strings.NewReader("id: 1\ndata: 1\n\n")))
		}
		if _, body, err := b.read(m.longRequest("a")); err != nil || body == "" || b.callCount("copy") != 0 {
			t.Errorf("error %v, calls %v", err, b.engines.calls)
		}
	})
}

// The destination of a move fails and the stream is run again elsewhere. It must not count at the
// former destination, where other requests would find too little memory by the forecast.
func TestStreamDoesNotCountAtDestinationOfBrokenMove(t *testing.T) {
	withBench(t, func(b *bench) {
		b.forecastMemory()
		m := newMovingBench(b)
		b.addDecodeEngine("d3")
		checked := false
		b.engines.statusOf = func(string) int {
			if b.callCount("decode") == 2 {
				return 500
			}
			if b.callCount("decode") == 3 {
				b.memoryModelOf("llm").streams.Range(func(key, _ any) bool {
					checked = true
					if to := key.(*trackedStream).to.Load(); to != nil {
						t.Errorf("the stream counts at %s, to which it is not being moved", *to)
					}
					return true
				})
			}
			return 200
		}
		m.drainAfter(300 * time.Millisecond)
		r := m.longRequest("a")
		r.Target, r.Path = "/resume/x", "/resume/x"
		if _, _, err := b.read(r); err != nil || !checked {
			t.Errorf("error %v, checked %v, ran at %s", err, checked, m.engineNames())
		}
	})
}
