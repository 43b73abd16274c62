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

// The engines of a simulation: their memory, their queues, and the calls of instances.

// simEngine is one engine with its memory.
type simEngine struct {
	*simulation
	mu sync.Mutex
	// reservations holds the tokens of each unused reservation.
	reservations map[Reservation]int
	next         int
	runs         []*simRun
	// waiting holds the preempted runs.
	waiting []*simRun
	// busyUntil is the end of the prefills at a decode engine. Its streams wait until then.
	busyUntil time.Time
	// prefillBusyUntil is the end of all queued prefills at a prefill engine.
	prefillBusyUntil time.Time
}

// simRun is one stream at an engine.
type simRun struct {
	tokens, reserved int
	events           int
	preempted        bool
	ended            bool
}

func (r *simRun) memory() int { return max(r.tokens, r.reserved) }

// used returns the memory of all runs and reservations. The caller holds the lock.
func (e *simEngine) used() int {
	used := 0
	for _, tokens := range e.reservations {
		used += tokens
	}
	for _, run := range e.runs {
		used += run.memory()
	}
	return used
}

func (e *simEngine) reserve(tokens int) (Reservation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used()+tokens > simMemoryTokens || len(e.runs)+len(e.reservations) >= simSlots || len(e.waiting) > 0 {
		return "", false
	}
	e.next++
	name := Reservation(fmt.Sprint(e.next))
	e.reservations[name] = tokens
	return name, true
}

// begin starts a run, which uses up its reservation.
func (e *simEngine) begin(reservation Reservation, prompt, events int) *simRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &simRun{tokens: prompt, reserved: e.reservations[reservation], events: events}
	delete(e.reservations, reservation)
	e.runs = append(e.runs, run)
	return run
}

func (e *simEngine) end(run *simRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.ended = true
	e.runs = slices.DeleteFunc(e.runs, func(r *simRun) bool { return r == run })
	e.waiting = slices.DeleteFunc(e.waiting, func(r *simRun) bool { return r == run })
	for len(e.waiting) > 0 && e.used()+e.waiting[0].tokens+eventTokens <= simMemoryTokens {
		back := e.waiting[0]
		e.waiting = e.waiting[1:]
		back.preempted = false
		e.runs = append(e.runs, back)
		e.prefill(back.tokens)
	}
}

// hasEnded reports whether a run ended, as it does when it moves to another engine.
func (e *simEngine) hasEnded(run *simRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return run.ended
}

// prefill makes a decode engine prefill a prompt, which delays its streams. The caller
// holds the lock.
func (e *simEngine) prefill(tokens int) {
	from := time.Now()
	if e.busyUntil.After(from) {
		from = e.busyUntil
	}
	e.busyUntil = from.Add(time.Duration(float64(tokens) / (prefillTokensPerMs / decodeReadFactor) * float64(time.Millisecond)))
}

// grow takes the memory of one event. While the memory is exceeded, the newest run that
// has outgrown its reservation is preempted.
func (e *simEngine) grow(run *simRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.tokens += eventTokens
	for e.used() > simMemoryTokens {
		victim := -1
		for i, one := range e.runs {
			if one.tokens > one.reserved {
				victim = i
			}
		}
		if victim < 0 {
			return
		}
		one := e.runs[victim]
		e.runs = slices.Delete(e.runs, victim, victim+1)
		one.preempted, one.reserved = true, 0
		e.waiting = append(e.waiting, one)
		e.counts.preempted.Add(one.tokens)
	}
}

// eventDelay returns the time until the next event of a stream. For a preempted run it
// returns the time until the next check, and true.
func (e *simEngine) eventDelay(run *simRun) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.preempted {
		return 10 * time.Millisecond, true
	}
	step := 0.579 + 0.0191*float64(len(e.runs))
	return time.Duration(eventTokens * step * float64(time.Millisecond)), false
}

// simStream is a stream of events.
type simStream struct {
	ctx    context.Context
	engine *simEngine
	run    *simRun
	sent   int
}

// Read implements io.Reader. Each call returns one event.
func (s *simStream) Read(p []byte) (int, error) {
	if s.sent == s.run.events {
		return 0, io.EOF
	}
	for waits := true; waits; {
		var pause time.Duration
		pause, waits = s.engine.eventDelay(s.run)
		if !s.sleep(pause) {
			return 0, s.ctx.Err()
		}
	}
	for {
		s.engine.mu.Lock()
		left := time.Until(s.engine.busyUntil)
		s.engine.mu.Unlock()
		if left <= 0 {
			break
		}
		if !s.sleep(left) {
			return 0, s.ctx.Err()
		}
	}
	if s.engine.hasEnded(s.run) {
		return 0, errors.New("the run was stopped")
	}
	s.sent++
	s.engine.grow(s.run)
	return copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", s.sent)), nil
}

