package forward

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// generation is a request to a model service while it is forwarded. Memory at
// a decode engine is reserved before a prompt is read, so that no prompt is
// read for nothing.
type generation struct {
	*flow
	ctx    context.Context
	cancel context.CancelFunc
	// need is the KV memory that the request will need, in tokens.
	need int
	// target is when the first token is due.
	target time.Time

	prefill *route.Rated
	decode  *route.Rated
	// reservation and result are what the request has taken and not yet used.
	reservation string
	result      *Prefilled
	// committed is the memory that is noted for it at the decode engine.
	committed int
	// returned is set for a request that was refused before.
	returned bool
	// readAtDecode has the decode engine read the prompt itself.
	readAtDecode bool
	// readDone ends the note that the decode engine reads its prompt.
	readDone func()
	// done ends the notes of its running there.
	done func()
}

// stepError says why a step failed, in the terms of the reply.
type stepError struct {
	why    reason.Reason
	detail string
	// lost is the cause when the step's outcome is not known.
	lost error
}

func (f *flow) generate(caller context.Context) *Reply {
	ctx, cancel := context.WithDeadline(caller, f.deadline)
	g := &generation{
		flow: f, ctx: ctx, cancel: cancel, done: func() {},
		need:     expectedMemory(f.request.Generation, f.config.HintMargin),
		target:   f.request.Arrived.Add(f.route.TTFT),
		returned: f.Recall.Returns(f.request.Generation.Own, f.request.Arrived),
	}
	stream, failed := g.run()
	if failed == nil {
		return &Reply{Status: stream.Status, Fields: stream.Fields, Stream: newRelay(g, stream)}
	}
	defer cancel()
	g.giveBack()
	if failed.lost != nil {
		return f.lost(ctx, failed.lost)
	}
	if ctx.Err() != nil {
		return f.lost(ctx, ctx.Err())
	}
	if f.request.Generation.Own != 0 && !f.mayRun {
		f.Recall.Refused(f.request.Generation.Own, time.Now())
	}
	return f.refuse(failed.why, failed.detail)
}

// run takes the steps up to the begin of the stream.
func (g *generation) run() (*Stream, *stepError) {
	want := g.request.Generation
	g.decide(stepEstimate, strconv.Itoa(g.need), "prompt", want.PromptTokens, "hint", want.LengthHint, "most", want.MaxTokens, "returned", g.returned)
	for _, step := range []func() *stepError{g.outlast, g.choosePrefill, g.reserve, g.read} {
		if failed := step(); failed != nil {
			return nil, failed
		}
	}
	return g.begin()
}

// outlast refuses a stream that a stopping instance could not see to its end.
func (g *generation) outlast() *stepError {
	stopping := g.stopping.Load()
	if stopping == nil || time.Since(stopping.began) < g.config.StreamGrace {
		return nil
	}
	return &stepError{why: reason.Stopping, detail: "the instance is stopping"}
}

// choosePrefill finds the engine that reads the prompt. Without one that would
// be done in time, the decode engine reads it.
func (g *generation) choosePrefill() *stepError {
	g.prefill = g.choose(g.Gateway.prefill, g.servers.Prefill[g.service.Name])
	if g.prefill == nil {
		g.readAtDecode = true
		g.decide(stepRead, "at_decode", "why", reason.NoBackend)
		return nil
	}
	ahead := g.prefill.Server.PrefillTime(g.request.Generation.PromptTokens)
	_, measured := g.prefill.Server.Prefills.Time(1)
	landing := time.Now().Add(ahead + g.config.LandingMargin)
	// Of an engine that was never measured nothing is known; the first prompts
	// tell.
	g.readAtDecode = measured && landing.After(g.target)
	if g.readAtDecode {
		g.decide(stepRead, "at_decode", "why", reason.DeadlineTooClose, "aheadMillis", ahead.Milliseconds())
	}
	return nil
}

// reserve has a decode engine keep memory free. While there is none, it asks
// again for a short while: a caller that is refused within a part of its target
// loses least.
func (g *generation) reserve() *stepError {
	until := g.request.Arrived.Add(time.Duration(g.config.RefuseWithin * float64(g.route.TTFT)))
	for {
		failed := g.reserveOnce()
		if failed == nil || failed.why != reason.NoDecodeMemory || time.Now().Add(g.config.ReservePause).After(until) {
			return failed
		}
		if !wait.For(g.ctx, g.config.ReservePause) {
			return &stepError{why: reason.CallerGone, detail: g.ctx.Err().Error()}
		}
		g.tried = g.tried[:0]
	}
}

