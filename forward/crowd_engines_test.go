package forward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
)

// The engines of a crowd: their memory, their queues, and how instances call them.

// crowdEngine is one engine with its memory.
type crowdEngine struct {
	*crowd
	mu sync.Mutex
	// held is the memory of reservations not yet used, by name.
	held map[Reservation]int
	next int
	runs []*crowdRun
	// waiting are the runs that were preempted.
	waiting []*crowdRun
	// stalled is until when the engine reads a prompt, and all its streams wait.
	stalled time.Time
	// readBy is when the prompts that a prefill engine has got are read.
	readBy time.Time
}

// crowdRun is one stream at an engine.
type crowdRun struct {
	tokens, cover int
	events        int
	preempted     bool
	gone          bool
}

func (r *crowdRun) memory() int { return max(r.tokens, r.cover) }

// used is the memory that cannot yield. The caller holds the lock.
func (e *crowdEngine) used() int {
	used := 0
	for _, tokens := range e.held {
		used += tokens
	}
	for _, run := range e.runs {
		used += run.memory()
	}
	return used
}

func (e *crowdEngine) reserve(tokens int) (Reservation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used()+tokens > crowdMemory || len(e.runs)+len(e.held) >= crowdSlots || len(e.waiting) > 0 {
		return "", false
	}
	e.next++
	name := Reservation(fmt.Sprint(e.next))
	e.held[name] = tokens
	return name, true
}

// begin admits a run with its reservation.
func (e *crowdEngine) begin(reservation Reservation, prompt, events int) *crowdRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &crowdRun{tokens: prompt, cover: e.held[reservation], events: events}
	delete(e.held, reservation)
	e.runs = append(e.runs, run)
	return run
}

func (e *crowdEngine) end(run *crowdRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.gone = true
	e.runs = slices.DeleteFunc(e.runs, func(r *crowdRun) bool { return r == run })
	e.waiting = slices.DeleteFunc(e.waiting, func(r *crowdRun) bool { return r == run })
	for len(e.waiting) > 0 && e.used()+e.waiting[0].tokens+eventTokens <= crowdMemory {
		back := e.waiting[0]
		e.waiting = e.waiting[1:]
		back.preempted = false
		e.runs = append(e.runs, back)
		e.read(back.tokens)
	}
}

// read has a decode engine read a prompt: its streams wait. The caller holds the lock.
func (e *crowdEngine) read(tokens int) {
	from := time.Now()
	if e.stalled.After(from) {
		from = e.stalled
	}
	e.stalled = from.Add(time.Duration(float64(tokens) / (readPerMilli / decodeReadFactor) * float64(time.Millisecond)))
}

// grow takes the memory of one event; the newest run that its reservation does not
// cover is preempted where there is none left.
func (e *crowdEngine) grow(run *crowdRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.tokens += eventTokens
	for e.used() > crowdMemory {
		victim := -1
		for i, one := range e.runs {
			if one.tokens > one.cover {
				victim = i
			}
		}
		if victim < 0 {
			return
		}
		one := e.runs[victim]
		e.runs = slices.Delete(e.runs, victim, victim+1)
		one.preempted, one.cover = true, 0
		e.waiting = append(e.waiting, one)
		e.noted.preempted.Add(one.tokens)
	}
}

// pause is how long the next event of a stream takes, and whether it waits.
func (e *crowdEngine) pause(run *crowdRun) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.preempted {
		return 10 * time.Millisecond, true
	}
	step := 0.579 + 0.0191*float64(len(e.runs))
	return time.Duration(eventTokens * step * float64(time.Millisecond)), false
}

// crowdStream is a stream of events.
type crowdStream struct {
	ctx    context.Context
	engine *crowdEngine
	run    *crowdRun
	sent   int
}

// Read implements io.Reader, an event at a time.
func (s *crowdStream) Read(p []byte) (int, error) {
	if s.sent == s.run.events {
		return 0, io.EOF
	}
	for waits := true; waits; {
		var pause time.Duration
		pause, waits = s.engine.pause(s.run)
		if !s.sleep(pause) {
			return 0, s.ctx.Err()
		}
	}
	for {
		s.engine.mu.Lock()
		left := time.Until(s.engine.stalled)
		s.engine.mu.Unlock()
		if left <= 0 {
			break
		}
		if !s.sleep(left) {
			return 0, s.ctx.Err()
		}
	}
	s.sent++
	s.engine.grow(s.run)
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", s.sent)), nil
}

func (s *crowdStream) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// Close implements io.Closer.
func (s *crowdStream) Close() error {
	s.engine.end(s.run)
	return nil
}

// crowdBackends is the engines as an instance calls them.
type crowdBackends struct{ *crowd }

// HasEnded implements Backends: none does.
func (crowdBackends) HasEnded(context.Context, *registry.Entry) bool { return false }

// Call implements Backends.
func (crowdBackends) Call(context.Context, *registry.Entry, *Request, time.Time) (*Answer, error) {
	return nil, errors.New("no plain calls here")
}

// Reserve implements Backends.
func (c crowdBackends) Reserve(_ context.Context, server *registry.Entry, tokens int, _ time.Duration) (Reservation, error) {
	time.Sleep(2 * time.Millisecond)
	if reservation, ok := c.engines[server.ID].reserve(tokens); ok {
		return reservation, nil
	}
	return "", &NotRun{Why: reason.BackendRefused, Sent: true, Detail: "full"}
}

// Release implements Backends.
func (c crowdBackends) Release(_ context.Context, server *registry.Entry, reservation Reservation) error {
	engine := c.engines[server.ID]
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.held, reservation)
	return nil
}

// Prefill implements Backends.
func (c crowdBackends) Prefill(_ context.Context, server *registry.Entry, r *Request, _ time.Time) (Prefilled, error) {
	engine := c.engines[server.ID]
	engine.mu.Lock()
	now := time.Now()
	if engine.readBy.Before(now) {
		engine.readBy = now
	}
	engine.readBy = engine.readBy.Add(time.Duration(float64(r.Generation.PromptTokens) / readPerMilli * float64(time.Millisecond)))
	wait := engine.readBy.Sub(now)
	engine.mu.Unlock()
	time.Sleep(wait)
	return "read", nil
}

// Move implements Backends.
func (crowdBackends) Move(context.Context, *registry.Entry, *registry.Entry, *Request, bool) (Prefilled, error) {
	return "", &NotRun{Why: reason.BackendRefused, Sent: true}
}

// Free implements Backends.
func (crowdBackends) Free(context.Context, *registry.Entry, Prefilled) error { return nil }

// Decode implements Backends.
func (c crowdBackends) Decode(ctx context.Context, server *registry.Entry, r *Request, order DecodeOrder, _ time.Time) (*Stream, error) {
	engine := c.engines[server.ID]
	var events int
	if _, err := fmt.Sscan(r.Target, &events); err != nil {
		return nil, err
	}
	run := engine.begin(order.Reservation, r.Generation.PromptTokens, events)
	if order.Result == "" {
		engine.mu.Lock()
		engine.read(r.Generation.PromptTokens)
		engine.mu.Unlock()
	}
	return &Stream{Status: 200, ReadCloser: &crowdStream{ctx: ctx, engine: engine, run: run}}, nil
}
