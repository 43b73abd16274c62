package slots

import (
	"sync"
	"time"
)

// Dispatcher decides about the calls of one service at one instance. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	random func() float64

	mu         sync.Mutex
	work       work
	capacities map[string]*capacity
	// own counts the instance's calls in flight. resume is when it may use its allowance again, if
	// that is less than one call.
	own    int
	resume time.Time
	// allowance is the instance's allowance at the last decision.
	allowance float64
	spare     spare
	answers   answers
	late      bucket
	queue     queue
	// lastReturn is the time at which the last refused caller was asked to come back.
	lastReturn time.Time
}

// NewDispatcher returns a dispatcher. random returns a number in [0,1).
func NewDispatcher(config Config, random func() float64) *Dispatcher {
	return &Dispatcher{config: config, random: random, capacities: make(map[string]*capacity), spare: spare{part: 1}, late: bucket{tokens: 1}}
}

// state is what a dispatcher knows of the servers at a decision. All figures are sums over the
// servers, except for limits, inFlight and works, which are by server.
type state struct {
	limits, inFlight []float64
	works            []time.Duration
	limit, used      float64
	// shown is the number of calls that the instance's own answers show, if the reports of the
	// others do not show a burst yet.
	shown float64
	// rate is the number of calls a second that the servers can do.
	rate float64
	work time.Duration
	// allowance is the number of calls that this instance may have in flight at any time, and
	// delay the time that a call takes now.
	allowance float64
	delay     time.Duration
	// lateRate is the number of late calls a second that this instance may send.
	lateRate float64
	// idleLateRate is the lateRate of servers without calls.
	idleLateRate float64
}

// read derives the state of the servers. The caller holds the lock.
func (d *Dispatcher) read(target time.Duration, view *View, now time.Time) state {
	var s state
	slots := 0
	for i := range view.Servers {
		server := &view.Servers[i]
		work := d.workTime(server, target)
		limit := float64(server.Slots) * min(float64(target)/float64(work), d.config.MaxRounds)
		inFlight := float64(server.InFlight)
		if c := d.capacities[server.Name]; c != nil {
			c.observe(inFlight, server.Slots, view.InContact, now)
			limit = min(limit, c.limit(now))
			inFlight = max(inFlight, c.left(now, server.Slots, work))
		}
		limit = max(limit, float64(server.Slots))
		s.limits, s.inFlight, s.works = append(s.limits, limit), append(s.inFlight, inFlight), append(s.works, work)
		s.limit += limit
		s.used += inFlight
		s.rate += float64(server.Slots) / work.Seconds()
		slots += server.Slots
	}
	if slots == 0 {
		return s
	}
	instances := float64(max(view.Instances, 1))
	s.work = time.Duration(float64(slots) / s.rate * float64(time.Second))
	s.allowance = d.config.Allowances * s.limit / instances
	s.delay = max(s.work, time.Duration(min(s.used, d.config.Delay*s.limit)/s.rate*float64(time.Second)))
	lateUpTo := max(d.config.LateUpTo*s.limit, float64(slots))
	s.idleLateRate = lateUpTo / d.config.LateSettle.Seconds() / instances
	s.lateRate = max(1-s.used/lateUpTo, 0) * s.idleLateRate
	return s
}

// workTime estimates the mean work time of a call at a server: by the usual one that all instances
// measure if it is known, and by this instance's answers of all servers otherwise.
func (d *Dispatcher) workTime(server *Server, target time.Duration) time.Duration {
	if mean, known := d.work.atServer(server.Usual); known {
		return mean
	}
	return d.work.mean(target)
}

// Arrive decides about a call that has arrived, or that failed and is to be repeated. With the
// action Wait it returns the waiting call.
func (d *Dispatcher) Arrive(call Call, view View, now time.Time) (Decision, *Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := &Waiter{call: call, since: now, returned: call.returned(now)}
	if call.Deadline.Before(call.Due) {
		w.call.Due = call.Deadline
	}
	d.queue.push(w)
	made := d.decide(w, &view, now)
	if made.Action != Wait {
		return made, nil
	}
	_, s := d.begin(w, &view, now)
	for d.queue.exceeds(d.config.QueueCalls, d.config.QueueBytes) {
		last := d.queue.last(s.lateAt(now))
		if last == w || call.Bytes > d.config.QueueBytes {
			d.refuse(&made, &s, w, view.Instances, now)
			return made, nil
		}
		d.queue.remove(last)
		last.displaced = true
	}
	return made, w
}

