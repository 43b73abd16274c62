package forward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
)

// choosePrefill chooses the engine that reads the prompt. If none would finish in time, the
// decode engine reads it.
func (g *generation) choosePrefill() *stepError {
	g.prefill = g.choose(g.Gateway.prefill, prefillPool)
	if g.prefill == nil {
		g.readAtDecode = true
		g.record(stepRead, "at_decode", "why", reason.NoBackend)
		return nil
	}
	ahead := g.prefill.Server.PrefillTime(g.request.Generation.PromptTokens)
	measured := g.prefill.Server.ReadTimeKnown()
	landing := clock.Now().Add(ahead + g.config.FirstTokenMargin)
	// An engine's reading speed is unknown until its first prompts have been read.
	g.readAtDecode = measured && landing.After(g.target)
	if !g.readAtDecode {
		return nil
	}
	pause := g.pauseDuringRead()
	g.record(stepRead, "at_decode", "why", reason.DeadlineTooClose, "aheadMillis", ahead.Milliseconds(), "pauseMillis", pause.Milliseconds())
	if pause > g.route.TBT && !g.canMeetTarget() {
		// To refuse the request would not help: it would be late at any time.
		g.readAtDecode = false
		g.record(stepRead, "late_at_any_time", "target", g.route.TTFT.String())
		return nil
	}
	if pause > g.route.TBT {
		return &stepError{why: reason.DeadlineTooClose, detail: "reading the prompt at the decode engine would delay its other streams by " + pause.String()}
	}
	return nil
}

// canMeetTarget reports whether some prefill engine without other work could read the prompt within the target of the route.
func (g *generation) canMeetTarget() bool {
	if g.route.TTFT <= g.config.FirstTokenMargin {
		return false
	}
	for _, backend := range g.servers.Prefill[g.service.Name] {
		server := g.Fleet.Server(backend.Name)
		if server == nil || !server.ReadTimeKnown() || server.ReadTime(g.request.Generation.PromptTokens)+g.config.FirstTokenMargin <= g.route.TTFT {
			return true
		}
	}
	return false
}

// decodeReadFactor is how many times longer a decode engine takes to read a prompt than a
// prefill engine (source: the platform's protocol, half the speed).
const decodeReadFactor = 2

// readChunkTokens is how many prompt tokens a decode engine reads between two tokens of its
// streams, until pauses have been observed (source: the reference workload and the platform's
// protocol, a quarter of 1,024).
const readChunkTokens = 256

// pauseDuringRead estimates the pause between two events of the other streams of a decode
// engine that reads the prompt. The streams get their tokens between chunks of the prompt.
func (g *generation) pauseDuringRead() time.Duration {
	seen := g.pausesOf(g.service.Name)
	usual, known := seen.usual.P95()
	if !known {
		usual = g.config.EventPause
	}
	prompt := g.request.Generation.PromptTokens
	if most, known := seen.reading.P95(); known {
		return min(most, usual+g.decodeReadTime(prompt))
	}
	return usual + g.decodeReadTime(min(prompt, readChunkTokens*g.service.Engine.EventTokens))
}

// decodeReadTime estimates how long a decode engine takes to read the given number of tokens.
func (g *generation) decodeReadTime(tokens int) time.Duration {
	return decodeReadFactor * g.prefill.Server.ReadTime(tokens)
}

