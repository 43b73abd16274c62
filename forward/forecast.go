package forward

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forecast"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// Where a service's memory admission is by forecast, a stream is admitted and moved by what the
// streams of an engine are expected to hold (package forecast). This file keeps what the forecast
// is made from: the instance's own streams, and what was learned of the service's streams.

// trackedStream is one of this instance's streams, or a request with a reservation. Its request
// writes it, and the decisions of other requests read it.
type trackedStream struct {
	prompt, expected, max float64
	// at is the run of the engine that the stream is at.
	at atomic.Pointer[string]
	// to is the run of the engine to which the stream is being moved; nil if it is not.
	to        atomic.Pointer[string]
	generated atomic.Int64
	// rate is the number of tokens that the stream generates in a second, as the bits of a
	// float64; 0 if it is not known.
	rate atomic.Uint64
}

// memoryModel is what an instance knows of the streams of one service.
type memoryModel struct {
	// streams is the set of the instance's *trackedStream.
	streams sync.Map
	waiting waitingMemory
	// rates holds the last rate observed at each engine, in tokens a second, by the run's name.
	rates sync.Map

	// mu guards learned against concurrent changes. Readers load it without the lock.
	mu      sync.Mutex
	learned atomic.Pointer[learnedStreams]
}

// learnedStreams is an immutable summary of the service's streams.
type learnedStreams struct {
	started          float64
	prompt, expected float64
	// hinted is the distribution of answer lengths to the lengths that were expected from the
	// callers' hints, and unhinted that to the mean of these.
	hinted, unhinted *forecast.Lengths
	// rate is the mean number of tokens that a stream generates in a second; 0 if not known.
	rate float64
	// ended is the number of streams of which first and perToken are the means (endedStream).
	ended, first, perToken float64
}

const (
	// learnedWindow is the number of requests over which means are taken.
	learnedWindow = 100
	// rateWeight is the weight of one stream's rate in the mean of the service.
	rateWeight = 0.05
)

// memoryModelOf returns what is known of the streams of a service.
func (g *Gateway) memoryModelOf(service string) *memoryModel {
	if known, ok := g.memoryModels.Load(service); ok {
		return known.(*memoryModel)
	}
	created := new(memoryModel)
	created.learned.Store(new(learnedStreams))
	known, _ := g.memoryModels.LoadOrStore(service, created)
	return known.(*memoryModel)
}

// update replaces what was learned.
func (m *memoryModel) update(change func(next *learnedStreams)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := *m.learned.Load()
	change(&next)
	m.learned.Store(&next)
}

// recordStart records the size of a request.
func (m *memoryModel) recordStart(prompt, expected int) {
	m.update(func(next *learnedStreams) {
		next.started = min(next.started+1, learnedWindow)
		next.prompt += (float64(prompt) - next.prompt) / next.started
		next.expected += (float64(expected) - next.expected) / next.started
	})
}

// recordEnd records the length and the pace of a complete answer.
func (m *memoryModel) recordEnd(ended endedStream) {
	m.update(func(next *learnedStreams) {
		next.hinted = next.hinted.With(ended.expected, ended.generated)
		next.unhinted = next.unhinted.With(int(next.expected), ended.generated)
		next.ended = min(next.ended+1, learnedWindow)
		next.first += (ended.first - next.first) / next.ended
		next.perToken += (ended.perToken - next.perToken) / next.ended
	})
}

// recordRate records the rate at which a stream grows at an engine. Rates of runs that are not among
// the known ones are dropped when the first rate of a new run is recorded.
func (m *memoryModel) recordRate(run string, rate float64, known map[string]*registry.Entry) {
	if _, loaded := m.rates.Swap(run, rate); !loaded {
		m.rates.Range(func(name, _ any) bool {
			if known[name.(string)] == nil {
				m.rates.Delete(name)
			}
			return true
		})
	}
	m.update(func(next *learnedStreams) {
		if next.rate == 0 {
			next.rate = rate
		}
		next.rate += rateWeight * (rate - next.rate)
	})
}

// forecasting reports whether the service's memory admission is by forecast.
func (f *flow) forecasting() bool {
	return f.service.Engine.MemoryForecast && f.service.Engine.MemoryTokens > 0 && len(f.servers.Decode[f.service.Name]) >= f.config.ForecastEngines
}

