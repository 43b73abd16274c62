package slots

import (
	"testing"
	"time"
)

// dispatcherTest is a dispatcher with three servers of 6 slots before 61 instances, and calls of 30 ms work.
type dispatcherTest struct {
	*Dispatcher
	t    *testing.T
	now  time.Time
	view View
}

func newDispatcherTest(t *testing.T, config Config) *dispatcherTest {
	t.Helper()
	g := &dispatcherTest{Dispatcher: NewDispatcher(config, func() float64 { return 0.5 }), t: t, now: time.Now()}
	g.view = View{Instances: 61, InContact: true, Servers: []Server{{Name: "a", Slots: 6}, {Name: "b", Slots: 6}, {Name: "c", Slots: 6}}}
	for range workSamples {
		g.Answered(Answer{Server: "a", Slots: 6, Before: 1, After: 1, Took: 30 * time.Millisecond}, g.now)
	}
	return g
}

// setInFlight sets the number of calls that are known at each server.
func (g *dispatcherTest) setInFlight(calls int) {
	for i := range g.view.Servers {
		g.view.Servers[i].InFlight = calls
	}
}

// call returns a call whose caller has waited some time already.
func (g *dispatcherTest) call(priority int, waited time.Duration) Call {
	return Call{
		Priority: priority, Target: 150 * time.Millisecond, Due: g.now.Add(150*time.Millisecond - waited),
		Deadline: g.now.Add(2500*time.Millisecond - waited), Bytes: 1000,
	}
}

// wait lets a call arrive that must wait.
func (g *dispatcherTest) wait(call Call) *Waiter {
	g.t.Helper()
	made, w := g.Arrive(call, g.view, g.now)
	if made.Action != Wait {
		g.t.Fatalf("%v, want wait: %+v", made.Action, made)
	}
	return w
}

// While the servers have free capacity all calls are sent, also late ones.
func TestCallsAreSentWhileServersAreFree(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(2)
	for i := range 10 {
		if made, _ := g.Arrive(g.call(0, 0), g.view, g.now); made.Action != Send || made.Late {
			t.Errorf("call %d: %+v", i, made)
		}
	}
	if made, _ := g.Arrive(g.call(0, time.Second), g.view, g.now); made.Action != Send || !made.Late {
		t.Errorf("late call: %+v", made)
	}
}

// Answers of idle servers must not show a burst: by their work time alone, servers with long calls seemed
// to be busy, and calls beyond the allowance waited.
func TestAnswersOfIdleServersShowNoBurst(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(1)
	for range workSamples {
		g.Answered(Answer{Server: "a", Slots: 6, Before: 1, After: 1, Took: 100 * time.Millisecond}, g.now)
	}
	made, _ := g.begin(&Waiter{call: g.call(0, 0), since: g.now}, &g.view, g.now)
	if made.InFlightShown != 0 || made.Chance != 1 {
		t.Errorf("%+v", made)
	}
}

// In a burst the servers' queues fill before the reports of the others show it: where these are a
// second late, servers refused the calls that instances sent beyond their allowance. The instance's
// own answers show it sooner. A single slow one must not: some calls work longer.
func TestSlowAnswersShowBurstBeforeReports(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(2)
	chance := func() float64 {
		made, _ := g.begin(&Waiter{call: g.call(0, 0), since: g.now}, &g.view, g.now)
		return made.Chance
	}
	for i, want := range []float64{1, 0} {
		g.Answered(Answer{Server: "a", Slots: 6, Before: 3, After: 3, Took: 130 * time.Millisecond}, g.now)
		if got := chance(); got != want {
			t.Errorf("after %d slow answers: chance %.2f, want %.0f", i+1, got, want)
		}
	}
	g.now = g.now.Add(answersFor + time.Millisecond)
	if got := chance(); got != 1 {
		t.Errorf("a second later: chance %.2f, want 1", got)
	}
}

// A call that has come for the first time and would be late is refused at once while there is no
// capacity, and is asked to come back within a third of its remaining time. A call that has come
// back waits if there was capacity within the last second, because its caller would not come a
// third time. It is sent once there is capacity.
func TestLateCallsWaitOrAreRefused(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(25)
	if made, _ := g.Arrive(g.call(0, 0), g.view, g.now); !made.ByAllowance {
		t.Fatalf("the instance has no allowance: %+v", made)
	}
	// With 54 calls taken into account and 600 calls a second, a call takes 90 ms. The call that
	// waits is sent first.
	g.wait(g.call(0, 50*time.Millisecond))
	first := g.call(0, 45*time.Millisecond)
	made, _ := g.Arrive(first, g.view, g.now)
	if left := first.Deadline.Sub(g.now); made.Action != Refuse || made.RetryAfter <= 0 || made.RetryAfter > left/3 {
		t.Errorf("first attempt: %+v", made)
	}
	returned := g.wait(g.call(0, 800*time.Millisecond))
	g.setInFlight(2)
	for range 200 {
		g.now = g.now.Add(20 * time.Millisecond)
		if made = g.Poll(returned, g.view, g.now); made.Action != Wait {
			break
		}
	}
	if made.Action != Send {
		t.Errorf("call that has come back: %+v", made)
	}
}

