package forecast

import (
	"math"
	"time"
)

// Stream is one stream at an engine, or on its way to it.
type Stream struct {
	Answer
	// Prompt is the length of its prompt in tokens. The stream holds the prompt and what it has
	// generated.
	Prompt float64
	// Rate is the number of tokens that it generates in a second.
	Rate float64
}

// Size returns the memory that the stream holds, in tokens.
func (s Stream) Size() float64 { return s.Prompt + s.Generated }

// Group is a number of streams of which only sums are known.
type Group struct {
	Count float64
	// Memory is what the streams hold together, in tokens.
	Memory float64
}

// Typical describes the streams of a service, to estimate those that are known only as sums.
type Typical struct {
	// Prompt and Expected are means of prompts and of expected answer lengths, in tokens. Max is
	// the longest answer that callers allow.
	Prompt, Expected, Max float64
	// Lengths is the distribution of the real length of an answer to Expected.
	Lengths *Lengths
}

// Engine is what an instance knows about a decode engine.
type Engine struct {
	// Capacity is the engine's memory in tokens.
	Capacity float64
	// Own are the instance's own streams there, and Others those of other instances.
	Own    []Stream
	Others Group
	// Rate is the number of tokens that a stream generates in a second at the engine.
	Rate float64
}

// Model holds what is known of a service's streams.
type Model struct {
	// Lengths is the distribution of the ratio of the real length of an answer to the length that
	// was expected from its caller's hint.
	Lengths *Lengths
	Typical Typical
}

// horizon lists the moments for which memory is forecast. Nearly all answers of the reference
// workload end within seven seconds. Steps are short where most of them grow.
var horizon = [...]time.Duration{
	0, 150 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 750 * time.Millisecond, time.Second,
	1300 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second,
	3700 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond, Horizon,
}

// Horizon is the time that a forecast covers.
const Horizon = 7 * time.Second

// moveLeadPoint is the index of MoveLead in horizon.
const moveLeadPoint = 5

// Points is the number of moments of a Curve.
const Points = len(horizon)

// Curve is the memory that is expected at the moments of the horizon, in tokens.
type Curve struct {
	Mean     [Points]float64
	Variance [Points]float64
}

// add adds count streams of which each is there with a probability at the moment i.
func (c *Curve) add(i int, count, size, alive float64) {
	c.Mean[i] += count * size * alive
	c.Variance[i] += count * size * size * alive * (1 - alive)
}

// AddStream adds one stream.
func (c *Curve) AddStream(l *Lengths, s Stream) {
	for i, at := range horizon {
		grown := s.Rate * at.Seconds()
		c.add(i, 1, s.Size()+grown, l.Survival(s.Answer, grown))
	}
}

// ages are the ages of streams that are known only as a sum, as multiples of their mean age. Those
// of streams that arrived evenly spread about as much, and those of a burst are all low.
var ages = [...]float64{0.25, 1, 1.75}

const (
	// usualAge is the mean of what the streams at an engine have generated, as a fraction of the
	// expected length of an answer, and ageSpread how much that mean differs between engines: by
	// this fraction of the expected length. Engines that have just taken a burst have young streams.
	usualAge  = 0.3
	ageSpread = 0.2
	// promptSpread is the standard deviation of prompts, as a fraction of their mean (source: the
	// reference workload).
	promptSpread = 0.5
)

// meanAge estimates how much each stream of a group has generated, in tokens. What the streams hold
// beyond the mean prompt is what they have generated, or else their prompts are long. Few streams
// say little about it, so the estimate is drawn towards the usual age.
func (t *Typical) meanAge(g Group) float64 {
	usual, spread := usualAge*t.Expected, ageSpread*t.Expected
	noise := promptSpread * t.Prompt
	weight := spread * spread / (spread*spread + noise*noise/g.Count)
	age := usual + weight*(g.Memory/g.Count-t.Prompt-usual)
	return min(max(age, 0), g.Memory/g.Count)
}

// addGroup adds streams of which only the sums are known. Without a count, or as long as the instance has started no stream, their
// memory counts as it is.
func (c *Curve) addGroup(t Typical, g Group, rate float64) {
	if g.Count <= 0 || t.Expected <= 0 {
		for i := range c.Mean {
			c.Mean[i] += max(g.Memory, 0)
		}
		return
	}
	mean := t.meanAge(g)
	prompt := g.Memory/g.Count - mean
	for _, age := range ages {
		answer := Answer{Generated: age * mean, Expected: t.Expected, Max: t.Max}
		for i, at := range horizon {
			grown := rate * at.Seconds()
			c.add(i, g.Count/float64(len(ages)), prompt+answer.Generated+grown, t.Lengths.Survival(answer, grown))
		}
	}
}

// Forecast returns the memory that the streams of an engine are expected to hold.
func (m *Model) Forecast(e *Engine) Curve {
	var c Curve
	for _, stream := range e.Own {
		c.AddStream(m.Lengths, stream)
	}
	c.addGroup(m.Typical, e.Others, e.Rate)
	return c
}

// Peak is the largest amount of memory that a forecast expects.
type Peak struct {
	// Mean is the expected memory in tokens, and High what it stays under with the probability
	// that was asked for.
	Mean, High float64
	// After is the time until then.
	After time.Duration
}

// Peak returns the highest point of a curve up to a moment. deviations is the number of standard
// deviations that are added to the mean.
func (c *Curve) Peak(deviations float64, until time.Duration) Peak {
	var peak Peak
	for i, at := range horizon {
		if at > until {
			break
		}
		high := c.Mean[i] + deviations*math.Sqrt(c.Variance[i])
		if high > peak.High {
			peak = Peak{Mean: c.Mean[i], High: high, After: at}
		}
	}
	return peak
}
