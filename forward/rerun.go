package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/upstream"
)

// A stream whose engine crashes, breaks off or falls silent continues at another engine, after
// the last whole event that its caller has, if its route allows it. Otherwise the caller of a
// silent stream waits until it gives up, and then sends the request again, so that its prompt
// is read again anyway.

// mayRerun reports whether the request may run at one more engine.
func (g *generation) mayRerun() bool {
	return !g.noRerun && g.route.Repeat == table.RepeatResume && g.runs < g.route.Attempts && g.ctx.Err() == nil && g.mayRepeat()
}

// rerun runs the request at another engine, after the last event that the caller has.
func (g *generation) rerun(why error) (*Stream, *stepError) {
	failed := &stepError{why: reason.StreamBroken, detail: why.Error(), unknownOutcome: why}
	g.noRerun = true
	if pace := g.pace(); g.outlastsStop(pace, g.generated(), pace.first, maxBegunCutChance) {
		return nil, failed
	}
	if !g.hasOriginElsewhere() {
		g.record(stepRetry, "no", "why", reason.VersionGone, "runs", g.runs, "version", g.origin.Load().Release)
		return nil, failed
	}
	if !g.Budget(g.service.Name).Spend(clock.Now()) {
		g.record(stepRetry, "no", "why", reason.StreamBroken, "runs", g.runs, "budgetLeft", 0)
		return nil, failed
	}
	g.Metrics.Retried(reason.StreamBroken)
	g.record(stepRetry, "rerun", "why", reason.StreamBroken, "cause", why.Error(), "runs", g.runs, "behind", g.request.LastEvent)
	g.releaseDecode()
	g.releaseUnused()
	g.brokenAt = append(g.brokenAt, g.decode.Name)
	g.tried = g.tried[:0]
	now := clock.Now()
	g.since, g.target = now, now.Add(g.route.TTFT)
	for _, step := range []func() *stepError{g.choosePrefill, g.reserve, g.readAgain} {
		if step() != nil {
			return nil, failed
		}
	}
	g.noRerun = false
	return g.startDecode()
}

// readAgain has the prompt read once more. Unlike the first prefill, this one counts against
// the retry budget.
func (g *generation) readAgain() *stepError {
	if !g.readAtDecode && !g.Budget(g.service.Name).Spend(clock.Now()) {
		g.readAtDecode = true
	}
	return g.readPrompt()
}

// errStalled is the cause of the end of a silent run that is to continue at another engine.
var errStalled = errors.New("the run fell silent")

// stallPauses is the silence after which a stream counts as stalled, as a multiple of the
// longest tolerated pause between events. A preempted request pauses for one or two such pauses
// while its prompt is read again, and a caller waits for eight (source: the platform's
// protocol).
const stallPauses = 3

// stallAfter returns the silence after which a run counts as stalled. A stream that has been silent
// for so long is late in any case, so that waiting for a sound engine costs its caller little.
func (g *generation) stallAfter(events int) time.Duration {
	usual := stallPauses * g.route.TBT
	if events == 0 {
		usual = g.route.TTFT
	}
	return max(usual, upstream.SoundSilence)
}

// watchForStall returns a context for one run that ends when the run stalls and can continue at
// another engine. If no other engine takes the run over, a silent server's run is not ended.
func (g *generation) watchForStall() (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(g.ctx)
	cancel := func() { end(nil) }
	g.stallTimer = nil
	if !g.mayRerun() {
		return ctx, cancel
	}
	service, at, need, allowed, began := g.service.Name, g.decode.Name, g.need, g.regions, &g.origin
	answer := g.answer(0)
	// isCutAfter reports whether a rerun after that many events would be cut, while the silent engine may still end its run in
	// time.
	isCutAfter := func(events int64) bool {
		pace, rest := g.pace(), answer
		rest.Generated += float64(events) * float64(g.service.Engine.EventTokens)
		return g.cutChance(pace, rest, pace.first) > maxBegunCutChance
	}
	recheck := g.stallAfter(1)
	var stall *time.Timer
	ready := make(chan struct{})
	stall = time.AfterFunc(g.stallAfter(0), func() {
		<-ready
		if ctx.Err() != nil {
			return
		}
		events := g.stallEvents.Load()
		taken := !isCutAfter(events) && g.isTakenBy(ctx, g.Gateway.enginesWithRoom(at, service, need, allowed, began.Load()), need)
		switch {
		case ctx.Err() != nil || g.stallEvents.Load() != events:
		case taken && !isCutAfter(events):
			// The shutdown may have begun while the other engine was asked.
			end(errStalled)
		default:
			stall.Reset(recheck)
		}
	})
	g.stallTimer = stall
	close(ready)
	return ctx, cancel
}