// A late call is refused before its caller gives up.
func TestLateCallIsNotHeldUntilItsDeadline(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(25)
	call := g.call(0, 800*time.Millisecond)
	w := g.wait(call)
	for made := (Decision{Action: Wait}); made.Action == Wait; {
		g.now = g.now.Add(20 * time.Millisecond)
		made = g.Poll(w, g.view, g.now)
		if made.Action == Send || g.now.After(call.Deadline.Add(-500*time.Millisecond)) {
			t.Fatalf("%v before the deadline: %+v", call.Deadline.Sub(g.now), made)
		}
	}
	if g.Waiting() != 0 {
		t.Errorf("%d calls wait", g.Waiting())
	}
}

// A call whose caller stops waiting before its target must not wait until then if no slot is
// expected.
func TestCallWithShortDeadlineIsRefusedAtOnce(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(25)
	g.Arrive(g.call(0, 0), g.view, g.now)
	short := g.call(0, 0)
	short.Deadline = g.now.Add(50 * time.Millisecond)
	if made, _ := g.Arrive(short, g.view, g.now); made.Action != Refuse {
		t.Errorf("%+v", made)
	}
}

// The most urgent call is sent first: one in time, of the highest priority, with the earliest
// deadline.
func TestMostUrgentCallIsSentFirst(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(25)
	g.view.Instances = 28
	for range 3 {
		if made, _ := g.Arrive(g.call(0, 0), g.view, g.now); !made.ByAllowance {
			t.Fatalf("the instance has no allowance left: %+v", made)
		}
	}
	late := g.wait(g.call(0, time.Second))
	low := g.wait(g.call(1, 0))
	later := g.wait(g.call(0, 0))
	sooner := g.wait(g.call(0, 10*time.Millisecond))
	waiting := map[string]*Waiter{"late": late, "low": low, "later": later, "sooner": sooner}
	for _, want := range []string{"sooner", "later", "low"} {
		g.Done(150*time.Millisecond, 0, g.now)
		for name, w := range waiting {
			if made := g.Poll(w, g.view, g.now); name != want && made.Action != Wait {
				t.Fatalf("%s is sent in place of %s: %+v", name, want, made)
			} else if name == want && made.Action != Send {
				t.Fatalf("%s: %+v", name, made)
			}
		}
		delete(waiting, want)
	}
	g.Leave(late)
	if g.Waiting() != 0 {
		t.Errorf("%d calls wait", g.Waiting())
	}
}

// A repetition must not be sent to the server where the call failed. That server's slots still count
// for the allowance: without them it fell below one call for the repetition, which then had to pause
// after the instance's last call.
func TestRepetitionLeavesAllowance(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(18)
	for i, excluded := range []bool{true, false} {
		g.view.Servers[0].Excluded = excluded
		made, _ := g.Arrive(g.call(0, 0), g.view, g.now)
		if made.Action != Send || !made.ByAllowance || made.Allowance < 1 || excluded && made.Server == "a" {
			t.Errorf("call %d: %+v", i, made)
		}
		g.Done(150*time.Millisecond, 90*time.Millisecond, g.now)
	}
	g.view.Servers = g.view.Servers[:1]
	g.view.Servers[0].Excluded = true
	if made, _ := g.Arrive(g.call(0, 0), g.view, g.now); made.Action != Refuse {
		t.Errorf("no server is left: %+v", made)
	}
}

