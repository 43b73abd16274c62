package slots

import (
	"math"
	"slices"
	"time"
)

// capacity is what refusals of a server show of the number of calls that it holds.
type capacity struct {
	// at is the time of the last refusal. peak is the largest number of calls that was known at
	// the server since the refusal, until it is observed.
	at       time.Time
	peak     float64
	observed bool
	// outOfContact is set if the instance was without contact since the refusal.
	outOfContact bool
	// calls is the number of calls at which the server refuses others; 0 if not known. learned is
	// the time of the refusal that showed it.
	calls   float64
	learned time.Time
}

const (
	// observeFor is the time after a refusal in which the reports of the other instances show how
	// many calls the server had.
	observeFor = time.Second
	// capacityWeight is the weight of a new observation. One in which reports were lost is too
	// low.
	capacityWeight = 0.3
	// capacityMargin is the fraction of the observed number up to which calls are sent. Reports
	// are late, so that the number is exceeded by some.
	capacityMargin = 0.9
	// capacityRise is the fraction of the observed number by which it rises each second after the
	// refusal. An observation may be too low, and without calls beyond it there is no other one. A
	// faster rise causes more refusals by servers with short queues.
	capacityRise = 0.02
)

// refused records a refusal with that many calls known at the server.
func (c *capacity) refused(inFlight float64, now time.Time) {
	if c.observed {
		c.observed, c.peak, c.outOfContact = false, 0, false
	}
	c.peak = max(c.peak, inFlight)
	c.at = now
}

// observe notes how many calls are known at the server. The observation is discarded if it was made
// without contact, or if no more calls than slots were known: a queue with free slots is not full,
// so that calls are missing in it or the server refused for another reason.
func (c *capacity) observe(inFlight float64, slots int, inContact bool, now time.Time) {
	if c.observed {
		return
	}
	c.peak = max(c.peak, inFlight)
	c.outOfContact = c.outOfContact || !inContact
	if now.Sub(c.at) < observeFor {
		return
	}
	c.observed = true
	if c.peak <= float64(slots) || c.outOfContact {
		return
	}
	switch risen := c.risen(c.at); {
	case c.calls == 0:
		c.calls = c.peak
	case c.peak < c.calls:
		c.calls += capacityWeight * (c.peak - c.calls)
	case c.peak < risen:
		c.calls = c.peak
	default:
		c.calls = risen + capacityWeight*(c.peak-risen)
	}
	c.learned = c.at
}

// risen returns the number of calls at which the server is expected to refuse others.
func (c *capacity) risen(now time.Time) float64 {
	return c.calls * (1 + capacityRise*max(now.Sub(c.learned), 0).Seconds())
}

// limit returns the number of calls up to which the server is sent another one.
func (c *capacity) limit(now time.Time) float64 {
	if c.calls == 0 {
		return math.Inf(1)
	}
	return capacityMargin * c.risen(now)
}

// left returns how many of the calls that the server had at the refusal it has at least left.
func (c *capacity) left(now time.Time, slots int, work time.Duration) float64 {
	return max(c.calls, c.peak) - float64(slots)*float64(now.Sub(c.at))/float64(work)
}

// spare is the part of the servers' free capacity that an instance uses beyond its allowance,
// from 0 to 1. It falls to zero once the servers are full, and rises again over some time.
type spare struct {
	part float64
	at   time.Time
	// drawn is when a waiting call last had a chance.
	drawn time.Time
}

// mayDraw reports whether a call has a chance now. A call has one when it arrives. Of the waiting
// calls, one at a time has another after a while: with a chance at each decision, hundreds of
// waiting calls would be sent within the age of the reports.
func (p *spare) mayDraw(config *Config, w *Waiter, now time.Time) bool {
	if w.since.Equal(now) {
		return true
	}
	if now.Sub(p.drawn) < config.SpareEvery {
		return false
	}
	p.drawn = now
	return true
}

func (p *spare) update(config *Config, s *state, now time.Time) {
	passed := max(now.Sub(p.at), 0)
	p.at = now
	switch {
	case s.used > config.SpareEnd*s.limit:
		p.part = 0
	case s.used < config.SpareUpTo*s.limit:
		p.part = min(p.part+passed.Seconds()/config.SpareRecovery.Seconds(), 1)
	}
}

// chance returns the probability with which a call beyond the instance's allowance is sent. Own
// answers reduce it for the moment only; with demand in one zone the instances there need the spare
// capacity, and their answers take longest.
func (p *spare) chance(config *Config, s *state) float64 {
	from, to := config.SpareUpTo*s.limit, config.SpareEnd*s.limit
	return p.part * min(max((to-max(s.used, s.shown))/max(to-from, 1), 0), 1)
}

const (
	// answersCompared is the number of the instance's last answers of which the fastest is used.
	// About one call in ten works five times as long as the others, and says nothing about the
	// servers' queues.
	answersCompared = 2
	// shownFrom is the time of an answer, as a multiple of the estimated work time, above which it shows
	// a wait at the server. Below that it would show as many calls as there are slots at an idle server.
	shownFrom = 1.5
	// answersFor is the time for which an answer is used. An instance gets three to seven answers a
	// second, and reports of the others come within about a second.
	answersFor = time.Second
)

// answers are the instance's last answers. They show the servers' queues before the reports of the
// others do: where these are a second old, the servers' queues fill before any report shows it.
type answers struct {
	took [answersCompared]time.Duration
	at   [answersCompared]time.Time
	next int
}

func (a *answers) add(took time.Duration, now time.Time) {
	a.took[a.next], a.at[a.next] = took, now
	a.next = (a.next + 1) % answersCompared
}

// inFlight returns the number of calls at the servers at which a call takes as long as the last
// ones did, by Little's law. rate is the number of calls a second that the servers can do. The
// result is 0 without recent answers.
func (a *answers) inFlight(rate float64, now time.Time) float64 {
	for _, at := range a.at {
		if now.Sub(at) > answersFor {
			return 0
		}
	}
	return rate * slices.Min(a.took[:]).Seconds()
}

// bucket is a token bucket for late calls. It holds at most one call, and none while its rate is
// zero: calls that arrived while there was no capacity must not all be sent once there is some.
type bucket struct {
	tokens float64
	at     time.Time
	// mean is the rate, smoothed over lateMeanOver.
	mean float64
}

// lateMeanOver is the time over which the rate of late calls is smoothed. It is several times as
// long as reports are late in most cases, and shorter than callers wait.
const lateMeanOver = time.Second

// fill adds the calls for the time that has passed. idleRate is the rate while the servers have no
// calls, which is assumed for the time before the first decision.
func (b *bucket) fill(rate, idleRate float64, now time.Time) {
	if b.at.IsZero() {
		b.at, b.mean = now, idleRate
	}
	passed := max(now.Sub(b.at), 0)
	b.at = now
	b.mean += (rate - b.mean) * -math.Expm1(-passed.Seconds()/lateMeanOver.Seconds())
	b.tokens = min(b.tokens+rate*passed.Seconds(), 1)
	if rate == 0 {
		b.tokens = 0
	}
}

func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
