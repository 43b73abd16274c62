package forward

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forecast"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// reserve reserves memory at a decode engine. If no engine has enough, it retries for a short
// while. A caller loses least if it is refused within the fraction RefuseWithin of its
// first-token target.
func (g *generation) reserve() *stepError {
	if g.forecasting() {
		return g.reserveByForecast()
	}
	until := g.since.Add(g.memoryWait())
	for {
		failed := g.reserveOnce()
		if failed == nil || !g.mayClear(failed.why, until) {
			return failed
		}
		if clock.Now().Add(g.config.ReservePause).After(until) {
			g.record(stepReserve, "none", "need", g.need, "spare", g.spare(), "yield", g.yield(), "mostFree", g.mostFree())
			return failed
		}
		if failed := g.pauseForEngine(g.config.ReservePause); failed != nil {
			return failed
		}
		g.tried = g.tried[:0]
	}
}

// memoryWait returns how long the request waits for memory at most. A request that has run cannot come back as a new one, so
// that it waits for as long as callers bear the silence of a stream.
func (g *generation) memoryWait() time.Duration {
	refuseWithin := time.Duration(g.config.RefuseWithin * float64(g.route.TTFT))
	if g.runs > 0 {
		return max(refuseWithin, g.stallAfter(1))
	}
	return refuseWithin
}

// mayClear reports whether the reason that prevented a reservation may have gone by the given
// time. A request that a sibling can serve does not wait.
func (g *generation) mayClear(why reason.Reason, by time.Time) bool {
	if g.mayHandOver(why) {
		return false
	}
	return why == reason.NoDecodeMemory || (why == g.unavailable && !g.availableAt.IsZero() && g.availableAt.Before(by))
}

