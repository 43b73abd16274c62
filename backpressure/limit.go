package backpressure

import (
	"fmt"
	"math"
	"time"
)

// limit is the rate limit that a server has reported, or the end of one.
type limit struct {
	named bool
	// rate is in requests a second, from all instances together.
	rate float64
	// kinds are the kinds of calls in whose answers the server has reported the limit. at is
	// when it last did.
	kinds Kinds
	at    time.Time
	// observation identifies the answer that reported the limit among the answers of all
	// instances. A sibling that repeats the report makes it no newer.
	observation uint64
	// freshUntil is until when the limit is sent to siblings with each message.
	freshUntil time.Time
}

// String describes the limit for the log.
func (l *limit) String() string {
	if !l.named {
		return "not limited"
	}
	return fmt.Sprintf("limited to %.3g/s", l.rate)
}

// significantChange is the fraction by which a limit must change to be sent to siblings
// immediately.
const significantChange = 0.1

// differsSignificantly reports whether the limit differs enough from the previous one to be
// logged and sent to siblings immediately.
func (l *limit) differsSignificantly(before *limit) bool {
	return l.named != before.named || math.Abs(l.rate-before.rate) > significantChange*before.rate
}

const (
	// burst is how many calls an instance may send a limited server without a pause: a
	// generation takes two, one to reserve memory and one to run.
	burst = 2
	// minStaleAfter and maxStaleAfter bound the time without a report after which any instance
	// may send a limited server a request to learn whether it still is limited. The instances
	// with a share may have nothing to send, and a limit of 0 would never end.
	minStaleAfter = 2 * time.Second
	maxStaleAfter = 10 * time.Second
	// staleCalls is how many calls the server should have received in that time.
	staleCalls = 2
	// probeDoublingTime is the time in which the probability that an instance sends such a
	// request doubles. On average one of all instances should send it.
	probeDoublingTime = time.Second
	// probeWindow is how long an instance that was drawn at random to send that request may
	// take to do so.
	probeWindow = 200 * time.Millisecond
)

// allowance is the token bucket of the calls that this instance may send a limited server.
type allowance struct {
	// share is the refill rate in calls a second. balance is the number of calls left at the
	// time at.
	share   float64
	balance float64
	at      time.Time
	// limitRate and instances are the inputs from which share was computed.
	limitRate float64
	instances *Instances
	// lastProbe is when this instance was last drawn to send a probe, and probeUntil is until
	// when it may send it.
	lastProbe  time.Time
	probeUntil time.Time
}

// refill brings the allowance up to date. The caller holds the lock.
func (s *Server) refill(now time.Time) {
	instances := s.tracker.instances.Load()
	s.allowance.refill(s.id, s.limit.rate, instances.sendersFor(s.limit.rate), instances, now)
}

// refill brings the allowance up to date. senders is the number of instances that share the
// rate.
func (a *allowance) refill(server ID, rate float64, senders int, instances *Instances, now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		a.balance = min(a.balance+a.share*passed.Seconds(), burst)
		a.at = now
	}
	if a.instances != instances || a.limitRate != rate {
		a.instances, a.limitRate = instances, rate
		a.share = instances.share(server, rate, senders)
	}
	if a.share == 0 {
		// The rest of the balance belongs to the instances that have the share now.
		a.balance = min(a.balance, 0)
	}
}

// reset starts the allowance of a server that has just become limited with a random fraction of
// a call, so that the instances with a share do not all send at the same time.
func (a *allowance) reset(random float64, now time.Time) {
	*a = allowance{balance: random, at: now}
}

// exceedsLimit reports whether the limit leaves no room for calls now. The caller holds the
// lock.
func (s *Server) exceedsLimit(calls float64, now time.Time) bool {
	if !s.limit.named || calls == 0 {
		return false
	}
	s.refill(now)
	return s.allowance.balance < calls && !s.mayProbe(now)
}

// mayProbe reports whether this instance should send a request to a limited server from which
// no instance has received a report for a long time. The caller holds the lock.
func (s *Server) mayProbe(now time.Time) bool {
	a := &s.allowance
	if now.Before(a.probeUntil) {
		return true
	}
	// Instances that this instance cannot reach may have sent requests meanwhile.
	stale := time.Duration(float64(s.staleAfter()) / a.instances.reachable())
	overdue := now.Sub(s.limit.at) - stale
	if overdue < 0 || now.Sub(a.lastProbe) < stale {
		return false
	}
	chance := math.Exp2(overdue.Seconds()/probeDoublingTime.Seconds()) / float64(a.instances.total())
	if s.tracker.random() >= chance {
		return false
	}
	a.lastProbe, a.probeUntil = now, now.Add(probeWindow)
	return true
}

// staleAfter returns the time without a report after which the limit may no longer apply. The
// caller holds the lock.
func (s *Server) staleAfter() time.Duration {
	if s.limit.rate <= 0 {
		return maxStaleAfter
	}
	expected := time.Duration(min(staleCalls/s.limit.rate, maxStaleAfter.Seconds()) * float64(time.Second))
	return max(expected, minStaleAfter)
}

// consume counts calls that are sent. The caller holds the lock.
func (s *Server) consume(calls float64, now time.Time) {
	s.consumeCold(calls, now)
	if !s.limit.named || calls == 0 {
		return
	}
	s.refill(now)
	if s.allowance.balance < calls {
		s.allowance.probeUntil = time.Time{}
	}
	s.allowance.balance = max(s.allowance.balance-calls, -burst)
}

// limitDelay returns how long it takes until the limit leaves room for calls, here or at
// another instance. The caller holds the lock.
func (s *Server) limitDelay(calls float64, now time.Time) time.Duration {
	if !s.limit.named {
		return 0
	}
	s.refill(now)
	a := &s.allowance
	if a.share > 0 {
		return cappedSeconds((calls - a.balance) / a.share)
	}
	if s.limit.rate > 0 {
		return cappedSeconds(calls / s.limit.rate)
	}
	return max(s.staleAfter()-now.Sub(s.limit.at), 0)
}

func cappedSeconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxStaleAfter.Seconds()) * float64(time.Second))
}
