package forward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
)

// choosePrefill finds the engine that reads the prompt. Without one that would
// be done in time, the decode engine reads it.
func (g *generation) choosePrefill() *stepError {
	g.prefill = g.choose(g.Gateway.prefill, prefillPool)
	if g.prefill == nil {
		g.readAtDecode = true
		g.decide(stepRead, "at_decode", "why", reason.NoBackend)
		return nil
	}
	ahead := g.prefill.Server.PrefillTime(g.request.Generation.PromptTokens)
	_, measured := g.prefill.Server.Prefills.Time(1)
	landing := clock.Now().Add(ahead + g.config.LandingMargin)
	// Of an engine that was never measured nothing is known; the first prompts
	// tell.
	g.readAtDecode = measured && landing.After(g.target)
	if !g.readAtDecode {
		return nil
	}
	pause := g.pauseAtDecode()
	g.decide(stepRead, "at_decode", "why", reason.DeadlineTooClose, "aheadMillis", ahead.Milliseconds(), "pauseMillis", pause.Milliseconds())
	if pause > g.route.TBT {
		return &stepError{why: reason.DeadlineTooClose, detail: "reading the prompt between their tokens would delay others by " + pause.String()}
	}
	return nil
}

// decodeReadsSlower is how much longer a decode engine takes to read a prompt
// than a prefill engine (source: the users' protocol, half the speed).
const decodeReadsSlower = 2

// readPart is how many tokens of a prompt a decode engine reads between two
// tokens of its streams, until pauses tell (source: the users' sheets and
// protocol, a quarter of 1,024).
const readPart = 256

// pauseAtDecode estimates the pause between two events of the other streams of
// a decode engine that reads the prompt: they get their tokens between its
// parts.
func (g *generation) pauseAtDecode() time.Duration {
	seen := g.pausesOf(g.service.Name)
	usual, known := seen.usual.Most()
	if !known {
		usual = g.config.EventPause
	}
	prompt := g.request.Generation.PromptTokens
	if most, known := seen.reading.Most(); known {
		return min(most, usual+g.decodeReadTime(prompt))
	}
	return usual + g.decodeReadTime(min(prompt, readPart*g.service.Engine.EventTokens))
}

// decodeReadTime estimates how long a decode engine takes to read so many
// tokens.
func (g *generation) decodeReadTime(tokens int) time.Duration {
	return decodeReadsSlower * g.prefill.Server.ReadTime(tokens)
}