// memoryForecast is the forecast of one decision. It implements route.MemoryForecast.
type memoryForecast struct {
	model      forecast.Model
	deviations float64
	stream     forecast.Stream
	// ahead are the more urgent requests of this instance that wait for memory. Each of them may be
	// admitted at any engine next, so a less urgent request counts their memory as taken at each. They
	// wait for some 200 ms at most.
	ahead forecast.Group
	// own holds the instance's own streams by engine, without the stream that is decided.
	own map[string][]forecast.Stream
	// rateAt returns the rate at which streams grow at an engine.
	rateAt   func(run string) float64
	admitted map[string]forecast.Admission
}

// newForecast returns the forecast for a decision on one stream. self is its entry among the
// instance's own streams; nil if it has none yet. yield is the factor by which the request leaves
// more memory free than others.
func (g *generation) newForecast(self *trackedStream, yield float64) *memoryForecast {
	made := g.newEmptyForecast(self)
	if self == nil {
		made.ahead = g.memoryModelOf(g.service.Name).waiting.before(g.route.Priority)
	}
	g.memoryModelOf(g.service.Name).streams.Range(func(key, _ any) bool {
		if s := key.(*trackedStream); s != self {
			s.addTo(made)
		}
		return true
	})
	made.deviations = yield * forecast.Deviations(g.delayedByPreemption(made))
	return made
}

// newForecastAt returns the forecast for the decision whether the stream self stays at its engine. It
// holds the other own streams at that engine only: each stream checks every 100 ms, and a map of
// all own streams would cost each check an allocation for every engine.
func (g *generation) newForecastAt(run string, self *trackedStream) *memoryForecast {
	made := g.newEmptyForecast(self)
	g.memoryModelOf(g.service.Name).streams.Range(func(key, _ any) bool {
		if s := key.(*trackedStream); s != self && s.isAt(run) {
			made.own[run] = append(made.own[run], s.streamAt(run, made))
		}
		return true
	})
	return made
}

// newEmptyForecast returns a forecast without the instance's own streams and without deviations.
func (g *generation) newEmptyForecast(self *trackedStream) *memoryForecast {
	model := g.memoryModelOf(g.service.Name)
	learned := model.learned.Load()
	longest := float64(g.request.Generation.MaxTokens)
	made := &memoryForecast{
		model: forecast.Model{Lengths: learned.hinted, Typical: forecast.Typical{
			Prompt: learned.prompt, Expected: learned.expected, Max: longest, Lengths: learned.unhinted,
		}},
		stream: forecast.Stream{
			Answer: forecast.Answer{Expected: float64(g.expected), Max: longest},
			Prompt: float64(g.request.Generation.PromptTokens),
		},
		own:      make(map[string][]forecast.Stream),
		admitted: make(map[string]forecast.Admission),
	}
	made.rateAt = func(run string) float64 {
		if rate, ok := model.rates.Load(run); ok {
			return rate.(float64)
		}
		if learned.rate > 0 {
			return learned.rate
		}
		return float64(g.service.Engine.EventTokens) / g.config.EventPause.Seconds()
	}
	if self != nil {
		made.stream.Generated = float64(self.generated.Load())
	}
	return made
}

// addTo adds the stream where it is, and where it is being moved to.
func (s *trackedStream) addTo(made *memoryForecast) {
	for _, run := range []*string{s.at.Load(), s.to.Load()} {
		if run != nil {
			made.own[*run] = append(made.own[*run], s.streamAt(*run, made))
		}
	}
}

// isAt reports whether the stream is at an engine or is being moved to it.
func (s *trackedStream) isAt(run string) bool {
	at, to := s.at.Load(), s.to.Load()
	return (at != nil && *at == run) || (to != nil && *to == run)
}

// streamAt returns the stream as it is expected to grow at an engine.
func (s *trackedStream) streamAt(run string, made *memoryForecast) forecast.Stream {
	rate := math.Float64frombits(s.rate.Load())
	if rate == 0 {
		rate = made.rateAt(run)
	}
	return forecast.Stream{
		Answer: forecast.Answer{Generated: float64(s.generated.Load()), Expected: s.expected, Max: s.max},
		Prompt: s.prompt, Rate: rate,
	}
}

