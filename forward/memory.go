package forward

import (
	"context"
	"math"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// reserve has a decode engine keep memory free. While there is none, it asks
// again for a short while: a caller that is refused within a part of its target
// loses least.
func (g *generation) reserve() *stepError {
	until := g.since.Add(time.Duration(g.config.RefuseWithin * float64(g.route.TTFT)))
	for {
		failed := g.reserveOnce()
		if failed == nil || !g.mayPass(failed.why, until) {
			return failed
		}
		if clock.Now().Add(g.config.ReservePause).After(until) {
			g.decide(stepReserve, "none", "need", g.need, "spare", g.spare(), "yield", g.yield(), "mostFree", g.mostFree())
			return failed
		}
		if !wait.For(g.ctx, g.config.ReservePause) {
			return &stepError{why: reason.CallerGone, detail: g.ctx.Err().Error()}
		}
		g.tried = g.tried[:0]
	}
}

// mayPass says whether what no engine could be reserved for may be over by then.
func (g *generation) mayPass(why reason.Reason, by time.Time) bool {
	return why == reason.NoDecodeMemory || (why == g.held && !g.opens.IsZero() && g.opens.Before(by))
}

// reserveOnce asks the engines with most memory left, only some of them.
func (g *generation) reserveOnce() *stepError {
	for range g.config.ReserveTries {
		query := g.query()
		query.MemoryTokens, query.Spare = g.need, g.spare()*g.yield()
		if g.prefill != nil && !g.readAtDecode {
			query.Zone = g.prefill.Backend.Zone
		}
		chosen := g.chooseBy(query, g.decodeProfile(), decodePool)
		if chosen == nil {
			break
		}
		g.tried = append(g.tried, chosen.Name)
		reservation, err := g.ask(chosen)
		if err == nil {
			g.decide(stepReserve, "ok", "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
			g.decode, g.reservation = chosen, reservation
			g.committed = g.need
			chosen.Server.Hold(g.need)
			return nil
		}
		g.decide(stepReserve, err.Error(), "server", chosen.Name, "free", route.FreeTokens(chosen.Candidate))
		if g.ctx.Err() != nil {
			return &stepError{why: reason.CallerGone, detail: err.Error()}
		}
	}
	return g.noEngine()
}

// noEngine says why no engine could be reserved.
func (g *generation) noEngine() *stepError {
	switch {
	case g.held != reason.None && len(g.tried) == 0:
		return &stepError{why: g.held, detail: "no decode engine takes it now"}
	case g.readAtDecode:
		return &stepError{why: reason.DeadlineTooClose, detail: "the prompts ahead take too long"}
	}
	return &stepError{why: reason.NoDecodeMemory, detail: "no decode engine has enough memory left"}
}

// decodeProfile chooses an engine that generates; one that is to read the
// prompt too must not be reading another.
func (g *generation) decodeProfile() *route.Profile {
	if g.readAtDecode {
		return g.Gateway.readingDecode
	}
	return g.Gateway.decode
}

// mostFree is the most KV memory that any decode engine has left, in tokens.
func (g *generation) mostFree() int {
	most := 0
	for _, backend := range g.servers.Decode[g.service.Name] {
		most = max(most, g.freeAt(backend))
	}
	return most
}

// yield is what the request leaves free for others, as a multiple of the spare.
func (g *generation) yield() float64 { return route.Yield(g.used, g.config.TeamYield) }

// spare is the part of an engine's memory that must stay free beside the
// request, for those that outgrow what was expected of them.
func (g *generation) spare() float64 {
	memory := g.service.Engine.MemoryTokens
	if memory == 0 {
		return 0
	}
	sizes := g.sizesOf(g.service.Name)
	return sizes.Spare(memory)
}

func (g *generation) ask(chosen *route.Rated) (Reservation, error) {
	ctx, cancel := context.WithTimeout(g.ctx, g.config.ReserveTimeout)
	defer cancel()
	defer chosen.Server.Await(clock.Now())()
	reservation, err := g.Backends.Reserve(ctx, g.entry(chosen), g.need, g.service.Engine.Hold)
	if g.ctx.Err() == nil {
		g.learn(chosen.Server, err)
	}
	return reservation, err
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
	g.uncommit()
}

// uncommit ends the note of its memory at the decode engine.
func (g *generation) uncommit() {
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
	g.returnReservation()
	if server := g.taken(g.prefill, string(g.result)); server != nil {
		result := g.result
		g.cleanup(func(ctx context.Context) { g.report("prefill result", server, g.Backends.Free(ctx, server, result)) })
	}
	g.result = ""
}

// returnReservation gives up memory that was reserved and is not used.
func (g *generation) returnReservation() {
	if server := g.taken(g.decode, string(g.reservation)); server != nil {
		reservation := g.reservation
		g.cleanup(func(ctx context.Context) {
			g.report("reservation", server, g.Backends.Release(ctx, server, reservation))
		})
	}
	g.reservation = ""
}

// taken returns the run of a server that still keeps what a request took there; nil
// if nothing was taken, or if the server has started again: what it names so now may
// be another request's.
func (g *generation) taken(at *route.Rated, what string) *registry.Entry {
	if what == "" {
		return nil
	}
	entry := g.entry(at)
	if g.View.Servers().Restarted(entry) {
		return nil
	}
	return entry
}

// report notes that something could not be given back. It lapses by itself.
func (g *generation) report(what string, server *registry.Entry, err error) {
	if err != nil {
		g.Metrics.NotReturned(what)
		logNotReturned(g.request.ID, what, server.ID, err)
	}
}

// margin is the part of the tokens that a request is expected to generate for which
// memory is reserved. What it needs beyond is found at its engine, or, where streams move,
// at any other: the errors of guesses at all streams of a service add up as a root, so the
// more engines there are, the less of them each has to keep.
func (f *flow) margin() float64 {
	return f.config.HintMargin * math.Sqrt(f.pooled())
}

// pooled is the part of an engine's own share in what errors of guesses take that is left
// where others help out: 1 with few engines, or where streams do not move. A stream that moves since its engine has no
// memory leaves this part of what newcomers leave free. With all of it 21 to 63 streams of
// a day were preempted before 30 engines, with 0.3 5 to 42, with none 34 to 66 (two days of
// two seeds each of the users' sheet with long answers).
func (f *flow) pooled() float64 {
	if !f.service.Engine.Moves {
		return 1
	}
	return min(marginEngines/float64(max(len(f.servers.Decode[f.service.Name]), 1)), 1)
}

// marginEngines is how many engines HintMargin was measured with. With 0.3 in place of 0.6
// days were worth 0.02 less with 7 engines, and 0.04 more with 30 (trials: 12 days of two
// sheets, four of another).
const marginEngines = 7.0

// expectedLength is a caller's guess at the tokens that a request generates,
// within what it allows.
func expectedLength(want *Generation) int {
	if want.LengthHint > 0 {
		return min(want.MaxTokens, want.LengthHint)
	}
	return want.MaxTokens
}

// expectedMemory estimates the KV memory that a request will need: its prompt
// and a part of what it is expected to generate. While it grows to all of that,
// others end: a larger part keeps out requests that would have found room, and
// with a smaller one requests are preempted and read in again.
func expectedMemory(want *Generation, expected int, margin float64) int {
	return want.PromptTokens + int(float64(min(expected, want.MaxTokens))*margin)
}
