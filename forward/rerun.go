package forward

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

// A stream whose engine crashes, breaks off or falls silent goes on at another
// one, behind the last whole event that its caller has, where its route allows
// it. Its caller would wait for a silent one until it gives up, then come back
// and have its prompt read anew all the same.

// mayRerun says whether the request may run at one more engine.
func (g *generation) mayRerun() bool {
	return !g.noRerun && g.route.Repeat == table.RepeatResume && g.runs < g.route.Attempts && g.ctx.Err() == nil && g.mayRepeat()
}

// rerun has the request run at another engine than the last, behind the last
// event.
func (g *generation) rerun(why error) (*Stream, *stepError) {
	failed := &stepError{why: reason.StreamBroken, detail: why.Error(), lost: why}
	g.noRerun = true
	if !g.Budget(g.service.Name).Spend(clock.Now()) {
		g.decide(stepRetry, "no", "why", reason.StreamBroken, "runs", g.runs, "budgetLeft", 0)
		return nil, failed
	}
	g.Metrics.Retried(reason.StreamBroken)
	g.decide(stepRetry, "rerun", "why", reason.StreamBroken, "cause", why.Error(), "runs", g.runs, "behind", g.request.LastEvent)
	g.free()
	g.returnTaken()
	g.broken = append(g.broken, g.decode.Name)
	g.tried = g.tried[:0]
	now := clock.Now()
	g.since, g.target = now, now.Add(g.route.TTFT)
	for _, step := range []func() *stepError{g.choosePrefill, g.reserve, g.readAgain} {
		if step() != nil {
			return nil, failed
		}
	}
	g.noRerun = false
	return g.begin()
}

// readAgain has the prompt read once more. Other than the first, such a prefill
// counts against the budget.
func (g *generation) readAgain() *stepError {
	if !g.readAtDecode && !g.Budget(g.service.Name).Spend(clock.Now()) {
		g.readAtDecode = true
	}
	return g.read()
}

// stallPauses is how many of the longest pauses in time, with no event, make a
// stream count as stalled: a preempted request pauses for one or two while its
// prompt is read anew, and a caller waits for eight (source: the users'
// protocol).
const stallPauses = 3

// stallAfter is the silence after which a run counts as stalled.
func (g *generation) stallAfter(events int) time.Duration {
	if events == 0 {
		return g.route.TTFT
	}
	return stallPauses * g.route.TBT
}

// watch returns a context for one run that ends when the run stalls and can go
// on elsewhere. A server's silence alone ends no answer.
func (g *generation) watch() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(g.ctx)
	g.stall = nil
	if !g.mayRerun() {
		return ctx, cancel
	}
	service, at, need, allowed := g.service.Name, g.decode.Name, g.need, g.regions
	recheck := g.stallAfter(1)
	var stall *time.Timer
	ready := make(chan struct{})
	stall = time.AfterFunc(g.stallAfter(0), func() {
		<-ready
		if ctx.Err() != nil {
			return
		}
		if g.Gateway.hasRoomBeside(at, service, need, allowed) {
			cancel()
			return
		}
		stall.Reset(recheck)
	})
	g.stall = stall
	close(ready)
	return ctx, cancel
}

// rerunRetries is what a run at another engine takes from the budget: the run
// itself and the reading of its prompt.
const rerunRetries = 2

// hasRoomBeside says whether another engine than one, in the allowed regions, would take a
// run of so much memory, and whether the budget allows it.
func (g *Gateway) hasRoomBeside(one, service string, need int, allowed regions) bool {
	if g.Budget(service).Left(clock.Now()) < rerunRetries {
		return false
	}
	for _, backend := range g.View.Servers().Decode[service] {
		server := g.Fleet.Server(backend.Name)
		if backend.Name == one || backend.Drain || !allowed.hold(backend, g.RegionOf) || server == nil || server.Pressure.Look(backpressure.ReserveWork, clock.Now()) != backpressure.Clear {
			continue
		}
		if backend.MemoryTokens == 0 || g.freeAt(backend) >= need {
			return true
		}
	}
	return false
}

// alive notes an event of the run.
func (g *generation) alive(events int) {
	if g.stall != nil {
		g.stall.Reset(g.stallAfter(events))
	}
}

// unwatch ends the watch over the run.
func (g *generation) unwatch() {
	if g.stall != nil {
		g.stall.Stop()
	}
}