// delayedByPreemption returns how many streams of a full engine a preemption delays.
func (g *generation) delayedByPreemption(made *memoryForecast) float64 {
	typical := &made.model.Typical
	size := typical.Prompt + typical.Expected/2
	if size <= 0 {
		return 0
	}
	streams := float64(g.service.Engine.MemoryTokens) / size
	rate := 0.0
	if g.prefill != nil {
		rate = 1 / (decodeReadFactor * g.prefill.Server.ReadTime(int(size)).Seconds() / size)
	}
	return forecast.Delayed(streams, size, rate, g.usualPause(), g.route.TBT)
}

// usualPause returns the usual pause between two events of a stream of the service.
func (g *generation) usualPause() time.Duration {
	if pause, known := g.pausesOf(g.service.Name).usual.P95(); known {
		return pause
	}
	return g.config.EventPause
}

// engine returns what is known of an engine.
func (m *memoryForecast) engine(c route.Candidate) *forecast.Engine {
	others := c.Server.Others()
	return &forecast.Engine{
		Capacity: float64(c.Backend.MemoryTokens),
		Own:      m.own[c.Backend.Name],
		Others:   forecast.Group{Count: float64(others.InFlight) + m.ahead.Count, Memory: float64(others.Memory) + m.ahead.Memory},
		Rate:     m.rateAt(c.Backend.Name),
	}
}

// StartTokens implements route.MemoryForecast.
func (m *memoryForecast) StartTokens() int { return int(m.stream.Size() + m.ahead.Memory) }

// Admission implements route.MemoryForecast.
func (m *memoryForecast) Admission(c route.Candidate) forecast.Admission {
	if known, ok := m.admitted[c.Backend.Name]; ok {
		return known
	}
	engine, stream := m.engine(c), m.stream
	stream.Rate = engine.Rate
	made := m.model.Admit(engine, stream, m.deviations)
	m.admitted[c.Backend.Name] = made
	return made
}

// track makes the stream known to the decisions of this instance's other requests, at its engine.
func (g *generation) track() {
	if g.tracked == nil {
		want := g.request.Generation
		g.tracked = &trackedStream{prompt: float64(want.PromptTokens), expected: float64(g.expected), max: float64(want.MaxTokens)}
	}
	if at := g.tracked.at.Load(); at == nil || *at != g.decode.Name {
		at := g.decode.Name
		g.tracked.at.Store(&at)
		g.tracked.rate.Store(0)
	}
	g.memoryModelOf(g.service.Name).streams.Store(g.tracked, nil)
}

// untrack removes the stream from those known to the instance's decisions.
func (g *generation) untrack() {
	if g.tracked != nil {
		g.memoryModelOf(g.service.Name).streams.Delete(g.tracked)
	}
}

// trackProgress records the progress of a stream at its engine.
func (r *relay) trackProgress(now time.Time) {
	if !r.forecasting() || r.tracked == nil {
		return
	}
	r.track()
	if r.move != nil {
		r.tracked.to.Store(&r.move.to.Name)
	} else {
		r.tracked.to.Store(nil)
	}
	if r.progressAt != r.decode.Name {
		r.progressAt, r.progressSince, r.progressFrom = r.decode.Name, now, r.generated()
		return
	}
	grown, took := r.generated()-r.progressFrom, now.Sub(r.progressSince)
	if grown < minProgressEvents*r.service.Engine.EventTokens || took <= 0 {
		return
	}
	rate := float64(grown) / took.Seconds()
	r.tracked.rate.Store(math.Float64bits(rate))
	if !now.Before(r.nextRate) {
		r.nextRate = now.Add(rateInterval)
		r.memoryModelOf(r.service.Name).recordRate(r.decode.Name, rate, r.View.Servers().ByRun)
	}
}

const (
	// minProgressEvents is the number of events after which the rate of a stream at an engine is
	// used. The pauses between single events vary.
	minProgressEvents = 4
	// rateInterval is the time between two records of a stream's rate.
	rateInterval = 500 * time.Millisecond
)

// recordLength records the length of the stream's complete answer.
func (r *relay) recordLength() {
	r.sizesOf(r.service.Name).RecordEnd(r.expected, r.generated())
	r.memoryModelOf(r.service.Name).recordEnd(r.endedStream())
}

