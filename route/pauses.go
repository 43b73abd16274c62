package route

import (
	"math"
	"sync/atomic"
	"time"
)

// Pauses estimates the 95th percentile of the pauses between two events of a stream
// by stochastic approximation (Robbins and Monro, 1951). The zero value has no
// estimate. Safe for concurrent use; of two concurrent observations, one may be lost.
type Pauses struct {
	// bits is the estimate in nanoseconds, as the bits of a float64.
	bits  atomic.Uint64
	count atomic.Int64
}

const (
	// pauseQuantile is the fraction of the pauses that do not exceed the estimate. The
	// reference workload has a target for 95 in 100 pauses.
	pauseQuantile = 0.95
	// pauseStep is the fraction of the estimate by which an observation moves it. The
	// estimate halves within 280 shorter pauses and doubles within 15 longer ones.
	pauseStep = 0.05
	// minPauses is how many pauses must be observed before the estimate is used.
	minPauses = 5
)

// Observe records one pause.
func (p *Pauses) Observe(pause time.Duration) {
	if p.count.Add(1) == 1 {
		p.bits.Store(math.Float64bits(float64(pause)))
		return
	}
	estimate := math.Float64frombits(p.bits.Load())
	if float64(pause) > estimate {
		estimate *= 1 + pauseStep*pauseQuantile
	} else {
		estimate *= 1 - pauseStep*(1-pauseQuantile)
	}
	p.bits.Store(math.Float64bits(estimate))
}

// P95 returns the duration that 95 in 100 pauses do not exceed. known is false until
// enough pauses were observed.
func (p *Pauses) P95() (pause time.Duration, known bool) {
	return time.Duration(math.Float64frombits(p.bits.Load())), p.count.Load() >= minPauses
}
