package forward

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/slots"
)

// serviceSlots decides about the calls of one service whose servers have few slots.
type serviceSlots struct {
	dispatcher *slots.Dispatcher
	// enabled is set once there were more active instances than slots.
	enabled atomic.Bool

	mu sync.Mutex
	// changed is closed when a call has ended, so that waiting calls are decided about again.
	changed chan struct{}
	// rank is the position of this instance among instances.
	rank      int
	instances *backpressure.Instances
}

// slotsOf returns the state of a service whose servers have few slots.
func (g *Gateway) slotsOf(service string) *serviceSlots {
	if known, ok := g.fewSlots.Load(service); ok {
		return known.(*serviceSlots)
	}
	made := &serviceSlots{dispatcher: slots.NewDispatcher(slots.DefaultConfig(), g.Random), changed: make(chan struct{})}
	known, _ := g.fewSlots.LoadOrStore(service, made)
	return known.(*serviceSlots)
}

// waitChanged returns a channel that is closed when a call ends.
func (s *serviceSlots) waitChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyChanged wakes the waiting calls.
func (s *serviceSlots) notifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// rankOf returns the position of this instance among the instances that send to the service.
func (s *serviceSlots) rankOf(service string, instances *backpressure.Instances) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instances != instances {
		s.instances, s.rank = instances, instances.Rank(backpressure.IDOf(service))
	}
	return s.rank
}

// hasFewSlots reports whether the servers of the request's service have fewer slots together than
// there are instances that send to them. It is false unless all servers state their slots, and for
// an instance that knows only a subset of the servers.
func (f *flow) hasFewSlots() bool {
	servers := f.View.Servers()
	plain := servers.Plain[f.service.Name]
	if len(plain) == 0 || servers.Subset || f.isProbe() {
		return false
	}
	instances, total := f.Fleet.Backpressure.Instances(), 0
	for _, backend := range plain {
		entry := servers.ByRun[backend.Name]
		if entry == nil || entry.Slots <= 0 {
			return false
		}
		if total += entry.Slots; total >= instances.Total() {
			return false
		}
	}
	return f.slotsOf(f.service.Name).enable(total < len(instances.Active))
}

// enable reports whether the rule for few slots applies. It begins to apply once there are more
// active instances than slots, and then applies also to an instance that is cut off from them. An
// instance that has just started assumes that there are others, which alone must not begin it.
func (s *serviceSlots) enable(fewerThanActive bool) bool {
	if fewerThanActive && !s.enabled.Load() {
		s.enabled.Store(true)
	}
	return s.enabled.Load()
}

// inContactFrom is the fraction of the other instances from which this one must receive messages
// for their reports to show what they have in flight.
const inContactFrom = 0.5

// slotsView returns what is known of the servers to which the call may be sent.
func (f *flow) slotsView(at *serviceSlots, rated []route.ScoredCandidate) slots.View {
	instances := f.Fleet.Backpressure.Instances()
	view := slots.View{
		Instances: instances.Total(), Rank: at.rankOf(f.service.Name, instances),
		InContact: instances.Reachable() >= inContactFrom,
	}
	for i := range rated {
		excluded := rated[i].DroppedBy == (route.ExcludedFilter{}).Name()
		if rated[i].DroppedBy == "" || excluded {
			view.Servers = append(view.Servers, slots.Server{
				Name: rated[i].Name, Slots: f.slotsAt(rated[i].Name), InFlight: knownInFlight(rated[i].Server), Excluded: excluded,
				Usual: usualWork(rated[i].Server),
			})
		}
	}
	return view
}

// usualWork returns the usual work time of a server by the measurements of all instances; 0 if it is
// not known.
func usualWork(server *route.Server) time.Duration {
	usual, known := server.WorkTime(clock.Now())
	if !known {
		return 0
	}
	return usual
}

// slotsAt returns the number of slots of a server.
func (f *flow) slotsAt(server string) int {
	if entry := f.servers.ByRun[server]; entry != nil {
		return entry.Slots
	}
	return 0
}

// knownInFlight returns the number of requests of all instances at a server, as far as is known.
func knownInFlight(server *route.Server) int { return server.InFlight() + server.Others().InFlight }

// slotsCall describes the request to the dispatcher of its service.
func (f *flow) slotsCall() slots.Call {
	return slots.Call{
		Priority: f.route.Priority, Target: f.route.TTFT, Due: f.request.Arrived.Add(f.route.TTFT - f.waited),
		Deadline: f.deadline, Bytes: len(f.request.Body) + waiterBytes,
	}
}

const (
	// waiterBytes is the memory of a waiting request without its body: the goroutine and its
	// connection's buffers.
	waiterBytes = 24 << 10
	// slotsCheckEvery is the pause after which a waiting call is decided about again if no call of
	// this instance has ended. Reports of the other instances come some ten times a second.
	slotsCheckEvery = 20 * time.Millisecond
)

// errNoSlot is the error of a call for which no slot is expected soon enough.
var errNoSlot = errors.New("no slot is expected to be free soon enough")

// errStopping is the error of a request that an instance refuses because it may stop before the request would end.
var errStopping = errors.New("the instance is stopping")