// The queue is bounded in calls and bytes. A more urgent call takes the place of a less urgent one.
func TestQueueIsBounded(t *testing.T) {
	config := DefaultConfig()
	config.QueueCalls, config.QueueBytes = 3, 3500
	// The late calls of this test have a turn soon enough for the queue to become full.
	config.LateSettle /= 4
	g := newDispatcherTest(t, config)
	g.setInFlight(25)
	g.Arrive(g.call(0, 0), g.view, g.now)
	var waiting []*Waiter
	for range 3 {
		waiting = append(waiting, g.wait(g.call(1, time.Second)))
	}
	if made, _ := g.Arrive(g.call(2, time.Second), g.view, g.now); made.Action != Refuse {
		t.Errorf("less urgent call: %+v", made)
	}
	g.wait(g.call(0, 0))
	refused := 0
	for _, w := range waiting {
		if g.Poll(w, g.view, g.now).Action == Refuse {
			refused++
		}
	}
	if refused != 1 || g.Waiting() != 3 {
		t.Errorf("%d calls displaced, %d wait", refused, g.Waiting())
	}
	large := g.call(0, 0)
	large.Bytes = 4000
	if made, _ := g.Arrive(large, g.view, g.now); made.Action != Refuse || g.queue.bytes > config.QueueBytes {
		t.Errorf("call of %d bytes: %+v, the queue has %d bytes", large.Bytes, made, g.queue.bytes)
	}
}

// The number of calls that a server holds is learned from its refusals, with the reports of the
// other instances that come later. Until its queue can be shorter again, the server counts as full
// whatever the late reports say.
func TestQueueOfServerIsLearnedFromRefusals(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	for range 20 {
		g.setInFlight(3)
		g.Refused("a", 6, 3, g.now)
		made, _ := g.Arrive(g.call(0, time.Second), g.view, g.now)
		if c := g.capacities["a"]; c.calls > 0 && made.InFlight < int(c.calls) {
			t.Errorf("%d calls known just after a refusal by a server that holds %.0f", made.InFlight, c.calls)
		}
		g.now = g.now.Add(400 * time.Millisecond)
		g.setInFlight(30)
		g.Arrive(g.call(0, time.Second), g.view, g.now)
		g.now = g.now.Add(time.Second)
		g.setInFlight(2)
		g.Arrive(g.call(0, time.Second), g.view, g.now)
	}
	if got := g.capacities["a"].calls; got != 30 {
		t.Errorf("learned that the server holds %.1f calls, want 30", got)
	}
}

// The work time is the mean of answers without a wait. Answers of full servers, whose wait is
// known only roughly, must not raise it.
func TestWorkTimeIgnoresWaitAtFullServers(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	for range 200 {
		g.Answered(Answer{Server: "a", Slots: 6, Before: 20, After: 25, Took: 300 * time.Millisecond}, g.now)
	}
	if got := g.workTime(&g.view.Servers[0], 150*time.Millisecond); got != 30*time.Millisecond {
		t.Errorf("work time %v, want 30ms", got)
	}
	g.now = g.now.Add(idleSamplesFor)
	for range 200 {
		g.Answered(Answer{Server: "a", Slots: 6, Before: 30, After: 30, Took: 200 * time.Millisecond}, g.now)
		g.now = g.now.Add(idleSamplesFor)
	}
	if got := g.workTime(&g.view.Servers[0], 150*time.Millisecond); got != 40*time.Millisecond {
		t.Errorf("work time of servers that are always full %v, want 40ms", got)
	}
	if got := NewDispatcher(DefaultConfig(), nil).workTime(&Server{}, 200*time.Millisecond); got != 50*time.Millisecond {
		t.Errorf("work time before the first answer %v, want 50ms", got)
	}
}

// Where a server is slower than another one, its calls end later, and it must get fewer. By the answers
// of this instance alone, which come from the server that it is assigned to, both counted alike.
func TestWorkTimeFollowsMeasurementsOfAllInstances(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	fast, slow := &Server{Name: "a", Slots: 6, Usual: 20 * time.Millisecond}, &Server{Name: "b", Slots: 6, Usual: 50 * time.Millisecond}
	for i := range 2 * workSamples {
		if known := i >= priorSamples; known != (g.workTime(slow, 150*time.Millisecond) == 75*time.Millisecond) {
			t.Fatalf("after %d answers: work time %v", i, g.workTime(slow, 150*time.Millisecond))
		}
		g.Answered(Answer{Server: "a", Slots: 6, Before: 1, After: 1, Took: 30 * time.Millisecond, Usual: fast.Usual}, g.now)
	}
	if got := g.workTime(fast, 150*time.Millisecond); got != 30*time.Millisecond {
		t.Errorf("work time of the measured server %v, want 30ms", got)
	}
	g.view.Servers = []Server{*fast, *slow}
	if _, s := g.begin(&Waiter{call: g.call(0, 0)}, &g.view, g.now); s.limits[1] >= s.limits[0] {
		t.Errorf("limits %.1f, want fewer calls at the slower server", s.limits)
	}
}