// inputs returns the figures of an admission for the log.
func (m *memoryForecast) inputs(c route.Candidate) []any {
	made, others := m.Admission(c), c.Server.Others()
	return []any{
		"peak", int(made.Peak.Mean), "peakHigh", int(made.Peak.High), "peakAfterMillis", made.Peak.After.Milliseconds(),
		"deviations", hundredths(m.deviations), "capacity", c.Backend.MemoryTokens,
		"own", len(m.own[c.Backend.Name]), "others", others.InFlight, "othersMemory", others.Memory,
		"ahead", int(m.ahead.Count), "aheadMemory", int(m.ahead.Memory),
	}
}

// reserveByForecast reserves memory at a decode engine. If none has enough, the request waits for
// the moment at which the forecast expects it, and is refused at once if that is too late. Less urgent
// requests of this instance leave the memory that it waits for free, unless it is late.
func (g *generation) reserveByForecast() *stepError {
	allowed := g.memoryWait()
	until := g.since.Add(allowed)
	// waits counts the waits for memory alone: one for another reason, such as a rate limit, takes no
	// try for memory.
	waits, counted := 0, false
	for {
		failed := g.reserveOnce()
		if failed == nil {
			if waits > 0 {
				g.Metrics.MemoryDecided(g.service.Name, metrics.MemoryAfterWait)
			}
			return nil
		}
		if !g.mayClear(failed.why, until) {
			return failed
		}
		now := clock.Now()
		pause := g.config.ReservePause
		if failed.why == reason.NoDecodeMemory {
			first, known := g.fitsAfter()
			late := g.isLate()
			g.memoryAt = now.Add(first)
			shortage := forecast.Shortage{
				After: first, Known: known, Late: late, Waits: waits,
				Waited: now.Sub(g.since), Allowed: allowed, Retry: g.config.ReservePause,
			}
			var mayWait bool
			if pause, mayWait = shortage.Wait(); !mayWait {
				g.record(stepReserve, "none", "need", g.need, "fitsAfterMillis", first.Milliseconds(), "known", known, "late", late, "waits", waits, "yield", g.yield(), "mostFree", g.mostFree())
				g.Metrics.MemoryDecided(g.service.Name, refusedOutcome(late))
				return failed
			}
			g.record(stepReserve, "wait", "fitsAfterMillis", first.Milliseconds(), "late", late)
			waits++
			if !counted && !late {
				counted = true
				model := g.memoryModelOf(g.service.Name)
				defer model.waiting.add(g.route.Priority, g.request.Generation.PromptTokens)()
			}
		} else if now.Add(pause).After(until) {
			return failed
		}
		if failed := g.pauseForEngine(pause); failed != nil {
			return failed
		}
		g.tried = g.tried[:0]
	}
}

// refusedOutcome returns the outcome that counts a refusal for lack of memory.
func refusedOutcome(late bool) string {
	if late {
		return metrics.MemoryRefusedLate
	}
	return metrics.MemoryRefused
}

// fitsAfter returns the time after which the first decode engine is expected to have memory for the
// request. If no engine is within the horizon of the forecast, it returns the horizon, and known is
// false.
func (g *generation) fitsAfter() (first time.Duration, known bool) {
	expected := g.newForecast(nil, g.yield())
	query := g.query()
	query.Work = decodePool.work
	query.Exclude = g.brokenAt
	profile := g.decodeProfile().Without(route.RoomFilter{}.Name()).Without(route.RefusingFilter{}.Name())
	first = forecast.Horizon
	engines, _ := g.beginsAt(g.servers, g.atOrigin(g.servers, g.regions.filter(decodePool.servers(g.servers, g.service.Name), g.RegionOf)))
	rated := profile.Decide(query, g.Fleet, engines).Rated
	rated = slices.DeleteFunc(rated, func(one route.ScoredCandidate) bool { return one.DroppedBy != "" })
	for _, i := range route.MostFree(g.request.ID, rated, route.MaxForecasts) {
		engine, stream := expected.engine(rated[i].Candidate), expected.stream
		stream.Rate = engine.Rate
		if after, fits := expected.model.FitsAfter(engine, stream, expected.deviations); fits && (!known || after < first) {
			first, known = after, true
		}
	}
	return first, known
}
