package route

import (
	"math"
	"sync/atomic"
	"time"
)

// Pauses learns how long the pauses between two events of a stream are: a
// moment that 95 in 100 of them do not exceed, by stochastic approximation
// (Robbins and Monro, 1951). The zero value knows nothing. Safe for concurrent
// use; of two observations at once, one may be lost.
type Pauses struct {
	// bits is the estimate in nanoseconds, a float64.
	bits  atomic.Uint64
	count atomic.Int64
}

const (
	// pausesBelow is the part of the pauses that do not exceed the estimate: a
	// target for 95 in 100 is what the size to design for asks.
	pausesBelow = 0.95
	// pauseStep is the part of the estimate by which an observation moves it:
	// it halves within 280 shorter pauses and doubles within 15 longer ones.
	pauseStep = 0.05
	// fewPauses is how many pauses must have been seen before the estimate
	// counts.
	fewPauses = 5
)

// Observe takes one pause in.
func (p *Pauses) Observe(pause time.Duration) {
	if p.count.Add(1) == 1 {
		p.bits.Store(math.Float64bits(float64(pause)))
		return
	}
	estimate := math.Float64frombits(p.bits.Load())
	if float64(pause) > estimate {
		estimate *= 1 + pauseStep*pausesBelow
	} else {
		estimate *= 1 - pauseStep*(1-pausesBelow)
	}
	p.bits.Store(math.Float64bits(estimate))
}

// Most returns what 95 in 100 pauses do not exceed, once enough were seen.
func (p *Pauses) Most() (pause time.Duration, known bool) {
	return time.Duration(math.Float64frombits(p.bits.Load())), p.count.Load() >= fewPauses
}
