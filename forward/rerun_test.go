package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/route"
)

// testEvents is how many events a whole stream has.
const testEvents = 5

var errCrashed = errors.New("the engine crashed")

// events plays a stream that begins behind an event and ends at the event last:
// whole, with an error in the middle of the next, or in silence.
type events struct {
	ctx  context.Context
	next int
	last int
	end  error
	rest string
}

func (e *events) Read(p []byte) (int, error) {
	if e.rest == "" && e.next <= e.last {
		e.rest = fmt.Sprintf("id: %d\ndata: %d\n\n", e.next, e.next)
		e.next++
	}
	if e.rest == "" {
		return e.broken(p)
	}
	time.Sleep(10 * time.Millisecond)
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// broken is what follows the last event.
func (e *events) broken(p []byte) (int, error) {
	if e.end == nil {
		<-e.ctx.Done()
		return 0, e.ctx.Err()
	}
	if e.end == io.EOF {
		return 0, io.EOF
	}
	return copy(p, "id: 99\nda"), e.end
}

func (e *events) Close() error { return nil }

// breaksOnce has the first run of a request end after some events, and later
// ones be whole. It returns the engines that ran it.
func (b *bench) breaksOnce(after int, end error) func() []string {
	return b.breaks(1, after, end)
}

// breaks has the first runs of a request end after some events each.
func (b *bench) breaks(runs, after int, end error) func() []string {
	var mu sync.Mutex
	var ran []string
	b.engines.stream = func(ctx context.Context, server, lastEvent string) io.ReadCloser {
		mu.Lock()
		defer mu.Unlock()
		ran = append(ran, server)
		first, _ := strconv.Atoi(lastEvent)
		if len(ran) <= runs {
			return &events{ctx: ctx, next: first + 1, last: first + after, end: end}
		}
		return &events{ctx: ctx, next: first + 1, last: testEvents, end: io.EOF}
	}
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return ran
	}
}

// resumable makes a request of a route whose streams may go on elsewhere.
func (b *bench) resumable(id string) *Request {
	r := b.generation(id, testPrompt)
	r.Target, r.Path = "/resume/x", "/resume/x"
	return r
}

// read takes a request to its end and returns what its caller got.
func (b *bench) read(r *Request) (*Reply, string, error) {
	reply := b.Serve(context.Background(), r)
	if reply.Stream == nil {
		b.Wait()
		return reply, "", nil
	}
	body, err := io.ReadAll(reply.Stream)
	reply.Stream.Close()
	b.Wait()
	return reply, string(body), err
}

// wholeStream is what a caller of a whole stream gets.
func wholeStream() string {
	var text strings.Builder
	for i := range testEvents {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return text.String()
}

func TestABrokenStreamGoesOnAtAnotherEngine(t *testing.T) {
	for name, test := range map[string]struct {
		after int
		end   error
	}{
		"in the middle":         {2, errCrashed},
		"before its first":      {0, errCrashed},
		"behind its last":       {testEvents, errCrashed},
		"silent in the middle":  {3, nil},
		"silent from the begin": {0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(b *bench) {
				ran := b.breaksOnce(test.after, test.end)
				began := time.Now()
				reply, body, err := b.read(b.resumable("a"))
				engines := ran()
				if err != nil || body != wholeStream() {
					t.Fatalf("%v, %q at %v", err, body, engines)
				}
				if len(engines) != 2 || engines[0] == engines[1] || reply.Fields[0].Value != engines[0] {
					t.Errorf("ran at %v, header of %v", engines, reply.Fields)
				}
				if took := time.Since(began); took > testPatience {
					t.Errorf("took %v, its caller has left", took)
				}
				b.nothingHeld()
			})
		})
	}
}

// testPatience is how long a caller waits for an event: the longest of two
// seconds, four targets and eight pauses.
const testPatience = 4 * testTarget

func TestAStreamThatMayNotBeResumedEnds(t *testing.T) {
	play(t, func(b *bench) {
		ran := b.breaksOnce(2, errCrashed)
		_, body, err := b.read(b.generation("a", testPrompt))
		if err == nil || strings.Count(body, "data:") != 2 || len(ran()) != 1 {
			t.Errorf("%v, %q at %v", err, body, ran())
		}
		b.nothingHeld()
	})
}

