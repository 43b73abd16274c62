package forward

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// generation is the state of a request to a model service while it is forwarded. Memory at a
// decode engine is reserved before a prompt is read, so that no prompt is read in vain.
type generation struct {
	*flow
	ctx    context.Context
	cancel context.CancelFunc
	// need is the KV memory that is reserved for the request, in tokens.
	need int
	// since is when the caller began to wait for the next event. target is when that event is
	// due.
	since  time.Time
	target time.Time
	// resumed is set if the caller already had the start of the stream when its request
	// arrived.
	resumed bool
	// continuedBy is how the stream continues, from its continuation until its next event; empty for
	// a new stream.
	continuedBy metrics.Continuation
	// runs counts the engines that may have run the request, and events the events that it got of them.
	runs, events int
	// noRerun is set once a run at another engine was not possible.
	noRerun bool
	// stallTimer ends the current run if it falls silent; nil if the request cannot continue at
	// another engine. cancelRun ends the run immediately.
	stallTimer *time.Timer
	// stallEvents is the number of events when stallTimer was last restarted.
	stallEvents atomic.Int64
	cancelRun   context.CancelFunc
	// standby, if set, continues the run if its decode engine is silent.
	standby *standby
	// runCtx is the context of the current run.
	runCtx context.Context

	prefill *route.ScoredCandidate
	decode  *route.ScoredCandidate
	// reservation and result are resources that the request holds and has not used yet.
	reservation Reservation
	result      PrefillHandle
	// readFrom is when the prefill that made the result was requested, and readAt when the result arrived.
	readFrom, readAt time.Time
	// readTwice is set once the prompt was read again because the first result had lapsed.
	readTwice bool
	// committed is the memory that is accounted to the request at the decode engine, in
	// tokens.
	committed int
	// tracked is the stream's entry among this instance's streams, for forecasts of memory; nil
	// before the first reservation.
	tracked *trackedStream
	// endReserved removes the request from the decode engine's count of requests while it is on its
	// way there; nil before the first reservation.
	endReserved func()
	// readAtDecode is set if the decode engine reads the prompt itself.
	readAtDecode bool
	// endPromptRead removes the prompt from the decode engine's count of unread tokens.
	endPromptRead func()
	// endRun removes the run from the decode engine's counts of requests, awaited answers and
	// unread tokens.
	endRun func()
}

// stepError is the reason why a step failed, in the terms of the reply.
type stepError struct {
	why    reason.Reason
	detail string
	// unknownOutcome is the cause if the outcome of the step is not known.
	unknownOutcome error
}

// isGeneration reports whether the request is for a model.
func (f *flow) isGeneration() bool {
	return f.service.Type == table.TypeModel && f.request.Generation != nil
}

func (f *flow) generate(caller context.Context) *Reply {
	ctx, cancel := clock.WithDeadline(caller, f.deadline)
	g := &generation{
		flow: f, ctx: ctx, cancel: cancel, endRun: func() {},
		since: f.request.Arrived, target: f.request.Arrived.Add(f.route.TTFT),
		resumed: f.request.LastEvent != "",
	}
	if g.resumed {
		g.continuedBy = metrics.ContinuedByCaller
	}
	g.need = expectedMemory(f.request.Generation, g.expectTokens(), f.margin())
	f.sizesOf(f.service.Name).RecordStart(g.need, g.expected)
	if f.forecasting() {
		f.memoryModelOf(f.service.Name).recordStart(f.request.Generation.PromptTokens, g.expected)
	}
	stream, failed := g.run()
	for failed != nil && failed.unknownOutcome != nil && g.mayRerun() {
		stream, failed = g.rerun(failed.unknownOutcome)
	}
	if failed == nil {
		return newRelay(g, stream).begin()
	}
	defer cancel()
	g.releaseAll()
	if failed.unknownOutcome != nil {
		return f.endWithoutAnswer(ctx, failed.unknownOutcome)
	}
	if ctx.Err() != nil {
		return f.endWithoutAnswer(ctx, ctx.Err())
	}
	return f.giveUp(failed.why, failed.detail)
}