// reserveOnce asks the engines with most memory left, only some of them.
func (g *generation) reserveOnce() *stepError {
	for range g.config.ReserveTries {
		chosen := g.choose(g.decodeProfile(), g.servers.Decode[g.service.Name])
		if chosen == nil {
			break
		}
		if g.tooLarge(chosen) {
			g.decide(stepReserve, "too_large", "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
			return &stepError{why: reason.NoDecodeMemory, detail: "the memory left is kept for smaller requests"}
		}
		g.tried = append(g.tried, chosen.Name)
		reservation, err := g.ask(chosen)
		if err == nil {
			g.decide(stepReserve, "ok", "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
			g.decode, g.reservation = chosen, reservation.ID
			g.committed = g.need
			chosen.Server.Hold(g.need)
			return nil
		}
		g.decide(stepReserve, err.Error(), "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
		if g.ctx.Err() != nil {
			return &stepError{why: reason.CallerGone, detail: err.Error()}
		}
	}
	if g.readAtDecode {
		return &stepError{why: reason.DeadlineTooClose, detail: "the prompts ahead take too long"}
	}
	return &stepError{why: reason.NoDecodeMemory, detail: "no decode engine reserved memory"}
}

// decodeProfile chooses an engine that generates; one that is to read the
// prompt too must not be reading another.
func (g *generation) decodeProfile() *route.Profile {
	if g.readAtDecode {
		return g.Gateway.readingDecode
	}
	return g.Gateway.decode
}

// tooLarge says whether a request would take what is nearly the last of an
// engine's memory. Some is left for requests that outgrow what was expected:
// once one must be preempted, the reading of its prompt holds up all others of
// its engine. A request that needs more than most must leave more: for the
// same memory and time, several smaller ones are served. A request that was
// refused before may take more of it.
func (g *generation) tooLarge(chosen *route.Rated) bool {
	left := float64(route.FreeTokens(chosen.Candidate) - g.need)
	memory := float64(chosen.Backend.MemoryTokens)
	if g.returned {
		return left < g.config.ReturnedHeadroom*memory
	}
	excess := max(g.need-g.config.UsualMemory, 0)
	return left < g.config.Headroom*memory+g.config.LargeHeadroom*float64(excess)
}

func (g *generation) ask(chosen *route.Rated) (Reservation, error) {
	ctx, cancel := context.WithTimeout(g.ctx, g.config.ReserveTimeout)
	defer cancel()
	defer chosen.Server.Await(time.Now())()
	reservation, err := g.Backends.Reserve(ctx, g.entry(chosen), g.need, g.service.Engine.Hold)
	if g.ctx.Err() == nil {
		g.learn(chosen.Server, err)
	}
	return reservation, err
}

// read has the prompt read. A prefill does not run the request, so whatever
// becomes of it the request can still be refused.
func (g *generation) read() *stepError {
	if g.readAtDecode {
		return nil
	}
	for try := 1; ; try++ {
		err := g.readOnce()
		if err == nil {
			return nil
		}
		if g.ctx.Err() != nil {
			return &stepError{why: reason.CallerGone, detail: err.Error()}
		}
		if try == maxPrefills || !g.Budget(g.service.Name).Spend(time.Now()) {
			return &stepError{why: reason.PrefillFailed, detail: err.Error()}
		}
		g.Metrics.Retried(reason.PrefillFailed)
		if len(g.servers.Prefill[g.service.Name]) > 1 {
			g.tried = append(g.tried, g.prefill.Name)
		}
		if failed := g.choosePrefill(); failed != nil || g.readAtDecode {
			return failed
		}
	}
}

// maxPrefills bounds the tries to have one prompt read.
const maxPrefills = 2

func (g *generation) readOnce() error {
	server := g.prefill.Server
	tokens := g.request.Generation.PromptTokens
	ctx, cancel := context.WithDeadline(g.ctx, g.target.Add(g.config.LateReading))
	defer cancel()
	defer server.Begin(tokens)()
	defer server.Await(time.Now())()
	g.path = append(g.path, g.prefill.Name)
	began := time.Now()
	waiting := server.WaitingTokens()
	result, err := g.Backends.Prefill(ctx, g.entry(g.prefill), g.request, g.deadline)
	if g.ctx.Err() == nil {
		g.learn(server, err)
	}
	g.decide(stepRead, resultOf(err), "server", g.prefill.Name, "waiting", waiting, "tookMillis", time.Since(began).Milliseconds())
	if err != nil {
		return err
	}
	server.Prefills.Measure(max(waiting, tokens), time.Since(began))
	g.result = &result
	return nil
}

// begin starts the stream at the decode engine that has the reservation.
func (g *generation) begin() (*Stream, *stepError) {
	server := g.decode.Server
	g.path = append(g.path, g.decode.Name)
	order := DecodeOrder{Reservation: g.reservation, LastEvent: g.request.LastEvent}
	unread := 0
	if g.result != nil {
		order.Source, order.Handle = g.entry(g.prefill), g.result.Handle
	} else {
		unread = g.request.Generation.PromptTokens
	}
	done := server.Begin(0)
	g.readDone = sync.OnceFunc(server.Unread(unread))
	heard := server.Await(time.Now())
	stream, err := g.Backends.Decode(g.ctx, g.entry(g.decode), g.request, order, g.deadline)
	if g.ctx.Err() == nil {
		g.learn(server, err)
	}
	g.decide(stepDecode, resultOf(err), "server", g.decode.Name, "unread", unread)
	if err == nil {
		g.mayRun = true
		if g.result != nil {
			g.prefill.Server.HandoffDone()
		}
		// The engine has used both up.
		g.reservation, g.result = "", nil
		g.done = func() { done(); heard(); g.readDone() }
		return stream, nil
	}
	done()
	heard()
	g.readDone()
	var notRun *NotRun
	if errors.As(err, &notRun) {
		return g.readAfterAll(notRun)
	}
	g.mayRun = true
	return nil, &stepError{why: reason.DecodeFailed, detail: err.Error(), lost: err}
}

// readAfterAll goes on when the decode engine did not take the prefill's
// result, which may have lapsed: once more at the same engine, which then reads
// the prompt itself.
func (g *generation) readAfterAll(refused *NotRun) (*Stream, *stepError) {
	failed := &stepError{why: refused.Why, detail: refused.Detail}
	if g.result == nil || !refused.Sent {
		return nil, failed
	}
	g.prefill.Server.HandoffLost(time.Now())
	late := time.Now().After(g.target.Add(-g.config.LandingMargin))
	if late || !g.Budget(g.service.Name).Spend(time.Now()) {
		return nil, failed
	}
	g.Metrics.Retried(refused.Why)
	g.decide(stepRetry, "read_at_decode", "why", refused.Why)
	// Whether the engine has used up the reservation, and whether the result
	// still is there, is not known.
	g.returnTaken()
	g.readAtDecode = true
	return g.begin()
}

// grow notes that the request needs more memory than was expected.
func (g *generation) grow(tokens int) {
	if tokens <= g.committed {
		return
	}
	g.decode.Server.Hold(tokens - g.committed)
	g.committed = tokens
}

// free ends the notes of what it has committed at the decode engine.
func (g *generation) free() {
	g.done()
	if g.decode != nil {
		g.decode.Server.Hold(-g.committed)
	}
	g.committed = 0
}

// giveBack ends the request's part at the engines.
func (g *generation) giveBack() {
	g.free()
	g.returnTaken()
}

// returnTaken frees what the request has taken and not used.
func (g *generation) returnTaken() {
	if g.reservation != "" {
		server, id := g.entry(g.decode), g.reservation
		g.cleanup(func(ctx context.Context) { g.report("reservation", server, g.Backends.Release(ctx, server, id)) })
	}
	if g.result != nil {
		server, handle := g.entry(g.prefill), g.result.Handle
		g.cleanup(func(ctx context.Context) { g.report("prefill result", server, g.Backends.Free(ctx, server, handle)) })
	}
	g.reservation, g.result = "", nil
}

// report notes that something could not be given back. It lapses by itself.
func (g *generation) report(what string, server *registry.Entry, err error) {
	if err != nil {
		g.Metrics.NotReturned(what)
		logNotReturned(g.request.ID, what, server.ID, err)
	}
}

// expectedMemory estimates the KV memory that a request will need: its prompt
// and a part of what it is expected to generate. While it grows to all of that,
// others end: a larger part keeps out requests that would have found room, and
// with a smaller one requests are preempted and read in again.
func expectedMemory(want *Generation, margin float64) int {
	generated := want.MaxTokens
	if want.LengthHint > 0 {
		generated = min(generated, want.LengthHint)
	}
	return want.PromptTokens + int(float64(generated)*margin)
}
