// Package callerwait estimates how long callers have waited before their requests. A caller that was
// refused comes back with a new request, whose only difference from a first one is that its deadline
// is nearer. The package does no I/O and reads no clock.
package callerwait

import (
	"slices"
	"sync"
	"time"
)

// Estimator learns the time to wait that callers of one route bring with a first request, and
// estimates by it how long the callers of others have waited. The zero value is ready for use. It is
// safe for concurrent use.
type Estimator struct {
	mu sync.Mutex
	// last holds the last requests, count of them. next is the index of the next one.
	last        [window]arrival
	count, next int
}

// arrival is a request whose caller had the time left when it arrived.
type arrival struct {
	left time.Duration
	at   time.Time
}

const (
	// window is the number of requests from which the time of first requests is learned.
	window = 32
	// retention is the time for which a request is remembered. An instance gets a few requests of a
	// route in that time also where there are many instances.
	retention = 30 * time.Second
	// usualQuantile is the quantile of the times left that is taken for the time of first requests.
	// At least half of the requests are first ones if every caller comes back once, and a few callers
	// with an unusually long time must not make all others late.
	usualQuantile = 0.75
	// spread is the fraction by which two times may differ and count as equal. The time that
	// requests take on their way to the instance differs by some milliseconds.
	spread = 0.04
	// minCommon and minCommonFraction are the number and the fraction of requests that must have
	// about the usual time. With fewer, the times show nothing, since each caller has its own.
	minCommon         = 2
	minCommonFraction = 0.3
)

// Waited records a request whose caller has the given time left, and estimates how long the caller
// has waited already. It returns 0 if that is not known.
func (e *Estimator) Waited(left time.Duration, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last[e.next] = arrival{left: left, at: now}
	e.next = (e.next + 1) % window
	e.count = min(e.count+1, window)

	var buffer [window]time.Duration
	times := buffer[:0]
	for _, a := range e.last[:e.count] {
		if now.Sub(a.at) <= retention {
			times = append(times, a.left)
		}
	}
	slices.Sort(times)
	usual := times[int(usualQuantile*float64(len(times)))]
	tolerance := time.Duration(spread * float64(usual))
	common := 0
	for _, t := range times {
		if (t - usual).Abs() <= tolerance {
			common++
		}
	}
	if common < minCommon || float64(common) < minCommonFraction*float64(len(times)) || usual-left <= tolerance {
		return 0
	}
	return usual - left
}
