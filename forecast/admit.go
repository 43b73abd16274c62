package forecast

import (
	"math"
	"time"
)

// Admission is the decision whether an engine can take a stream.
type Admission struct {
	Fits bool
	// Peak is the highest point of the forecast with the stream, and Free the memory that is left
	// above it, in tokens.
	Peak Peak
	Free float64
	// Growth is how much more memory than now the engine needs at the peak, with the stream.
	Growth float64
}

// Admit decides whether an engine can take a stream: whether the highest point of the forecast,
// with so many standard deviations of its error, stays within the engine's memory.
func (m *Model) Admit(e *Engine, s Stream, deviations float64) Admission {
	curve := m.Forecast(e)
	now := curve.Mean[0]
	curve.AddStream(m.Lengths, s)
	peak := curve.Peak(deviations, Horizon)
	return Admission{Fits: peak.High <= e.Capacity, Peak: peak, Free: e.Capacity - peak.High, Growth: peak.High - now}
}

const (
	// minDelayed is the least number of streams that a preemption is taken to delay: the preempted
	// one and one more.
	minDelayed = 2.0
	// independentMoments is the number of independent moments that the time of a forecast counts
	// for. With 1.28 deviations, which 9 in 10 errors stay within at any one moment, the memory of
	// drawn streams stays within the forecast all the time in 0.76 of the cases
	// (TestForecastErrorIsAsStated), which is 0.9 to the power of 2.5.
	independentMoments = 2.5
)

// Deviations returns how many standard deviations of the forecast's error must fit into an engine's
// memory. A refusal costs one stream its target. A preemption delays each stream of the engine while
// the preempted one is read again. A stream is therefore admitted where the engine overflows with a
// probability of at most one in the number of delayed streams. delayed is that number.
func Deviations(delayed float64) float64 {
	stays := math.Pow(1-1/max(delayed, minDelayed), 1/independentMoments)
	return math.Sqrt2 * math.Erfinv(2*stays-1)
}

// Delayed returns how many streams a preemption delays beyond their target. The preempted stream
// has size tokens, which the engine reads again at rate tokens a second. Its other streams pause for
// as long, beside the usual pause between their events.
func Delayed(streams, size, rate float64, pause, target time.Duration) float64 {
	if rate <= 0 || target <= 0 {
		return streams
	}
	longest := size/rate + pause.Seconds()
	return 1 + max(streams-1, 0)*min(longest/target.Seconds(), 1)
}

// Leaving is the decision whether a stream leaves its engine.
type Leaving struct {
	// Probability is that with which the stream leaves now. Its instance draws.
	Probability float64
	// Peak is the highest point of the forecast within MoveLead.
	Peak Peak
}

const (
	// MoveLead is how long before an engine is expected to overflow streams leave it. It covers the
	// age of the known state, the time for copying, and a second draw if too few left.
	MoveLead = time.Second
	// moveUnknown is the time during which other instances do not know that a stream leaves: the
	// age of their state, and the time for copying. They go on drawing until then.
	moveUnknown = 400 * time.Millisecond
	// maxMerit bounds how much more probable than the mean it is that a stream leaves.
	maxMerit = 2.0
)

// Leave decides whether a stream should leave its engine. The stream must not be in e. interval is
// the time between two decisions. All instances see the same overflow and know their own streams
// only, so each stream leaves with a probability by which as many leave together as have to. Streams
// that free more memory after MoveLead for what is copied now are more likely to leave.
func (m *Model) Leave(e *Engine, s Stream, interval time.Duration) Leaving {
	curve := m.Forecast(e)
	curve.AddStream(m.Lengths, s)
	peak := curve.Peak(0, MoveLead)
	over := peak.High - e.Capacity
	if over <= 0 {
		return Leaving{Peak: peak}
	}
	streams := e.Others.Count + float64(len(e.Own)) + 1
	needed := math.Ceil(over / (peak.Mean / streams))
	grown := s.Rate * MoveLead.Seconds()
	merit := (s.Size() + grown) * m.Lengths.Survival(s.Answer, grown) / max(s.Size(), 1)
	usual := curve.Mean[moveLeadPoint] / max(curve.Mean[0], 1)
	chance := needed / streams * min(merit/usual, maxMerit) * min(interval.Seconds()/moveUnknown.Seconds(), 1)
	return Leaving{Probability: min(chance, 1), Peak: peak}
}

// FitsAfter returns the time after which an engine can take a stream that it cannot take now, if
// it gets no other streams until then. known is false if that is not within the horizon.
func (m *Model) FitsAfter(e *Engine, s Stream, deviations float64) (after time.Duration, known bool) {
	curve := m.Forecast(e)
	for from := range Points - 1 {
		if m.fitsFrom(&curve, e.Capacity, s, deviations, from) {
			return horizon[from], true
		}
	}
	return 0, false
}

// fitsFrom reports whether a stream that begins at a moment of the horizon stays within the memory.
func (m *Model) fitsFrom(curve *Curve, capacity float64, s Stream, deviations float64, from int) bool {
	for i := from; i < Points; i++ {
		grown := s.Rate * (horizon[i] - horizon[from]).Seconds()
		alive := m.Lengths.Survival(s.Answer, grown)
		size := s.Size() + grown
		mean, variance := curve.Mean[i]+size*alive, curve.Variance[i]+size*size*alive*(1-alive)
		if mean+deviations*math.Sqrt(variance) > capacity {
			return false
		}
	}
	return true
}