// rerunCost is what a run at another engine takes from the retry budget: the run itself and
// the reading of its prompt.
const rerunCost = 2

// enginesWithRoom returns the engines other than excluded, in the allowed regions and of the release at which the stream
// began, that would accept a run that needs that much memory; none if the retry budget does not allow it. began is nil
// before the stream's first event.
func (g *Gateway) enginesWithRoom(excluded, service string, need int, allowed regions, began *origin.Origin) (engines []*registry.Entry) {
	if g.Budget(service).Left(clock.Now()) < rerunCost {
		return nil
	}
	servers := g.View.Servers()
	for _, backend := range servers.Decode[service] {
		if !g.mayRunAt(servers, backend, began) {
			continue
		}
		server := g.Fleet.Server(backend.Name)
		if backend.Name == excluded || backend.Drain || !allowed.contains(backend, g.RegionOf) || server == nil || server.Pressure.Check(backpressure.ReserveWork, clock.Now()) != backpressure.Clear {
			continue
		}
		if backend.MemoryTokens == 0 || g.freeMemoryAt(backend) >= need {
			engines = append(engines, servers.ByRun[backend.Name])
		}
	}
	return engines
}

// isTakenBy reports whether one of the engines has the memory for the stream now, which their known state may not show. The
// memory is reserved for a moment, and released before the silent run ends: the run at the other engine reserves it anew.
func (g *generation) isTakenBy(ctx context.Context, engines []*registry.Entry, need int) bool {
	for _, engine := range engines[:min(len(engines), g.config.ReserveTries)] {
		if g.reserveBriefly(ctx, engine, need) {
			return true
		}
	}
	return false
}

// reserveBriefly reserves memory at an engine and releases it.
func (g *generation) reserveBriefly(ctx context.Context, engine *registry.Entry, need int) bool {
	ctx, cancel := context.WithTimeout(ctx, g.config.ReserveTimeout)
	defer cancel()
	reservation, err := g.Backends.Reserve(ctx, engine, need, g.config.ReserveTimeout)
	if err != nil {
		return false
	}
	if server := g.Fleet.Server(engine.Run()); server != nil {
		// The rerun must not take the engine for one that is silent.
		server.RecordContact(clock.Now())
		server.Accepted()
	}
	g.logLeak("reservation", engine, g.Backends.Release(ctx, engine, reservation))
	return true
}

// mayRunAt reports whether a stream that its caller may take up may run at an engine. began is nil before
// the stream's first event.
func (g *Gateway) mayRunAt(servers *Servers, engine *table.BackendView, began *origin.Origin) bool {
	if began != nil {
		return servers.isAt(engine, began)
	}
	at, known := servers.originOf(engine)
	if !known {
		return false
	}
	_, open := g.Origins.MayBegin(at)
	return open
}

// resetStallTimer restarts the stall timer after events of the run. events is the number of all events of the request.
func (g *generation) resetStallTimer(events int) {
	if g.stallTimer != nil {
		g.stallEvents.Store(int64(events))
		g.stallTimer.Reset(g.stallAfter(events))
	}
}

// stopStallTimer ends the monitoring of the run.
func (g *generation) stopStallTimer() {
	if g.stallTimer != nil {
		g.stallTimer.Stop()
	}
}