// Poll decides again about a waiting call.
func (d *Dispatcher) Poll(w *Waiter, view View, now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.displaced {
		made, s := d.begin(w, &view, now)
		d.refuse(&made, &s, w, view.Instances, now)
		return made
	}
	return d.decide(w, &view, now)
}

// Leave removes a waiting call whose caller has disconnected.
func (d *Dispatcher) Leave(w *Waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.remove(w)
}

// Waiting returns the number of waiting calls.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue.waiting)
}

// begin reads the state of the servers and brings the allowances up to date.
func (d *Dispatcher) begin(w *Waiter, view *View, now time.Time) (Decision, state) {
	s := d.read(w.call.Target, view, now)
	if s.used < d.config.SpareUpTo*s.limit {
		s.shown = d.answers.inFlight(s.rate, now)
	}
	d.spare.update(&d.config, &s, now)
	d.late.fill(s.lateRate, s.idleLateRate, now)
	d.allowance = s.allowance
	made := Decision{
		InFlight: int(s.used), InFlightShown: int(s.shown), Limit: s.limit, Allowance: s.allowance, Work: s.work,
		Queued: len(d.queue.waiting), Waited: now.Sub(w.since), Late: d.isLate(w, &s, now),
	}
	if view.InContact {
		made.Chance = d.spare.chance(&d.config, &s)
	}
	return made, s
}

// decide decides about a call in the queue. The caller holds the lock.
func (d *Dispatcher) decide(w *Waiter, view *View, now time.Time) Decision {
	made, s := d.begin(w, view, now)
	switch {
	case s.limit == 0 || !view.MaySend():
		d.refuse(&made, &s, w, view.Instances, now)
	case d.queue.first(s.lateAt(now)) == w && d.maySend(&made, &s, w, view, now):
		d.send(&made, &s, view)
		d.queue.remove(w)
	case made.Late && !d.mayWait(w, &s, now):
		d.refuse(&made, &s, w, view.Instances, now)
	default:
		made.Action = Wait
	}
	return made
}

// lateAt returns a function that reports whether a call would end after its target if it were sent
// now.
func (s *state) lateAt(now time.Time) func(*Waiter) bool {
	end := now.Add(s.delay)
	return func(w *Waiter) bool { return end.After(w.call.Due) }
}

// isLate reports whether a call would end after its target if it were sent when its turn comes,
// after the more urgent calls that can end in time.
func (d *Dispatcher) isLate(w *Waiter, s *state, now time.Time) bool {
	late := s.lateAt(now)
	ahead := d.queue.ahead(w, func(other *Waiter) bool { return !late(other) })
	turn := time.Duration(float64(ahead) / max(s.allowance, 1) * float64(s.delay))
	return now.Add(turn + s.delay).After(w.call.Due)
}

// maySend reports whether the first call of the queue may be sent, and takes what it needs.
func (d *Dispatcher) maySend(made *Decision, s *state, w *Waiter, view *View, now time.Time) bool {
	switch {
	case made.Late && view.InContact:
		// While the servers have spare capacity for all, a late call delays no other.
		return d.late.take() || (made.Chance >= 1 && d.spare.mayDraw(&d.config, w, now))
	case d.withinAllowance(s, now):
		made.ByAllowance = true
		return true
	}
	return d.spare.mayDraw(&d.config, w, now) && d.random() < made.Chance
}

// withinAllowance reports whether the instance may send another call within its allowance.
func (d *Dispatcher) withinAllowance(s *state, now time.Time) bool {
	if s.allowance >= 1 {
		return float64(d.own+1) <= s.allowance
	}
	return d.own == 0 && !now.Before(d.resume)
}

// mayWait reports whether a late call may wait in the instance: if its turn is expected within
// WaitFraction of its remaining time. A call that arrives for the first time is refused otherwise,
// and its caller comes back once. A call that has come back, or that may have run, is worth nothing
// once it is refused. Its turn is expected by the mean late capacity, since there is none at times
// while other late calls are being sent.
func (d *Dispatcher) mayWait(w *Waiter, s *state, now time.Time) bool {
	most := time.Duration(d.config.WaitFraction * float64(w.call.Deadline.Sub(w.since)))
	if now.Sub(w.since) >= most {
		return false
	}
	rate := s.lateRate
	if w.returned {
		rate = max(rate, d.late.mean)
	}
	calls := float64(d.queue.ahead(w, s.lateAt(now))+1) - d.late.tokens
	turn := max(calls, 0) / rate
	return now.Sub(w.since).Seconds()+turn <= most.Seconds()
}