// read has the prompt read. A prefill does not run the request, so whatever
// becomes of it the request can still be refused. The engine was chosen before memory
// was reserved; one that began to leave meanwhile is replaced.
func (g *generation) read() *stepError {
	if g.readAtDecode {
		return nil
	}
	if g.leaving(g.prefill.Name) {
		if failed := g.choosePrefill(); failed != nil || g.readAtDecode {
			return failed
		}
	}
	for try := 1; ; try++ {
		err := g.readOnce()
		if err == nil {
			return nil
		}
		if g.ctx.Err() != nil {
			return &stepError{why: reason.CallerGone, detail: err.Error()}
		}
		if errors.Is(err, errPoison) || errors.Is(err, errExpired) {
			return failedStep(err)
		}
		if !g.mayReadAgain(err, try) {
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

// mayReadAgain says whether a prompt is read once more after a try that failed.
// An engine that was not reached costs the others nothing, so another is tried
// without taking from the budget.
func (g *generation) mayReadAgain(failed error, try int) bool {
	var notRun *NotRun
	if errors.As(failed, &notRun) && !notRun.Sent {
		return try < maxUnreached
	}
	return try < maxPrefills && g.mayRepeat() && g.Budget(g.service.Name).Spend(clock.Now())
}

const (
	// maxPrefills bounds the tries to have one prompt read.
	maxPrefills = 2
	// maxUnreached bounds them where engines are not reached: connections that
	// are refused take a round trip each, and one zone's engines may all be gone.
	maxUnreached = 4
)

func (g *generation) readOnce() error {
	if err := g.maySend(); err != nil {
		return err
	}
	server := g.prefill.Server
	tokens := g.request.Generation.PromptTokens
	ctx, cancel := clock.WithDeadline(g.ctx, g.target.Add(g.config.LateReading))
	defer cancel()
	defer server.Begin(tokens)()
	defer server.Await(clock.Now())()
	g.path = append(g.path, g.prefill.Name)
	began := clock.Now()
	waiting := server.WaitingTokens()
	g.sent = began
	result, err := g.Backends.Prefill(ctx, g.entry(g.prefill), g.request, g.deadline)
	if g.ctx.Err() == nil {
		g.learn(server, err)
	}
	g.decide(stepRead, resultOf(err), "server", g.prefill.Name, "waiting", waiting, "tookMillis", clock.Since(began).Milliseconds())
	if err != nil {
		g.remember(ctx, g.prefill, err)
		return err
	}
	server.Prefills.Measure(max(waiting, tokens), clock.Since(began))
	g.result, g.readAt = result, clock.Now()
	return nil
}

// readAfterAll goes on when the decode engine did not take the prefill's
// result, which may have lapsed: once more at the same engine, which then reads
// the prompt itself.
func (g *generation) readAfterAll(refused *NotRun) (*Stream, *stepError) {
	failed := &stepError{why: refused.Why, detail: refused.Detail}
	if refused.Withheld {
		return g.handOffElsewhere(failed, false)
	}
	if g.result == "" || !refused.Sent {
		return nil, failed
	}
	if refused.Misdirected {
		return g.handOffElsewhere(failed, true)
	}
	g.prefill.Server.HandoffLost(clock.Now())
	late := clock.Now().After(g.target.Add(-g.config.LandingMargin))
	if late || !g.Budget(g.service.Name).Spend(clock.Now()) {
		return nil, failed
	}
	g.Metrics.Retried(refused.Why)
	g.decide(stepRetry, "read_at_decode", "why", refused.Why)
	// The engine takes a reservation once, also for a request whose result it could not
	// fetch: with the same one 68 of 75 requests were refused again (a day of the users'
	// sheet on which results lapse early).
	g.returnTaken()
	g.uncommit()
	g.readAtDecode = true
	g.tried = g.tried[:0]
	if failed := g.reserveOnce(); failed != nil {
		return nil, failed
	}
	return g.begin()
}

// beginWithoutResult goes on when the engine that had read the prompt has started
// again: the result is lost, and a later one may bear its name. The decode engine
// reads the prompt itself.
func (g *generation) beginWithoutResult() (*Stream, *stepError) {
	g.result = ""
	if !g.Budget(g.service.Name).Spend(clock.Now()) {
		return nil, &stepError{why: reason.PrefillFailed, detail: "the engine that had read the prompt started again"}
	}
	g.Metrics.Retried(reason.PrefillFailed)
	g.decide(stepRetry, "read_at_decode", "why", reason.PrefillFailed, "restarted", g.prefill.Name)
	g.readAtDecode = true
	return g.begin()
}

// leaving says whether a server has begun to leave, by the list or by its own word, or is
// gone.
func (g *generation) leaving(name string) bool {
	entry := g.View.Servers().ByRun[name]
	if entry == nil || entry.Draining {
		return true
	}
	server := g.Fleet.Server(name)
	return server != nil && server.Pressure.IsLeaving()
}

// handOffElsewhere takes a request to another decode engine when the first
// turned out not to be one, is leaving or would not take it; sent is whether it was sent
// there. A prefill's result waits only for a short while.
func (g *generation) handOffElsewhere(failed *stepError, sent bool) (*Stream, *stepError) {
	lapses := g.readAt.Add(g.service.Engine.Handle - g.config.HandleMargin)
	if g.result != "" && clock.Now().After(lapses) {
		return nil, failed
	}
	// An engine that got nothing yet costs no retry.
	if sent && !g.Budget(g.service.Name).Spend(clock.Now()) {
		return nil, failed
	}
	g.Metrics.Retried(failed.why)
	g.decide(stepRetry, "elsewhere", "why", failed.why)
	g.returnReservation()
	g.uncommit()
	g.tried = append(g.tried[:0], g.decode.Name)
	if failed := g.reserveOnce(); failed != nil {
		return nil, failed
	}
	return g.begin()
}
