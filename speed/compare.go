package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples and minSpan are how many samples an estimate needs, and the time that they
	// must cover, before a server counts as slow or fast.
	minSamples = 10
	minSpan    = 5 * disturbance
	// disturbance is how long a server may be slow for a moment (source: the specification of
	// the load). All instances observe it at the same time, so samples within that time count
	// as one.
	disturbance = 600 * time.Millisecond
	// minRatio is the ratio of two speeds from which they count as different. The age of the
	// known loads affects a choice more than smaller differences do.
	minRatio = 1.2
	// certainty is by how many standard errors a server must differ from the others. With
	// hundreds of servers, less would single out sound ones.
	certainty = 4
	// medianError is the standard error of a median, as a multiple of that of a mean. It is used
	// for the trimmed mean, which is about as certain.
	medianError = 1.2533
)

// Known reports whether the estimate rests on enough samples to tell the server's speed.
func (e Estimate) Known(now time.Time) bool {
	return e.measured() && e.fresh(now)
}

// measured reports whether the estimate rests on enough samples, whether it is still valid or not.
func (e Estimate) measured() bool { return e.Count >= minSamples && e.Last.Sub(e.First) >= minSpan }

// Rating is the speed of a server within its service.
type Rating struct {
	Estimate
	// Used is the time for one unit of work that decisions use, in seconds: the server's own
	// estimate if it is Significant, and otherwise the median of the service.
	Used float64
	// Relative is the server's speed as a fraction of that of the fastest.
	Relative float64
	// Slowest is the speed of the slowest server as a fraction of that of the fastest.
	Slowest float64
	// Unknown is set if the estimate does not tell the server's speed. Significant is set if
	// it tells that the speed differs from the median.
	Unknown     bool
	Significant bool
}

// Rate compares the servers of a service. It returns nil if no speed differs significantly
// from the median, and otherwise a rating for each server.
func Rate(estimates []Estimate, now time.Time) []Rating {
	values := make([]float64, 0, len(estimates))
	for _, e := range estimates {
		if e.Known(now) {
			values = append(values, e.PerUnit)
		}
	}
	if len(values) < 2 {
		return nil
	}
	slices.Sort(values)
	// Of two middle values the faster one counts, so that the slower of two servers is the
	// one that differs.
	median := values[(len(values)-1)/2]
	ratings := make([]Rating, len(estimates))
	uneven := false
	least, most := median, median
	for i, e := range estimates {
		rating := Rating{Estimate: e, Used: median, Unknown: !e.Known(now)}
		if rating.Significant = !rating.Unknown && e.differs(median); rating.Significant {
			rating.Used, uneven = e.PerUnit, true
			least, most = min(least, e.PerUnit), max(most, e.PerUnit)
		}
		ratings[i] = rating
	}
	if !uneven {
		return nil
	}
	for i := range ratings {
		ratings[i].Relative = least / ratings[i].Used
		ratings[i].Slowest = least / most
	}
	return ratings
}

// differs reports whether the server differs significantly from one that takes the given time
// for one unit.
func (e Estimate) differs(perUnit float64) bool {
	deviation := math.Abs(math.Log(e.PerUnit / perUnit))
	independent := min(float64(e.Count), float64(e.Last.Sub(e.First))/float64(disturbance))
	return deviation > max(math.Log(minRatio), certainty*medianError*e.Spread/math.Sqrt(independent))
}