func TestSilenceAloneEndsNoStreamThatMayNotGoOnElsewhere(t *testing.T) {
	play(t, func(b *bench) {
		ran := b.breaksOnce(2, nil)
		began := time.Now()
		b.read(b.generation("a", testPrompt))
		if took := time.Since(began); took < 13*time.Second || len(ran()) != 1 {
			t.Errorf("ended after %v at %v", took, ran())
		}
	})
}

func TestSilenceEndsNoStreamThatHasNoRoomElsewhere(t *testing.T) {
	for name, busy := range map[string]func(b *bench){
		"memory": func(b *bench) { b.View.Servers().Decode["llm"] = b.View.Servers().Decode["llm"][:1] },
		"budget": func(b *bench) {
			none := route.NewSharedBudget(0, time.Second, 0, time.Now())
			b.Gateway.Budget = func(string) *route.SharedBudget { return none }
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(b *bench) {
				busy(b)
				ran := b.breaksOnce(2, nil)
				began := time.Now()
				r := b.resumable("a")
				r.Deadline = began.Add(3 * time.Second)
				b.read(r)
				if took := time.Since(began); took < 2900*time.Millisecond || len(ran()) != 1 {
					t.Errorf("ended after %v at %v", took, ran())
				}
				b.nothingHeld()
			})
		})
	}
}

func TestAStreamRunsAtNoMoreEnginesThanItsRouteAllows(t *testing.T) {
	play(t, func(b *bench) {
		ran := b.breaks(5, 1, errCrashed)
		_, body, err := b.read(b.resumable("a"))
		if err == nil || strings.Count(body, "data:") != 2 || len(ran()) != 2 {
			t.Errorf("%v, %q at %v", err, body, ran())
		}
		b.nothingHeld()
	})
}

func TestWithoutBudgetABrokenStreamEnds(t *testing.T) {
	play(t, func(b *bench) {
		for b.Budget("llm").Spend(time.Now()) {
		}
		ran := b.breaksOnce(2, errCrashed)
		if _, _, err := b.read(b.resumable("a")); err == nil || len(ran()) != 1 {
			t.Errorf("%v at %v", err, ran())
		}
		b.nothingHeld()
	})
}

func TestWithNoRoomElsewhereABrokenStreamEnds(t *testing.T) {
	play(t, func(b *bench) {
		b.View.Servers().Decode["llm"] = b.View.Servers().Decode["llm"][:1]
		ran := b.breaksOnce(2, errCrashed)
		if _, _, err := b.read(b.resumable("a")); err == nil || len(ran()) != 1 {
			t.Errorf("%v at %v", err, ran())
		}
		b.nothingHeld()
	})
}

// The other engine's own failure is no end of the first one's answer.
func TestAFailureOfTheOtherEngineDoesNotEndTheStreamWhole(t *testing.T) {
	play(t, func(b *bench) {
		ran := b.breaksOnce(2, errCrashed)
		b.engines.statusOf = func(string) int {
			if b.did("decode") > 1 {
				return 500
			}
			return 200
		}
		_, body, err := b.read(b.resumable("a"))
		if err == nil || strings.Count(body, "data:") != 2 || len(ran()) != 2 {
			t.Errorf("%v, %q at %v", err, body, ran())
		}
		b.nothingHeld()
	})
}

// A run that was lost before its answer began is made up for likewise; the
// request may have run, so without another run nothing is promised.
func TestARunLostBeforeItsBeginGoesOnAtAnotherEngine(t *testing.T) {
	play(t, func(b *bench) {
		first := ""
		b.engines.decode = func(server string, _ DecodeOrder) error {
			if first == "" || first == server {
				first = server
				return errCrashed
			}
			return nil
		}
		if reply, body, err := b.read(b.resumable("a")); reply.Status != 200 || err != nil || body == "" {
			t.Errorf("status %d, %v after %v", reply.Status, err, b.engines.calls)
		}
		first = ""
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 502 || reply.RetryAfter != 0 {
			t.Errorf("not resumable: status %d", reply.Status)
		}
		b.nothingHeld()
	})
}

func TestTheLastIDOfWholeEvents(t *testing.T) {
	for _, test := range []struct{ whole, before, want string }{
		{"", "4", "4"},
		{"data: x\n\n", "", ""},
		{"id: 7\ndata: x\n\nid:8\n\n", "6", "8"},
		{"data: id: 9\n\n", "6", "6"},
	} {
		if got := lastID([]byte(test.whole), test.before); got != test.want {
			t.Errorf("%q: %q", test.whole, got)
		}
	}
}