// run takes the steps up to the start of the stream.
func (g *generation) run() (*Stream, *stepError) {
	want := g.request.Generation
	g.record(stepEstimate, strconv.Itoa(g.need), "prompt", want.PromptTokens, "hint", want.LengthHint, "most", want.MaxTokens)
	for _, step := range []func() *stepError{g.checkOrigin, g.choosePrefill, g.reserve, g.chooseFastEnough, g.readPrompt} {
		if failed := step(); failed != nil {
			return nil, failed
		}
	}
	return g.startDecode()
}

// startDecode starts the stream at the decode engine that has the reservation. If that engine
// began to leave while the prompt was read, another engine is used: an engine must get no new
// work from one second after it reported its drain.
func (g *generation) startDecode() (*Stream, *stepError) {
	if failed := g.errorAtBegin(0); failed != nil {
		return nil, failed
	}
	if g.isLeaving(g.decode.Name) {
		return g.decodeElsewhere(&stepError{why: reason.HandoffRefused, detail: "the decode engine is leaving"}, false)
	}
	if g.result != "" && g.View.Servers().Restarted(g.entry(g.prefill)) {
		return g.startWithoutPrefill()
	}
	if err := g.checkSend(); err != nil {
		return nil, sendStepError(err)
	}
	order := DecodeRequest{Reservation: g.reservation, LastEvent: g.request.LastEvent}
	unread := 0
	if g.result != "" {
		order.Source, order.Result = g.entry(g.prefill), g.result
	} else {
		unread = g.request.Generation.PromptTokens
	}
	g.runs++
	stream, err := g.decodeOnce(order, unread)
	if err == nil {
		if g.result != "" {
			g.prefill.Server.HandoffDone()
		}
		// The engine has used up the reservation and the prefill result.
		g.reservation, g.result = "", ""
		return stream, nil
	}
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		g.runs--
		return g.retryRefusedDecode(notRun)
	}
	g.recordSend(g.ctx, g.decode, err)
	g.mayHaveRun = true
	return nil, &stepError{why: reason.DecodeFailed, detail: err.Error(), unknownOutcome: err}
}

// callDecode sends the request to the decode engine, and to its standby if it has one.
func (g *generation) callDecode(order DecodeRequest) (*Stream, error) {
	request := g.request
	call := func(ctx context.Context, at *registry.Entry, newConnection bool) (*Stream, error) {
		order := order
		order.NewConnection = newConnection
		return g.Backends.Decode(ctx, at, request, order, g.deadline)
	}
	if g.standby == nil {
		return call(g.runCtx, g.entry(g.decode), order.NewConnection)
	}
	return g.standby.decode(g.runCtx, g.ctx, call, g.entry(g.decode), order.NewConnection)
}

// decodeOnce has the decode engine run the request once. unread is the number of prompt tokens
// that the engine still has to read.
func (g *generation) decodeOnce(order DecodeRequest, unread int) (*Stream, error) {
	server := g.decode.Server
	g.sentTo = append(g.sentTo, g.decode.Name)
	done := server.RequestSent(0)
	g.endOnWay()
	g.endPromptRead = sync.OnceFunc(server.AddUnread(unread))
	endAwait := server.AwaitAnswer(clock.Now())
	g.runCtx, g.cancelRun = g.watchForStall()
	g.recordSent(clock.Now())
	stream, err := g.callDecode(order)
	if g.ctx.Err() == nil {
		g.updateServer(server, err)
	}
	g.record(stepDecode, resultOf(err), "server", g.decode.Name, "version", g.entry(g.decode).Release, "unread", unread)
	end := func() { done(); endAwait(); g.endPromptRead() }
	if err != nil {
		g.stopStallTimer()
		g.cancelRun()
		end()
		return nil, err
	}
	g.mayHaveRun = true
	g.endRun = sync.OnceFunc(end)
	return stream, nil
}