// chooseBySlots selects a server with few slots. The call waits in the instance if a slot is
// expected. The error is errNoServer if no server is left, errNoSlot if no slot is expected soon
// enough, errStopping if the instance stops, and a *NotRunError if the caller left.
func (f *flow) chooseBySlots(ctx context.Context) (*route.ScoredCandidate, error) {
	at := f.slotsOf(f.service.Name)
	call, priority := f.slotsCall(), f.route.Priority
	var waiter *slots.Waiter
	var made slots.Decision
	leave := func() {
		if waiter != nil {
			at.dispatcher.Leave(waiter)
			f.Metrics.SlotWaitEnded(f.service.Name, priority, made.Waited)
		}
	}
	for {
		changed := at.waitChanged()
		query := f.query()
		rated, possible := f.rate(query, f.plainFewSlots, plainPool)
		if !possible {
			leave()
			return nil, errNoServer
		}
		view, now := f.slotsView(at, rated.Rated), clock.Now()
		if !view.MaySend() {
			leave()
			f.recordChoice(query, &rated)
			return nil, errNoServer
		}
		if waiter == nil {
			made, waiter = at.dispatcher.Arrive(call, view, now)
			if waiter != nil {
				f.Metrics.SlotWaitBegan(f.service.Name, priority)
			}
		} else {
			made = at.dispatcher.Poll(waiter, view, now)
		}
		switch made.Action {
		case slots.Send:
			leave()
			f.recordSlots(made)
			rated.Selected = candidateNamed(rated.Rated, made.Server)
			rated.Pick = made.Server
			return f.recordChoice(query, &rated), nil
		case slots.Refuse:
			leave()
			f.recordSlots(made)
			f.returnAfter = made.RetryAfter
			return nil, errNoSlot
		case slots.Wait:
		}
		if err := f.awaitSlot(ctx, changed); err != nil {
			leave()
			return nil, err
		}
	}
}

// awaitSlot waits until a call has ended or a graceful shutdown begins, or for slotsCheckEvery.
func (f *flow) awaitSlot(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(slotsCheckEvery)
	defer timer.Stop()
	stopBegan := f.stopBegan
	if f.Stopping() {
		stopBegan = nil
	}
	select {
	case <-changed:
	case <-stopBegan:
	case <-timer.C:
	case <-ctx.Done():
	}
	switch {
	case !clock.Now().Before(f.deadline):
		return errDeadlinePassed
	case ctx.Err() != nil:
		return &NotRunError{Why: reason.CallerGone, Detail: ctx.Err().Error()}
	case f.stopsTooSoon():
		return errStopping
	case f.linksLost():
		return errNoServer
	}
	return nil
}

// candidateNamed returns the candidate of that name.
func candidateNamed(rated []route.ScoredCandidate, name string) *route.ScoredCandidate {
	for i := range rated {
		if rated[i].Name == name {
			return &rated[i]
		}
	}
	return nil
}

// recordSlots logs and counts a decision of the dispatcher.
func (f *flow) recordSlots(made slots.Decision) {
	inputs := []any{
		"late", made.Late, "byAllowance", made.ByAllowance, "chance", hundredths(made.Chance), "inFlight", made.InFlight, "inFlightShown", made.InFlightShown, "limit", int(made.Limit),
		"allowance", hundredths(made.Allowance), "workMillis", made.Work.Milliseconds(), "queued", made.Queued, "waitedMillis", made.Waited.Milliseconds(),
		"callerWaitedMillis", f.waited.Milliseconds(),
	}
	if made.Action == slots.Refuse {
		inputs = append(inputs, "retryAfterMillis", made.RetryAfter.Milliseconds())
	}
	f.record(stepSlots, made.Action.String(), inputs...)
	f.Metrics.SlotDecided(f.service.Name, slotDecision(made))
}

// hundredths rounds a number for the log.
func hundredths(number float64) float64 { return math.Round(number*100) / 100 }

// slotDecision names a decision of the dispatcher in the metrics.
func slotDecision(made slots.Decision) string {
	switch {
	case made.Action == slots.Refuse:
		return "refused"
	case made.Late:
		return "late"
	case made.ByAllowance:
		return "allowance"
	}
	return "spare"
}

// slotSend is one call that was sent to a server with few slots.
type slotSend struct {
	at     *serviceSlots
	chosen *route.ScoredCandidate
	slots  int
	sent   time.Time
	// before is the number of calls known at the server when this one was sent, with itself.
	before int
}

// slotEnded records the result of a call that was sent to a server with few slots.
func (f *flow) slotEnded(send *slotSend, answer *Answer, err error) {
	now := clock.Now()
	took := now.Sub(send.sent)
	// The call itself is no longer counted at the server.
	after := knownInFlight(send.chosen.Server) + 1
	dispatcher := send.at.dispatcher
	var notRun *NotRunError
	switch {
	case err == nil && answer != nil:
		dispatcher.Answered(slots.Answer{
			Server: send.chosen.Name, Slots: send.slots, Before: send.before, After: after, Took: took, Usual: usualWork(send.chosen.Server),
		}, now)
	case errors.As(err, &notRun) && notRun.Sent && !notRun.Misdirected:
		dispatcher.Refused(send.chosen.Name, send.slots, send.before, now)
		if max(send.before, after) <= send.slots {
			send.chosen.Server.RefusedWithFreeSlots(now)
		}
		f.Metrics.SlotDecided(f.service.Name, "refused_by_server")
	}
	dispatcher.Done(f.route.TTFT, took, now)
	send.at.notifyChanged()
}
