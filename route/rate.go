package route

import (
	"math"
	"sync/atomic"
	"time"
)

// rateSmoothing is the weight of a new measurement.
const rateSmoothing = 0.1

// Rate is a smoothed speed in tokens per second. The zero value has no measurement.
// Safe for concurrent use; of two concurrent measurements, one may be lost.
type Rate struct{ bits atomic.Uint64 }

// Measure records how long it took to process that many tokens.
func (r *Rate) Measure(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	measured := float64(tokens) / took.Seconds()
	if before := r.perSecond(); before > 0 {
		measured = (1-rateSmoothing)*before + rateSmoothing*measured
	}
	r.bits.Store(math.Float64bits(measured))
}

// Time estimates how long that many tokens take. known is false before the first
// measurement.
func (r *Rate) Time(tokens int) (estimate time.Duration, known bool) {
	rate := r.perSecond()
	if rate == 0 {
		return 0, false
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second)), true
}

func (r *Rate) perSecond() float64 { return math.Float64frombits(r.bits.Load()) }
