// Package forecast estimates how the KV memory of a decode engine develops while its streams
// grow and end, and decides from this which streams the engine can take and which should move
// away. Nothing here does I/O or reads a clock: state is passed in, and the decision is returned
// together with the figures that it was made from.
//
// The package handles the load of a few hundred streams at some tens of engines, admitted by many
// instances that know each other's streams only as sums.
package forecast

import "math"

// Lengths is the distribution of the ratio of the real to the expected length of answers. It is
// immutable: With returns a changed copy. The nil value is the distribution before the first
// observation.
type Lengths struct {
	// tail holds the fraction of answers whose ratio is at least exp(lowestLog + i*binWidth).
	tail [bins + 1]float64
	// weights holds the number of observations in each bin, with older ones discounted.
	weights [bins]float64
}

const (
	// The logarithm of the ratio is kept in bins from lowestLog to -lowestLog. A ratio of 20, or of
	// a twentieth, is six standard deviations from the median.
	lowestLog = -3.0
	binWidth  = 0.1
	bins      = 60
	// priorSpread is the standard deviation of the logarithm of the ratio before there are
	// observations (source: the reference workload).
	priorSpread = 0.5
	// priorWeight is the number of observations that the prior counts for. An instance observes
	// about one answer in two seconds.
	priorWeight = 20.0
	// window is the number of observations after which older ones lose their weight.
	window = 300.0
	// overrun is the mean further length of an answer that is longer than any observed one, as a
	// fraction of its length so far.
	overrun = 0.3
	// minTail is the fraction of answers below which the distribution's tail is too thin to
	// condition on.
	minTail = 0.002
)

// prior is the distribution before the first observation.
var prior = newPrior()

func newPrior() *Lengths {
	l := new(Lengths)
	for i := range l.weights {
		from, to := lowestLog+float64(i)*binWidth, lowestLog+float64(i+1)*binWidth
		l.weights[i] = priorWeight * (normalCDF(to/priorSpread) - normalCDF(from/priorSpread))
	}
	l.sum()
	return l
}

// sum computes the tail from the weights.
func (l *Lengths) sum() {
	above := 0.0
	for i := bins - 1; i >= 0; i-- {
		above += l.weights[i]
		l.tail[i] = above
	}
	for i := range l.tail {
		l.tail[i] /= above
	}
}

// With returns the distribution with one more answer, which was complete.
func (l *Lengths) With(expected, generated int) *Lengths {
	if l == nil {
		l = prior
	}
	if expected <= 0 || generated <= 0 {
		return l
	}
	next := &Lengths{weights: l.weights}
	for i := range next.weights {
		next.weights[i] *= 1 - 1/window
	}
	position := (math.Log(float64(generated)/float64(expected)) - lowestLog) / binWidth
	next.weights[int(min(max(position, 0), bins-1))]++
	next.sum()
	return next
}

// longer returns the fraction of answers whose ratio is more than the given one.
func (l *Lengths) longer(ratio float64) float64 {
	if ratio <= 0 {
		return 1
	}
	position := (math.Log(ratio) - lowestLog) / binWidth
	if position <= 0 {
		return 1
	}
	if position >= bins {
		return 0
	}
	i := int(position)
	part := position - float64(i)
	return l.tail[i]*(1-part) + l.tail[i+1]*part
}

// Survival returns the probability that an answer of which so many tokens exist generates more
// than further ones. The answer is not over yet, so only longer answers are considered.
func (l *Lengths) Survival(a Answer, further float64) float64 {
	if l == nil {
		l = prior
	}
	if further <= 0 {
		return 1
	}
	if a.Max > 0 && a.Generated+further >= a.Max {
		return 0
	}
	expected := max(a.Expected, 1)
	now := l.longer(a.Generated / expected)
	if now < minTail {
		return math.Exp(-further / (overrun * max(a.Generated, 1)))
	}
	return l.longer((a.Generated+further)/expected) / now
}

// Remaining returns the mean and the variance of the number of tokens that an answer is still
// going to generate.
func (l *Lengths) Remaining(a Answer) (mean, variance float64) {
	const steps = 200
	most := 6 * max(a.Expected, a.Generated)
	if a.Max > 0 {
		most = a.Max - a.Generated
	}
	if most <= 0 {
		return 0, 0
	}
	// The mean is the integral of the survival function, the second moment that of twice the
	// length times the survival function.
	step, square := most/steps, 0.0
	for i := range steps {
		at := (float64(i) + 0.5) * step
		alive := l.Survival(a, at)
		mean += alive * step
		square += 2 * at * alive * step
	}
	return mean, max(square-mean*mean, 0)
}

// Answer is the length of one answer, in tokens.
type Answer struct {
	// Generated is how much of it exists.
	Generated float64
	// Expected is its length as it was expected at its start, and Max the longest that its caller
	// allows; 0 means that there is no limit.
	Expected float64
	Max      float64
}

// normalCDF returns the standard normal distribution function.
func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