// send selects the server. A call within the instance's allowance goes to the server that the
// instance is assigned to, so that each server gets its part of the calls. Others prefer servers
// with fewer calls, with a weight that differs little because reports are late.
func (d *Dispatcher) send(made *Decision, s *state, view *View) {
	made.Action = Send
	d.own++
	drawn := d.random()
	byRank := made.ByAllowance && view.Rank < view.Instances
	if byRank {
		drawn = (float64(view.Rank) + 0.5) / float64(max(view.Instances, 1))
	}
	weights, total := make([]float64, len(view.Servers)), 0.0
	for i := range view.Servers {
		switch {
		case view.Servers[i].Excluded:
		case byRank:
			weights[i] = s.limits[i]
		default:
			weights[i] = 1 / ((float64(view.Servers[i].Slots) + s.inFlight[i]) * s.works[i].Seconds())
		}
		total += weights[i]
	}
	drawn *= total
	for i := range weights {
		if view.Servers[i].Excluded {
			continue
		}
		made.Server = view.Servers[i].Name
		if drawn -= weights[i]; drawn < 0 {
			return
		}
	}
}

// refuse sets when the caller of a refused call should come back. The refusals of an instance are
// spread over the time in which its part of the servers' capacity would serve them.
func (d *Dispatcher) refuse(made *Decision, s *state, w *Waiter, instances int, now time.Time) {
	d.queue.remove(w)
	made.Action = Refuse
	left := float64(w.call.Deadline.Sub(now))
	earliest, latest := time.Duration(d.config.ReturnEarliest*left), time.Duration(d.config.ReturnLatest*left)
	made.RetryAfter = latest
	if s.rate > 0 {
		step := float64(max(instances, 1)) / (d.config.ReturnPart * s.rate)
		if d.lastReturn.Before(now) {
			d.lastReturn = now.Add(time.Duration(s.used / s.rate * float64(time.Second)))
		}
		d.lastReturn = d.lastReturn.Add(time.Duration(step * float64(time.Second)))
		if d.lastReturn.After(now.Add(latest)) {
			d.lastReturn = now.Add(latest)
		}
		made.RetryAfter = min(max(d.lastReturn.Sub(now), earliest), latest)
	}
}

// Answer describes how a server processed a call.
type Answer struct {
	Server string
	Slots  int
	// Before is the number of calls that were known at the server when the call was sent, After the
	// same when it was answered, both with the call itself.
	Before, After int
	Took          time.Duration
	// Usual is the server's usual work time; 0 if it is not known.
	Usual time.Duration
}

// Answered records that a server processed a call.
func (d *Dispatcher) Answered(answer Answer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	took := answer.Took
	work, known := d.work.atServer(answer.Usual)
	if !known && d.work.count > 0 {
		work = d.work.mean(0)
	}
	d.work.add(answer, now)
	if float64(took) <= shownFrom*float64(work) {
		took = 0
	}
	d.answers.add(took, now)
}

// Done records that a call that was sent has ended, after the given time.
func (d *Dispatcher) Done(target, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own--
	if d.allowance > 0 && d.allowance < 1 {
		// An allowance of less than one call is used for a part of the time.
		usual := min(took, time.Duration(d.config.Allowances*float64(target)))
		d.resume = now.Add(time.Duration((1/d.allowance - 1) * float64(usual)))
	}
}

// maxCapacities bounds the servers whose capacity is remembered. A service has few of them, but a
// server that restarts gets a new name.
const maxCapacities = 64

// Refused records that a server did not run a call because its queue was full. inFlight is the
// number of calls that were known there.
func (d *Dispatcher) Refused(server string, slots, inFlight int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spare.part = 0
	c := d.capacities[server]
	if c == nil {
		if len(d.capacities) >= maxCapacities {
			clear(d.capacities)
		}
		c = &capacity{observed: true}
		d.capacities[server] = c
	}
	c.refused(float64(max(inFlight, slots)), now)
}
