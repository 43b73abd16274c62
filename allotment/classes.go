package allotment

import (
	"math"
	"time"
)

// Bounds are the service requirements on what a team may use: in any Window at most
// (rate x Window + burst) x (1 + Overage) + Slack, over all instances together. The zero value
// disables the classes of requests: every request is then admitted while the balance is positive.
type Bounds struct {
	Window  time.Duration
	Overage float64
	// Slack is in units of the limits.
	Slack float64
}

// enabled reports whether the bound is known.
func (b Bounds) enabled() bool { return b.Window > 0 && b.Overage > 0 }

// tolerance returns how much a team may use in a window beyond its rate and its burst.
func (b Bounds) tolerance(limit Limit) float64 {
	return b.Overage*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Slack
}

// Parts of the tolerance. What is left covers requests that instances admit before they receive
// each other's reports.
const (
	// capacityPart is added to the capacity of a bucket, so that streams of a small team that
	// arrive together are admitted.
	capacityPart = 0.3
	// debtPart is the largest debt for which plain calls are still admitted. Plain calls cost a
	// fortieth of a stream, so a team that sends seven times its rate in streams has enough for
	// all of them if the streams wait.
	debtPart = 0.2
	// startPart is the balance with which all instances together start after they have lost what
	// they knew. Two such losses in a window cost twice as much of the tolerance, and instances
	// that do not know how many they are take a multiple of it together.
	startPart = 0.02
)

// recoveryPart is the part of a team's rate that is withheld for a window after a start. What
// instances admit before they receive each other's reports, up to 0.6 s of the rate for a team that
// sends seven times its rate in plain calls, is forgotten when all of them are lost. Within a window
// 0.8 s of the rate is recovered. A team that sends 0.8 of its rate still fills its bucket meanwhile.
const recoveryPart = 0.1

// Class says which requests of a team are admitted before others when its balance is low.
type Class struct {
	// Stream is set for generations. Other requests are plain calls, which are short and cheap.
	Stream bool
	// Priority is that of the route. 0 is the highest.
	Priority int
	// Late is set if the caller has waited for longer than the target of its route.
	Late bool
}

// String returns the class as it appears in logs and metrics.
func (c Class) String() string {
	name := "plain"
	if c.Stream {
		name = "stream"
	}
	if c.Priority > 0 {
		name += "_low"
	}
	if c.Late {
		name += "_late"
	}
	return name
}

// Request is a request of a team, as the ledger decides on it.
type Request struct {
	Team string
	// Cost is what the request counts as, in units.
	Cost  float64
	Class Class
	// MaxWait is the longest delay after which the caller may come back if it is refused.
	MaxWait time.Duration
}

// maxRank is the rank of the classes that are refused first.
const maxRank = 3

// rank returns how many classes are admitted before this one. A late answer is worth a tenth to a
// fifth of one in time, so requests in time come first whatever their priority is.
func (c Class) rank() int {
	rank := min(max(c.Priority, 0), 1)
	if c.Late {
		rank += 2
	}
	return min(rank, maxRank)
}

// ramp is the range of balances over which the probability of admission rises from 0 to 1.
type ramp struct{ low, high float64 }

// Ramps of streams, as fractions of a bucket's capacity. The higher the rank, the higher the balance that
// is left to the classes before it (trunk reservation, as in route.TeamFactor). The ramps are no wider
// than the delay of the reports requires: a team at several times its rate spends a fifth of its capacity
// in 0.1 s, and what a short burst leaves above the ramp is lost to the callers that were refused.
var streamRamps = [maxRank + 1]ramp{{0, 0.2}, {0.04, 0.24}, {0.08, 0.28}, {0.1, 0.3}}

// Ramps of plain calls, as fractions of the largest debt of plain calls.
var plainRamps = [maxRank + 1]ramp{{-1, -0.4}, {-0.9, -0.3}, {-0.5, 0}, {-0.4, 0}}

// rampGrowth is the time after a start with an empty bucket in which the ramps of streams grow to
// their full width. In that time a team that sends 0.8 of its rate refills the range of the ramps, so
// it is not refused because the bucket was empty.
const rampGrowth = 4 * time.Second

// rampOf returns the ramp of a class in units, for a bucket with a capacity and a largest debt of
// plain calls. share is the share of both that the instance has. age is the time since the bucket
// was empty at the start of the instance. An instance that is out of contact knows all that is
// spent of its share, so no report is late and it gets a narrow ramp. With the full width, teams
// far below their rate would be refused there.
func rampOf(class Class, capacity, debt, share float64, age time.Duration) ramp {
	relative, whole := plainRamps[class.rank()], debt
	if class.Stream {
		relative, whole = streamRamps[class.rank()], capacity*min(age.Seconds()/rampGrowth.Seconds(), 1)
	}
	low := relative.low * whole * share
	return ramp{low, low + (relative.high-relative.low)*whole*share*share}
}

// rampSteepness is the exponent of the ramps. On an exponential ramp the change of what is admitted
// with the balance is the same share of it at every overload, so a delay of the reports that is
// tolerable for a team at twice its rate is so at seven times.
const rampSteepness = 3.0

// probability returns the probability with which a request is admitted at a balance. It does not
// depend on the cost of the request.
func (r ramp) probability(balance float64) float64 {
	switch {
	case balance >= r.high:
		return 1
	case balance <= r.low:
		return 0
	}
	position := (balance - r.low) / (r.high - r.low)
	return math.Expm1(rampSteepness*position) / math.Expm1(rampSteepness)
}