// TestServerThatChangesItsSpeedIsNotCountedTwice guards against answers of a server that has turned slow, or
// fast again, being measured against its former work time and multiplied by the new one.
func TestServerThatChangesItsSpeedIsNotCountedTwice(t *testing.T) {
	const fast, slow = 20 * time.Millisecond, 100 * time.Millisecond
	for name, play := range map[string]struct{ before, after time.Duration }{"turns slow": {fast, slow}, "turns fast": {slow, fast}} {
		t.Run(name, func(t *testing.T) {
			g := newDispatcherTest(t, DefaultConfig())
			answer := func(usual, took time.Duration) {
				g.Answered(Answer{Server: "a", Slots: 6, Before: 1, After: 1, Took: took, Usual: usual}, g.now)
			}
			for range 30 {
				answer(play.before, play.before*3/2)
				g.Answered(Answer{Server: "b", Slots: 6, Before: 1, After: 1, Took: fast * 3 / 2, Usual: fast}, g.now)
			}
			// The usual work time follows late.
			for range 10 {
				answer(play.before, play.after*3/2)
			}
			answer(play.after, play.after*3/2)
			for _, usual := range []time.Duration{fast, slow} {
				got, want := g.workTime(&Server{Usual: usual}, 150*time.Millisecond), usual*3/2
				if got < want*9/10 || got > want*11/10 {
					t.Errorf("work time %v at a server whose usual one is %v, want about %v", got, usual, want)
				}
			}
		})
	}
}

// A refusal that shows nothing about the server's queue must not reduce its capacity, and a low
// observation must not hold until the server's run ends.
func TestLearnedCapacityRisesAgain(t *testing.T) {
	for name, test := range map[string]struct {
		known     int
		inContact bool
		limited   bool
	}{
		"free slots":      {known: 6, inContact: true},
		"without contact": {known: 8},
		"queue":           {known: 8, inContact: true, limited: true},
	} {
		g := newDispatcherTest(t, DefaultConfig())
		limit := func() float64 {
			made, _ := g.Arrive(g.call(0, time.Second), g.view, g.now)
			return made.Limit
		}
		full := limit()
		g.setInFlight(test.known)
		g.Refused("a", 6, test.known, g.now)
		g.view.InContact = test.inContact
		limit()
		g.now = g.now.Add(observeFor)
		limit()
		g.view.InContact = true
		g.setInFlight(0)
		if got := limit(); test.limited != (got < full) {
			t.Errorf("%s: limit %.1f after the refusal, %.1f before", name, got, full)
		}
		g.now = g.now.Add(2 * time.Minute)
		if got := limit(); got != full {
			t.Errorf("%s: limit %.1f two minutes after the refusal, %.1f before", name, got, full)
		}
	}
}

// Where the work time exceeds the target, every call is late. The slots must still be used: calls
// were refused while more than half of the slots were free.
func TestSlotsAreUsedIfWorkTimeExceedsTarget(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	for range workSamples {
		g.Answered(Answer{Server: "a", Slots: 6, Before: 1, After: 1, Took: 450 * time.Millisecond}, g.now)
	}
	for _, test := range []struct {
		inFlight int
		want     bool
	}{{0, true}, {5, true}, {6, false}} {
		g.setInFlight(test.inFlight)
		g.now = g.now.Add(10 * time.Second)
		made, s := g.begin(&Waiter{call: g.call(0, 0)}, &g.view, g.now)
		if made.Limit != 18 || !made.Late || (s.lateRate > 0) != test.want {
			t.Errorf("%d of 6 slots used: limit %.1f, late %v, %.2f late calls a second", test.inFlight, made.Limit, made.Late, s.lateRate)
		}
	}
}

// A call that has come back must not wait if there was no capacity for late calls for seconds: it
// was held for half of its remaining time, and was then refused.
func TestReturnedCallWithoutCapacityIsRefusedAtOnce(t *testing.T) {
	g := newDispatcherTest(t, DefaultConfig())
	g.setInFlight(25)
	for range 20 {
		_, w := g.Arrive(g.call(0, time.Second), g.view, g.now)
		g.Leave(w)
		g.now = g.now.Add(100 * time.Millisecond)
	}
	if made, _ := g.Arrive(g.call(0, time.Second), g.view, g.now); made.Action != Refuse {
		t.Errorf("no late capacity for 2 s: %+v", made)
	}
	for range 20 {
		g.setInFlight(2)
		g.now = g.now.Add(100 * time.Millisecond)
		g.begin(&Waiter{call: g.call(0, time.Second)}, &g.view, g.now)
	}
	g.setInFlight(25)
	g.wait(g.call(0, 500*time.Millisecond))
}