// readPrompt has the prompt read. A prefill does not run the request, so the request can still
// be refused whatever the result. The engine was chosen before memory was reserved, and is
// replaced if it began to leave in between.
func (g *generation) readPrompt() *stepError {
	if g.readAtDecode {
		return nil
	}
	if g.isLeaving(g.prefill.Name) {
		if failed := g.choosePrefill(); failed != nil || g.readAtDecode {
			return failed
		}
	}
	for try := 1; ; try++ {
		err := g.readPromptOnce()
		if err == nil {
			return nil
		}
		if g.ctx.Err() != nil {
			return &stepError{why: reason.CallerGone, detail: err.Error()}
		}
		if errors.Is(err, errPoison) || errors.Is(err, errDeadlinePassed) {
			return sendStepError(err)
		}
		if stopping := g.errorAtBegin(0); stopping != nil {
			return stopping
		}
		if !g.mayReadAgain(err, try) {
			if g.mayReadAtDecode(err) {
				g.readAtDecode = true
				g.record(stepRead, "at_decode", "why", reason.PrefillRefused)
				return nil
			}
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

// mayReadAgain reports whether a prompt is read again after a failed try. An engine that was
// not reached costs other requests nothing, so another engine is tried without taking from the
// retry budget.
func (g *generation) mayReadAgain(failed error, try int) bool {
	if g.linksLost() {
		return false
	}
	var notRun *NotRunError
	if errors.As(failed, &notRun) && !notRun.Sent {
		return try < maxUnreached
	}
	return try < maxPrefills && g.mayRepeat() && g.Budget(g.service.Name).Spend(clock.Now())
}

// mayReadAtDecode reports whether the decode engine reads the prompt of a rerun after a prefill engine has certainly not
// read it. A request that has not run is refused then and tried elsewhere, while a stream that has begun would be lost. The
// retry budget has paid for the call to the decode engine.
func (g *generation) mayReadAtDecode(failed error) bool {
	var notRun *NotRunError
	return g.runs > 0 && errors.As(failed, &notRun) && !g.linksLost()
}

const (
	// maxPrefills bounds the tries to have one prompt read.
	maxPrefills = 2
	// maxUnreached bounds the tries if engines are not reached. A refused connection takes one
	// round trip, and all engines of one zone may be gone.
	maxUnreached = 4
)

func (g *generation) readPromptOnce() error {
	if err := g.checkSend(); err != nil {
		return err
	}
	server := g.prefill.Server
	tokens := g.request.Generation.PromptTokens
	ctx, cancel := clock.WithDeadline(g.ctx, g.target.Add(g.config.LatePrefillGrace))
	defer cancel()
	ctx, stop := g.whileLinked(ctx)
	defer stop()
	defer server.RequestSent(tokens)()
	defer server.AwaitAnswer(clock.Now())()
	g.sentTo = append(g.sentTo, g.prefill.Name)
	began := clock.Now()
	waiting := server.WaitingTokens()
	g.recordSent(began)
	result, err := g.Backends.Prefill(ctx, g.entry(g.prefill), g.request, g.deadline)
	if g.ctx.Err() == nil {
		g.updateServer(server, err)
	}
	g.record(stepRead, resultOf(err), "server", g.prefill.Name, "waiting", waiting, "tookMillis", clock.Since(began).Milliseconds())
	if err != nil {
		g.recordSend(ctx, g.prefill, err)
		return err
	}
	server.Prefills.Measure(max(waiting, tokens), clock.Since(began))
	server.RecordRead(waiting, tokens, clock.Since(began), clock.Now())
	g.result, g.readFrom, g.readAt = result, began, clock.Now()
	return nil
}

// resultMayHaveLapsed reports whether the prefill result may have lapsed on its way, which includes the time for which an
// engine was silent.
func (g *generation) resultMayHaveLapsed() bool {
	keptFor := g.service.Engine.Handle
	return keptFor > 0 && clock.Since(g.readFrom) >= keptFor
}

// readLapsed has the prompt read once more after its result lapsed. The request is late then because an engine was silent,
// which is no reason to refuse it. It gets the time of a new request, and is refused if it has had that already.
func (g *generation) readLapsed(failed *stepError) (*Stream, *stepError) {
	if g.readTwice || clock.Until(g.deadline) <= g.pace().first || !g.mayRepeat() {
		return nil, failed
	}
	g.releaseUnused()
	g.uncommit()
	if stopping := g.errorAtBegin(0); stopping != nil {
		return nil, stopping
	}
	if budget := g.Budget(g.service.Name); !budget.Spend(clock.Now()) {
		g.record(stepRetry, "no", "why", failed.why, "budgetLeft", hundredths(budget.Left(clock.Now())))
		return nil, failed
	}
	g.Metrics.Retried(failed.why)
	g.record(stepRetry, "read_again", "why", failed.why)
	g.readTwice = true
	g.tried = g.tried[:0]
	g.since = clock.Now()
	g.target = g.since.Add(g.route.TTFT)
	for _, step := range []func() *stepError{g.choosePrefill, g.reserve, g.readAgain} {
		if failed := step(); failed != nil {
			return nil, failed
		}
	}
	return g.startDecode()
}

// retryRefusedDecode continues after the decode engine did not take the prefill's result,
// which may have expired. The request is sent once more, and the decode engine then reads the
// prompt itself. If it would be late because the result lapsed, the prompt is read once more.
func (g *generation) retryRefusedDecode(refused *NotRunError) (*Stream, *stepError) {
	failed := &stepError{why: refused.Why, detail: refused.Detail}
	if refused.Withheld {
		return g.decodeElsewhere(failed, false)
	}
	if g.result == "" || !refused.Sent {
		return nil, failed
	}
	if refused.Misdirected {
		return g.decodeElsewhere(failed, true)
	}
	late := clock.Now().After(g.target.Add(-g.config.FirstTokenMargin))
	if late && g.resultMayHaveLapsed() {
		return g.readLapsed(failed)
	}
	g.prefill.Server.HandoffLost(clock.Now())
	if stopping := g.errorAtBegin(0); stopping != nil {
		return nil, stopping
	}
	if late || !g.Budget(g.service.Name).Spend(clock.Now()) {
		return nil, failed
	}
	g.Metrics.Retried(refused.Why)
	g.record(stepRetry, "read_at_decode", "why", refused.Why)
	// The engine accepts a reservation only once, also for a request whose result it could not
	// fetch. With the same reservation 68 of 75 requests were refused again (a day of the
	// reference workload on which results expire early).
	g.releaseUnused()
	g.uncommit()
	g.readAtDecode = true
	g.tried = g.tried[:0]
	if failed := g.reserveOnce(); failed != nil {
		return nil, failed
	}
	return g.startDecode()
}

// startWithoutPrefill continues after the engine that had read the prompt was restarted. The
// result is lost, and a later result may have the same name. The decode engine reads the
// prompt itself.
func (g *generation) startWithoutPrefill() (*Stream, *stepError) {
	g.result = ""
	if stopping := g.errorAtBegin(0); stopping != nil {
		return nil, stopping
	}
	if !g.Budget(g.service.Name).Spend(clock.Now()) {
		return nil, &stepError{why: reason.PrefillFailed, detail: "the engine that had read the prompt was restarted"}
	}
	g.Metrics.Retried(reason.PrefillFailed)
	g.record(stepRetry, "read_at_decode", "why", reason.PrefillFailed, "restarted", g.prefill.Name)
	g.readAtDecode = true
	return g.startDecode()
}

// isLeaving reports whether a server has begun to leave, by the list of backend servers or by
// its own report, or is gone.
func (g *generation) isLeaving(name string) bool {
	entry := g.View.Servers().ByRun[name]
	if entry == nil || entry.Draining {
		return true
	}
	server := g.Fleet.Server(name)
	return server != nil && server.Pressure.IsLeaving()
}

// decodeElsewhere sends a request to another decode engine after the first one turned out not
// to be a decode engine, is leaving or did not accept it. sent reports whether the request was
// sent to the first one. It fails if the prefill's result is about to expire.
func (g *generation) decodeElsewhere(failed *stepError, sent bool) (*Stream, *stepError) {
	expires := g.readAt.Add(g.service.Engine.Handle - g.config.PrefillExpiryMargin)
	if g.result != "" && clock.Now().After(expires) {
		return nil, failed
	}
	if stopping := g.errorAtBegin(0); stopping != nil {
		return nil, stopping
	}
	// No retry is spent if the first engine received nothing.
	if sent && !g.Budget(g.service.Name).Spend(clock.Now()) {
		return nil, failed
	}
	g.Metrics.Retried(failed.why)
	g.record(stepRetry, "elsewhere", "why", failed.why)
	g.releaseReservation()
	g.uncommit()
	g.tried = append(g.tried[:0], g.decode.Name)
	if failed := g.reserveOnce(); failed != nil {
		return nil, failed
	}
	return g.startDecode()
}