// reserveOnce requests a reservation from a few of the engines that have the most memory left.
func (g *generation) reserveOnce() *stepError {
	tries := g.config.ReserveTries
	if g.forecasting() {
		tries = forecast.Tries
	}
	for range tries {
		query := g.query()
		query.MemoryTokens, query.Spare = g.need, g.spareForOthers()
		var expected *memoryForecast
		if g.forecasting() {
			expected = g.newForecast(nil, g.yield())
			query.Forecast = expected
		}
		if g.prefill != nil && !g.readAtDecode {
			query.Zone = g.prefill.Backend.Zone
		}
		chosen := g.chooseFor(query, g.decodeProfile(), decodePool)
		if chosen == nil {
			break
		}
		g.tried = append(g.tried, chosen.Name)
		reservation, err := g.requestReservation(chosen)
		if err == nil {
			before := g.decode
			g.decode, g.reservation = chosen, reservation
			if expected == nil {
				g.record(stepReserve, "ok", "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
				g.committed = g.need
				chosen.Server.AddMemory(g.need)
				return nil
			}
			if g.confirm(chosen, expected) {
				g.commitOnWay()
				g.Metrics.MemoryDecided(g.service.Name, metrics.MemoryAdmitted)
				return nil
			}
			g.releaseReservation()
			g.decode = before
			if g.ctx.Err() != nil {
				return &stepError{why: reason.CallerGone, detail: g.ctx.Err().Error()}
			}
			continue
		}
		g.record(stepReserve, err.Error(), "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
		if g.ctx.Err() != nil {
			return &stepError{why: reason.CallerGone, detail: err.Error()}
		}
	}
	return g.noEngineError()
}

// noEngineError returns the reason why no engine could be reserved. A stream that has begun has no target for its first token
// any more, so that it waits for an engine that can read its prompt as it waits for memory.
func (g *generation) noEngineError() *stepError {
	switch {
	case g.unavailable != reason.None && len(g.tried) == 0:
		return &stepError{why: g.unavailable, detail: "no decode engine accepts the request now"}
	case g.readAtDecode && g.runs == 0:
		return &stepError{why: reason.DeadlineTooClose, detail: "no engine can read the prompt in time"}
	}
	return &stepError{why: reason.NoDecodeMemory, detail: "no decode engine has enough free memory"}
}

// decodeProfile returns the profile that chooses the decode engine. An engine that is also to
// read the prompt must not be reading another prompt.
func (g *generation) decodeProfile() *route.Profile {
	if g.readAtDecode {
		return g.Gateway.readingDecode
	}
	return g.Gateway.decode
}

// mostFree returns the most KV memory that any decode engine has left, in tokens.
func (g *generation) mostFree() int {
	most := 0
	for _, backend := range g.servers.Decode[g.service.Name] {
		most = max(most, g.freeMemoryAt(backend))
	}
	return most
}

// yield returns how much memory the request leaves free for other requests, as a multiple of
// the fraction that spare returns.
func (g *generation) yield() float64 { return route.TeamFactor(g.allotmentUsed, g.config.TeamHeadroom) }

// spare returns the fraction of an engine's memory that must stay free beside the request, for
// requests that outgrow their expected size.
func (g *generation) spare() float64 {
	memory := g.service.Engine.MemoryTokens
	if memory == 0 {
		return 0
	}
	sizes := g.sizesOf(g.service.Name)
	return sizes.Spare(memory)
}

// spareForOthers returns the fraction of an engine's memory that the request leaves free for other requests. A stream under
// way that has lost its engine may use it.
func (g *generation) spareForOthers() float64 {
	if g.runs > 0 {
		return 0
	}
	return g.spare() * g.yield()
}

func (g *generation) requestReservation(chosen *route.ScoredCandidate) (Reservation, error) {
	ctx, cancel := context.WithTimeout(g.ctx, g.config.ReserveTimeout)
	defer cancel()
	ctx, stop := g.whileLinked(ctx)
	defer stop()
	defer chosen.Server.AwaitAnswer(clock.Now())()
	reservation, err := g.Backends.Reserve(ctx, g.entry(chosen), g.need, g.service.Engine.Hold)
	if g.ctx.Err() == nil {
		g.updateServer(chosen.Server, err)
	}
	return reservation, err
}

// grow accounts for memory that the request needs beyond its expected size.
func (g *generation) grow(tokens int) {
	if g.forecasting() {
		g.commit(tokens)
		return
	}
	if tokens <= g.committed {
		return
	}
	g.decode.Server.AddMemory(tokens - g.committed)
	g.committed = tokens
}

// commit accounts for the memory that the stream holds now. Where admission is by forecast, that is
// what siblings need to know: they derive from it how far the streams at the engine have come.
func (g *generation) commit(tokens int) {
	g.decode.Server.AddMemory(tokens - g.committed)
	g.committed = tokens
	g.track()
	g.tracked.generated.Store(int64(max(tokens-g.request.Generation.PromptTokens, 0)))
}

// commitOnWay accounts for a request that has a reservation. It counts as one of the engine's
// requests from now on, so that siblings can divide the memory by the number of requests.
func (g *generation) commitOnWay() {
	g.endOnWay()
	g.endReserved = sync.OnceFunc(g.decode.Server.RequestSent(0))
	g.commit(g.request.Generation.PromptTokens)
}

// endOnWay ends the count of a request that is on its way to its engine.
func (g *generation) endOnWay() {
	if g.endReserved != nil {
		g.endReserved()
	}
}

// confirmBelow is the fraction of an engine's memory that the forecast leaves free below which the
// engine confirms it. Instances know each other's requests some 150 ms late, and in a burst they
// overshoot together by one or two streams, of an eighth of the memory each.
const confirmBelow = 0.4

// confirm reports whether the engine can take the request, which has a reservation there. The
// engine knows its present memory, and the forecast how much more than that will be needed at the
// peak. That much is reserved for a moment. If the engine refuses, the forecast was made from old
// state.
func (g *generation) confirm(chosen *route.ScoredCandidate, expected *memoryForecast) bool {
	admission := expected.Admission(chosen.Candidate)
	growth := int(admission.Growth) - g.need
	inputs := append([]any{"server", chosen.Name, "growth", growth}, expected.inputs(chosen.Candidate)...)
	if growth <= 0 || admission.Free >= confirmBelow*float64(chosen.Backend.MemoryTokens) {
		g.record(stepReserve, "ok", inputs...)
		return true
	}
	ctx, cancel := context.WithTimeout(g.ctx, g.config.ReserveTimeout)
	defer cancel()
	entry := g.entry(chosen)
	extra, err := g.Backends.Reserve(ctx, entry, growth, g.config.ReserveTimeout)
	if err == nil {
		g.cleanup(func(ctx context.Context) { g.logLeak("reservation", entry, g.Backends.Release(ctx, entry, extra)) })
	}
	var refused *NotRunError
	if errors.As(err, &refused) && refused.Sent {
		g.record(stepReserve, "growth refused", inputs...)
		g.Metrics.MemoryDecided(g.service.Name, metrics.MemoryGrowthRefused)
		return false
	}
	g.record(stepReserve, "ok", inputs...)
	return true
}

// releaseDecode ends the accounting for the request at the decode engine.
func (g *generation) releaseDecode() {
	g.endRun()
	g.uncommit()
}

// uncommit ends the accounting for the request's memory at the decode engine.
func (g *generation) uncommit() {
	if g.decode != nil {
		g.decode.Server.AddMemory(-g.committed)
	}
	g.committed = 0
	g.endOnWay()
	g.untrack()
}

// releaseAll releases everything that the request holds at the engines.
func (g *generation) releaseAll() {
	g.releaseDecode()
	g.releaseUnused()
}

// releaseUnused releases the resources that the request has not used.
func (g *generation) releaseUnused() {
	g.releaseReservation()
	if entry := g.holder(g.prefill, string(g.result)); entry != nil {
		result := g.result
		g.cleanup(func(ctx context.Context) { g.logLeak("prefill result", entry, g.Backends.Free(ctx, entry, result)) })
	}
	g.result = ""
}

// releaseReservation releases reserved memory that is not used.
func (g *generation) releaseReservation() {
	if entry := g.holder(g.decode, string(g.reservation)); entry != nil {
		reservation := g.reservation
		g.cleanup(func(ctx context.Context) {
			g.logLeak("reservation", entry, g.Backends.Release(ctx, entry, reservation))
		})
	}
	g.reservation = ""
}

// holder returns the entry of the server run that still holds a resource of the request. It
// returns nil if nothing is held, or if the server was restarted: the same name may now
// identify a resource of another request.
func (g *generation) holder(at *route.ScoredCandidate, what string) *registry.Entry {
	if what == "" {
		return nil
	}
	entry := g.entry(at)
	if g.View.Servers().Restarted(entry) {
		return nil
	}
	return entry
}

// logLeak counts and logs a resource that could not be released. It expires by itself.
func (g *generation) logLeak(what string, server *registry.Entry, err error) {
	if err != nil {
		g.Metrics.NotReleased(what)
		logNotReleased(g.id, what, server.ID, err)
	}
}

// margin returns the fraction of the expected tokens for which memory is reserved. Memory
// needed beyond that is found at the same engine or, if running streams can be moved, at any
// other engine. The errors of length estimates partly cancel (their sum grows as the square
// root of the number of streams), so each engine has to keep less of a margin the more engines
// there are.
func (f *flow) margin() float64 {
	return f.config.LengthEstimateMargin * math.Sqrt(f.poolingFactor())
}

// poolingFactor returns the fraction of the margin for estimation errors that an engine still
// needs if other engines help out. It is 1 with few engines, or if running streams are not
// moved to other engines. A stream that is moved because its engine has no memory leaves this
// fraction of the memory free that new streams leave free. With 30 engines, 21 to 63 streams of
// a day of the reference workload with long answers were preempted when moved streams left all
// of it free, 5 to 42 with 0.3 of it, and 34 to 66 with none.
func (f *flow) poolingFactor() float64 {
	if !f.service.Engine.Moves {
		return 1
	}
	return min(marginEngines/float64(max(len(f.servers.Decode[f.service.Name]), 1)), 1)
}

// marginEngines is the number of engines up to which LengthEstimateMargin applies unreduced.
// Compared with a margin of 0.6, a margin of 0.3 lowers the score of a simulated day of
// the reference workload by 0.02 with 7 engines and raises it by 0.04 with 30 engines.
const marginEngines = 7.0

// expectedLength returns the caller's estimate of the tokens that a request generates, bounded
// by the maximum that it allows.
func expectedLength(want *Generation) int {
	if want.LengthHint > 0 {
		return min(want.MaxTokens, want.LengthHint)
	}
	return want.MaxTokens
}

// expectedMemory estimates the KV memory that a request will need: its prompt and a fraction of
// the tokens that it is expected to generate. While the request grows to its full size, other
// requests end. A larger fraction keeps out requests that would have found room. With a smaller
// fraction, requests are preempted and their prompts read again.
func expectedMemory(want *Generation, expected int, margin float64) int {
	return want.PromptTokens + int(float64(min(expected, want.MaxTokens))*margin)
}
