package forward

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

// generation is a request to a model service while it is forwarded. Memory at
// a decode engine is reserved before a prompt is read, so that no prompt is
// read for nothing.
type generation struct {
	*flow
	ctx    context.Context
	cancel context.CancelFunc
	// expected is how many tokens the request is expected to generate, and need
	// the KV memory that is reserved for it, in tokens.
	expected int
	need     int
	// since is when its caller began to wait for the next event, and target when
	// that is due.
	since  time.Time
	target time.Time
	// partial is set if its caller had a part of the stream when it came.
	partial bool
	// runs counts the engines that may have run it.
	runs int
	// noRerun is set once there was no way to run it at another engine.
	noRerun bool
	// stall ends the run at hand when it falls silent; nil if it may not go on
	// elsewhere. cut ends it at once.
	stall *time.Timer
	cut   context.CancelFunc

	prefill *route.Rated
	decode  *route.Rated
	// reservation and result are what the request has taken and not yet used.
	reservation Reservation
	result      Prefilled
	// readAt is when the result was ready.
	readAt time.Time
	// committed is the memory that is noted for it at the decode engine.
	committed int
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
	ctx, cancel := clock.WithDeadline(caller, f.deadline)
	g := &generation{
		flow: f, ctx: ctx, cancel: cancel, done: func() {},
		since: f.request.Arrived, target: f.request.Arrived.Add(f.route.TTFT),
		partial: f.request.LastEvent != "",
	}
	g.expected = f.lengthsOf(f.service.Name).Guessed(expectedLength(f.request.Generation))
	g.need = expectedMemory(f.request.Generation, g.expected, f.margin())
	f.sizesOf(f.service.Name).Asked(g.need, g.expected)
	stream, failed := g.run()
	for failed != nil && failed.lost != nil && g.mayRerun() {
		stream, failed = g.rerun(failed.lost)
	}
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
	return f.giveUp(failed.why, failed.detail)
}

// run takes the steps up to the begin of the stream.
func (g *generation) run() (*Stream, *stepError) {
	want := g.request.Generation
	g.decide(stepEstimate, strconv.Itoa(g.need), "prompt", want.PromptTokens, "hint", want.LengthHint, "most", want.MaxTokens)
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
	if stopping == nil || clock.Since(stopping.began) < g.config.StreamGrace {
		return nil
	}
	return &stepError{why: reason.Stopping, detail: "the instance is stopping"}
}

// begin starts the stream at the decode engine that has the reservation, unless
// that began to leave while the prompt was read: a second and more after it said
// so, an engine must get no new work.
func (g *generation) begin() (*Stream, *stepError) {
	if g.leaving(g.decode.Name) {
		return g.handOffElsewhere(&stepError{why: reason.HandoffRefused, detail: "the decode engine is leaving"}, false)
	}
	if g.result != "" && g.View.Servers().Restarted(g.entry(g.prefill)) {
		return g.beginWithoutResult()
	}
	if err := g.maySend(); err != nil {
		return nil, failedStep(err)
	}
	order := DecodeOrder{Reservation: g.reservation, LastEvent: g.request.LastEvent}
	unread := 0
	if g.result != "" {
		order.Source, order.Result = g.entry(g.prefill), g.result
	} else {
		unread = g.request.Generation.PromptTokens
	}
	g.runs++
	stream, err := g.decodeBy(order, unread)
	if err == nil {
		if g.result != "" {
			g.prefill.Server.HandoffDone()
		}
		// The engine has used both up.
		g.reservation, g.result = "", ""
		return stream, nil
	}
	var notRun *NotRun
	if errors.As(err, &notRun) {
		g.runs--
		return g.readAfterAll(notRun)
	}
	g.remember(g.ctx, g.decode, err)
	g.mayRun = true
	return nil, &stepError{why: reason.DecodeFailed, detail: err.Error(), lost: err}
}

// decodeBy has the decode engine run the request, which has so many tokens of its prompt
// still to read.
func (g *generation) decodeBy(order DecodeOrder, unread int) (*Stream, error) {
	server := g.decode.Server
	g.path = append(g.path, g.decode.Name)
	done := server.Begin(0)
	g.readDone = sync.OnceFunc(server.Unread(unread))
	heard := server.Await(clock.Now())
	var ctx context.Context
	ctx, g.cut = g.watch()
	g.sent = clock.Now()
	stream, err := g.Backends.Decode(ctx, g.entry(g.decode), g.request, order, g.deadline)
	if g.ctx.Err() == nil {
		g.learn(server, err)
	}
	g.decide(stepDecode, resultOf(err), "server", g.decode.Name, "unread", unread)
	end := func() { done(); heard(); g.readDone() }
	if err != nil {
		g.unwatch()
		g.cut()
		end()
		return nil, err
	}
	g.mayRun = true
	g.done = sync.OnceFunc(end)
	return stream, nil
}
