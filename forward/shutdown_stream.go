package forward

import (
	"strconv"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forecast"
	"github.com/mastwheel/mastwheel/reason"
)

// A stopping instance takes, begins and continues a stream only if it is likely to see its end. It compares the time that is
// left with the stream's expected length, the usual pace of streams, and one silence of a sound engine.

const (
	// maxCutChance is the probability of a cut above which a stream is refused before its prompt is read. Another
	// instance then serves it, while a stream that is cut has to be repeated as a whole. With a lower limit more callers
	// are refused, some of them twice while many instances stop at once.
	maxCutChance = 0.1
	// maxBegunCutChance is the same once the prompt was read, or for a stream that would continue at another engine: what
	// was done for it is lost if it ends here.
	maxBegunCutChance = 0.5
)

// expectTokens returns how many tokens the request is expected to generate.
func (f *flow) expectTokens() int {
	if f.expected == 0 {
		f.expected = max(f.lengthsOf(f.service.Name).ExpectedTokens(expectedLength(f.request.Generation)), 1)
	}
	return f.expected
}

// answer returns the expected length of the request's answer, of which this request has generated some tokens.
func (f *flow) answer(generated int) forecast.Answer {
	return forecast.Answer{
		Generated: float64(f.tokensBefore + generated), Expected: float64(f.expectTokens()), Max: float64(f.request.Generation.MaxTokens),
	}
}

// cutChance returns the probability that the instance stops before the end of a stream that goes on after a time, at a pace. It
// is 0 if the instance does not stop, or if the request's deadline comes before.
func (f *flow) cutChance(pace streamPace, answer forecast.Answer, after time.Duration) float64 {
	stopping := f.stopping.Load()
	if stopping == nil || !f.deadline.After(stopping.ends) {
		return 0
	}
	further := pace.tokensWithin(clock.Until(stopping.ends) - after)
	if further == 0 {
		return 1
	}
	return f.memoryModelOf(f.service.Name).learned.Load().hinted.Survival(answer, further)
}

// tokensBefore returns how many tokens the caller had before a request that takes a stream up. The number of the last event is
// known only where ids are numbers; elsewhere the whole length is expected.
func tokensBefore(r *Request, eventTokens int) int {
	events, err := strconv.Atoi(r.LastEvent)
	if err != nil || r.Generation == nil {
		return 0
	}
	// Both bounds come first, because the product of two numbers from outside may overflow.
	limit := max(r.Generation.MaxTokens, 0)
	if events = max(events, 0); events > limit/max(eventTokens, 1) {
		return limit
	}
	return events * eventTokens
}

// streamStopsTooSoon reports whether the instance may stop before the end of a stream whose prompt has not been read, and that
// waits for a time before.
func (f *flow) streamStopsTooSoon(wait time.Duration) bool {
	pace := f.pace()
	return f.outlastsStop(pace, 0, wait+pace.first, maxCutChance)
}

// outlastsStop reports whether the probability of a cut is more than a limit, and records the decision then.
func (f *flow) outlastsStop(pace streamPace, generated int, after time.Duration, limit float64) bool {
	chance := f.cutChance(pace, f.answer(generated), after)
	if chance <= limit {
		return false
	}
	f.record(stepStop, "too late", "leftMillis", clock.Until(f.stopping.Load().ends).Milliseconds(), "cutChance", hundredths(chance),
		"expected", f.expectTokens(), "generated", generated, "firstMillis", pace.first.Milliseconds(), "tokenMicros", pace.perToken.Microseconds())
	return true
}

// pauseForEngine waits until the next try to find an engine. It returns the error of a request that ends instead: its caller has
// left, or the instance may stop before the end of the stream if it waits. The latter is known from the start of the wait, or
// of the shutdown: the stream does not begin sooner.
func (g *generation) pauseForEngine(pause time.Duration) *stepError {
	until := clock.Now().Add(pause)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	stopBegan := g.stopBegan
	for {
		if failed := g.errorAtStop(max(clock.Until(until), 0)); failed != nil {
			return failed
		}
		select {
		case <-stopBegan:
			stopBegan = nil
		case <-timer.C:
			return g.errorAtStop(0)
		case <-g.ctx.Done():
			return &stepError{why: reason.CallerGone, detail: g.ctx.Err().Error()}
		}
	}
}

// errorAtStop returns the error of a step that is not taken because the instance may stop before the end of a stream that waits
// for a time; nil if it may be taken.
func (g *generation) errorAtStop(wait time.Duration) *stepError {
	if g.runs > 0 {
		return g.errorAtBegin(wait)
	}
	if !g.stopsTooSoonAfter(wait) {
		return nil
	}
	return &stepError{why: reason.Stopping, detail: errStopping.Error()}
}

// errorAtBegin returns the error of a run that does not begin because the instance is likely to stop before its end; nil if
// it may begin. The stream waits for a time before that.
func (g *generation) errorAtBegin(wait time.Duration) *stepError {
	pace, after := g.paceAtEngine(), wait
	if g.result == "" {
		// The prompt is read at the decode engine, or was not read yet.
		after += pace.first
	}
	if !g.outlastsStop(pace, g.generated(), after, maxBegunCutChance) {
		return nil
	}
	return &stepError{why: reason.Stopping, detail: errStopping.Error()}
}

// chooseFastEnough replaces a decode engine that is so slow that the instance may stop before the end of a stream whose prompt
// has not been read. It refuses the stream if engines of the usual speed are too slow too, or no other one has memory.
func (g *generation) chooseFastEnough() *stepError {
	for range g.config.ReserveTries {
		pace := g.paceAtEngine()
		if !g.outlastsStop(pace, 0, pace.first, maxCutChance) {
			return nil
		}
		if g.streamStopsTooSoon(0) {
			break
		}
		g.releaseReservation()
		g.uncommit()
		g.tried = append(g.tried, g.decode.Name)
		if g.reserveOnce() != nil {
			break
		}
	}
	return &stepError{why: reason.Stopping, detail: errStopping.Error()}
}
