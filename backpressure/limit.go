package backpressure

import (
	"fmt"
	"math"
	"time"
)

// limit is the rate limit that a server has named, or the end of one.
type limit struct {
	named bool
	// rate is in requests a second, from all instances together.
	rate float64
	// kinds are the kinds of calls in whose answers the server has named it, and at is when
	// it last did.
	kinds Kinds
	at    time.Time
	// observation names that answer among those that any instance has had: whoever repeats
	// it makes it no newer.
	observation uint64
	// freshUntil is until when others are sent it with each message.
	freshUntil time.Time
}

// String says what the limit is, for the log.
func (l *limit) String() string {
	if !l.named {
		return "not limited"
	}
	return fmt.Sprintf("limited to %.3g/s", l.rate)
}

// noticed is the part by which a limit must change for others to be sent it at once.
const noticed = 0.1

// differs says whether a limit differs from the one before so that it should be noticed.
func (l *limit) differs(before *limit) bool {
	return l.named != before.named || math.Abs(l.rate-before.rate) > noticed*before.rate
}

const (
	// burst is how many calls an instance may send a limited server at once: a generation
	// takes two, one to reserve memory and one to run.
	burst = 2
	// staleAtLeast and staleAtMost bound the silence after which any instance may send a
	// limited server a request, to hear whether it still is: those that may send there may
	// have nothing to send, and a limit of nothing would never end.
	staleAtLeast = 2 * time.Second
	staleAtMost  = 10 * time.Second
	// staleCalls is how many calls the server should have had in that time.
	staleCalls = 2
	// probeSpread is the time in which the chance that an instance sends such a request
	// doubles: one of all should.
	probeSpread = time.Second
	// probeFor is how long one that was drawn may take until it is sent.
	probeFor = 200 * time.Millisecond
)

// allowance is what this instance may send a limited server.
type allowance struct {
	// part is in calls a second, and level what is left at the time at, in calls.
	part  float64
	level float64
	at    time.Time
	// of and instances are what the part was made of.
	of        float64
	instances *Instances
	// probed is when this instance last drew that it is the one to ask, and probeUntil
	// until when it may.
	probed     time.Time
	probeUntil time.Time
}

// settle brings the allowance up to date. The caller holds the lock.
func (s *Server) settle(now time.Time) {
	instances := s.tracker.instances.Load()
	s.allowance.settle(s.id, s.limit.rate, instances.sendersFor(s.limit.rate), instances, now)
}

// settle brings an allowance up to date that so many instances share.
func (a *allowance) settle(server ID, rate float64, senders int, instances *Instances, now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		a.level = min(a.level+a.part*passed.Seconds(), burst)
		a.at = now
	}
	if a.instances != instances || a.of != rate {
		a.instances, a.of = instances, rate
		a.part = instances.part(server, rate, senders)
	}
	if a.part == 0 {
		// What was left is for those to use whose part it is now.
		a.level = min(a.level, 0)
	}
}

// begin gives the allowance of a server that begins to name a limit a part of a call, drawn
// at random: all that may send there should not do so at once.
func (a *allowance) begin(random float64, now time.Time) {
	*a = allowance{level: random, at: now}
}

// holdsBack says whether the limit leaves no room for so many calls now. The caller holds
// the lock.
func (s *Server) holdsBack(calls float64, now time.Time) bool {
	if !s.limit.named || calls == 0 {
		return false
	}
	s.settle(now)
	return s.allowance.level < calls && !s.mayProbe(now)
}

// mayProbe says whether this instance is to ask a limited server that nobody has heard for
// long. The caller holds the lock.
func (s *Server) mayProbe(now time.Time) bool {
	a := &s.allowance
	if now.Before(a.probeUntil) {
		return true
	}
	// Others whom this instance does not hear may have asked meanwhile.
	stale := time.Duration(float64(s.staleAfter()) / a.instances.heard())
	over := now.Sub(s.limit.at) - stale
	if over < 0 || now.Sub(a.probed) < stale {
		return false
	}
	chance := math.Exp2(over.Seconds()/probeSpread.Seconds()) / float64(a.instances.known())
	if s.tracker.random() >= chance {
		return false
	}
	a.probed, a.probeUntil = now, now.Add(probeFor)
	return true
}

// staleAfter is the silence after which the limit may no longer hold. The caller holds the
// lock.
func (s *Server) staleAfter() time.Duration {
	if s.limit.rate <= 0 {
		return staleAtMost
	}
	expected := time.Duration(min(staleCalls/s.limit.rate, staleAtMost.Seconds()) * float64(time.Second))
	return max(expected, staleAtLeast)
}

// spend notes that so many calls are sent. The caller holds the lock.
func (s *Server) spend(calls float64, now time.Time) {
	s.spendCold(calls, now)
	if !s.limit.named || calls == 0 {
		return
	}
	s.settle(now)
	if s.allowance.level < calls {
		s.allowance.probeUntil = time.Time{}
	}
	s.allowance.level = max(s.allowance.level-calls, -burst)
}

// roomIn is how long it takes until the limit leaves room for so many calls, here or at
// another instance. The caller holds the lock.
func (s *Server) roomIn(calls float64, now time.Time) time.Duration {
	if !s.limit.named {
		return 0
	}
	s.settle(now)
	a := &s.allowance
	if a.part > 0 {
		return seconds((calls - a.level) / a.part)
	}
	if s.limit.rate > 0 {
		return seconds(calls / s.limit.rate)
	}
	return max(s.staleAfter()-now.Sub(s.limit.at), 0)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), staleAtMost.Seconds()) * float64(time.Second))
}