func (s *simStream) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// Close implements io.Closer.
func (s *simStream) Close() error {
	s.engine.end(s.run)
	return nil
}

// simBackends implements Backends on the engines of a simulation.
type simBackends struct{ *simulation }

// HasExited implements Backends. No engine exits.
func (simBackends) Probe(context.Context, *registry.Entry, string) error { return nil }

func (simBackends) HasExited(context.Context, *registry.Entry) bool   { return false }
func (simBackends) RunHasEnded(context.Context, *registry.Entry) bool { return false }

// Call implements Backends.
func (simBackends) Call(context.Context, *registry.Entry, *Request, time.Time) (*Answer, error) {
	return nil, errors.New("the simulation has no plain calls")
}

// Reserve implements Backends.
func (c simBackends) Reserve(_ context.Context, server *registry.Entry, tokens int, _ time.Duration) (Reservation, error) {
	time.Sleep(2 * time.Millisecond)
	if reservation, ok := c.engines[server.ID].reserve(tokens); ok {
		return reservation, nil
	}
	return "", &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "full"}
}

// Release implements Backends.
func (c simBackends) Release(_ context.Context, server *registry.Entry, reservation Reservation) error {
	engine := c.engines[server.ID]
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.reservations, reservation)
	return nil
}

// Prefill implements Backends.
func (c simBackends) Prefill(_ context.Context, server *registry.Entry, r *Request, _ time.Time) (PrefillHandle, error) {
	engine := c.engines[server.ID]
	engine.mu.Lock()
	now := time.Now()
	if engine.prefillBusyUntil.Before(now) {
		engine.prefillBusyUntil = now
	}
	engine.prefillBusyUntil = engine.prefillBusyUntil.Add(time.Duration(float64(r.Generation.PromptTokens) / prefillTokensPerMs * float64(time.Millisecond)))
	wait := engine.prefillBusyUntil.Sub(now)
	engine.mu.Unlock()
	time.Sleep(wait)
	return "read", nil
}

// simCopy is the time that each of the two calls of a move takes.
const simCopy = 50 * time.Millisecond

// Move implements Backends. The last call stops the run, if the destination has memory for it.
func (c simBackends) Move(_ context.Context, from, to *registry.Entry, r *Request, last bool) (PrefillHandle, error) {
	time.Sleep(simCopy)
	moved, known := c.runs.Load(r.ID)
	if !known {
		return "", &NotRunError{Why: reason.BackendRefused, Sent: true}
	}
	run := moved.(*simRun)
	source, destination := c.engines[from.ID], c.engines[to.ID]
	source.mu.Lock()
	tokens, ended := run.tokens, run.ended || run.preempted
	source.mu.Unlock()
	destination.mu.Lock()
	fits := destination.used()+tokens <= simMemoryTokens && len(destination.runs)+len(destination.reservations) < simSlots && len(destination.waiting) == 0
	destination.mu.Unlock()
	if ended || !fits {
		return "", &NotRunError{Why: reason.BackendRefused, Sent: true}
	}
	if !last {
		return "copy", nil
	}
	source.end(run)
	next := &simRun{tokens: tokens, events: run.events}
	destination.mu.Lock()
	destination.runs = append(destination.runs, next)
	destination.mu.Unlock()
	c.runs.Store(r.ID, next)
	c.counts.moved.Add(tokens)
	return simMoved, nil
}

// simMoved is the result of a move.
const simMoved PrefillHandle = "moved"

// Free implements Backends.
func (simBackends) Free(context.Context, *registry.Entry, PrefillHandle) error { return nil }

// Decode implements Backends.
func (c simBackends) Decode(ctx context.Context, server *registry.Entry, r *Request, order DecodeRequest, _ time.Time) (*Stream, error) {
	engine := c.engines[server.ID]
	var events int
	if _, err := fmt.Sscan(r.Target, &events); err != nil {
		return nil, err
	}
	if order.Result == simMoved {
		var sent int
		moved, _ := c.runs.Load(r.ID)
		if _, err := fmt.Sscan(order.LastEvent, &sent); err != nil {
			return nil, err
		}
		return &Stream{Status: 200, ReadCloser: &simStream{ctx: ctx, engine: engine, run: moved.(*simRun), sent: sent}}, nil
	}
	run := engine.begin(order.Reservation, r.Generation.PromptTokens, events)
	c.runs.Store(r.ID, run)
	if order.Result == "" {
		engine.mu.Lock()
		engine.prefill(r.Generation.PromptTokens)
		engine.mu.Unlock()
	}
	return &Stream{Status: 200, ReadCloser: &simStream{ctx: ctx, engine: engine, run: run}}, nil
}
