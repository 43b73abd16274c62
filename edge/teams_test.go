package edge

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/racedetector"
)

// Figures of the users' largest team, and of what they tolerate.
const (
	teamRate       = 213_644 // tokens a second
	teamCost       = 7_700   // tokens of a stream
	teamWindow     = 8 * time.Second
	teamOverage    = 0.1
	teamToleration = 120_000
)

// teamLoad is what a team was admitted.
type teamLoad struct {
	*fleet
	random *rand.Rand
	at     []time.Time
	cost   []float64
	asked  float64
	given  float64
	// down holds instances that no caller reaches.
	down map[*Instance]bool
}

func newTeamLoad(f *fleet) *teamLoad {
	l := &teamLoad{fleet: f, random: rand.New(rand.NewPCG(11, 12)), down: make(map[*Instance]bool)}
	for _, in := range f.instances {
		l.limit(in)
	}
	return l
}

// limit gives an instance the team's limit.
func (l *teamLoad) limit(in *Instance) {
	in.Allotments.SetSlack(teamToleration * slackUsed)
	in.Allotments.SetLimits(map[string]allotment.Limit{"a": {Rate: teamRate, Burst: teamRate}}, time.Now())
}

// offer has the team ask for so many tokens a second.
func (l *teamLoad) offer(lasts time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(step) {
		for expected := perSecond * step.Seconds() / teamCost; expected > 0; expected-- {
			if l.random.Float64() < expected {
				l.arrive(l.instances[l.random.IntN(len(l.instances))])
			}
		}
	}
}

func (l *teamLoad) arrive(in *Instance) {
	if l.down[in] {
		return
	}
	cost := teamCost * (0.3 + 1.4*l.random.Float64())
	l.asked += cost
	if !in.Allotments.Admit("a", cost, time.Now()).Admitted {
		return
	}
	l.given += cost
	l.at, l.cost = append(l.at, time.Now()), append(l.cost, cost)
	server := in.Fleet.Server("s3")
	server.Hold(int(cost))
	time.AfterFunc(time.Second, func() { server.Hold(-int(cost)) })
}

// most is the most that was given in any window, as a part of what is tolerated.
func (l *teamLoad) most() float64 {
	worst, sum, first := 0.0, 0.0, 0
	for i, at := range l.at {
		sum += l.cost[i]
		for at.Sub(l.at[first]) > teamWindow {
			sum -= l.cost[first]
			first++
		}
		worst = max(worst, sum)
	}
	return worst / ((teamRate*teamWindow.Seconds()+teamRate)*(1+teamOverage) + teamToleration)
}

// check judges what was given, and says how much that was.
func (l *teamLoad) check(t *testing.T) {
	t.Helper()
	got := l.most()
	t.Logf("at most %.2f of what is tolerated; %.0f tokens of %.0f asked for", got, l.given, l.asked)
	if got > 1 {
		t.Errorf("%.2f times what is tolerated", got)
	}
}

func TestManyInstancesKeepATeamToItsRate(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		l := newTeamLoad(f)
		l.offer(5*time.Second, 0.55*teamRate)
		if l.given < 0.95*l.asked {
			t.Errorf("%.0f of %.0f tokens that it may use", l.given, l.asked)
		}
		l.offer(15*time.Second, 4*teamRate)
		l.check(t)
		if l.given < 15*teamRate {
			t.Errorf("%.0f tokens in 20 s", l.given)
		}
	})
}

// Its hubs fall silent while a team asks for too much.
func TestATeamIsKeptToItsRateWithoutHubs(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		l := newTeamLoad(f)
		l.offer(8*time.Second, 4*teamRate)
		f.mu.Lock()
		for _, in := range f.instances {
			if in.hubs.isHub() {
				f.cut[in.config.SiblingAddress] = true
			}
		}
		f.mu.Unlock()
		l.offer(8*time.Second, 4*teamRate)
		l.check(t)
	})
}

// All instances are killed and start again while a team asks for too much: what it has
// spent is forgotten.
func TestATeamIsKeptToItsRateAfterAllStartedAgain(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		l := newTeamLoad(f)
		l.offer(8*time.Second, 4*teamRate)
		for _, in := range f.instances {
			in.started = time.Now()
			in.Allotments = allotment.New(allotment.DefaultConfig(), in.deps.Random)
			l.limit(in)
		}
		l.offer(8*time.Second, 4*teamRate)
		l.check(t)
	})
}

// A zone that is cut off from the others hands out its part.
func TestATeamIsKeptToItsRateByAZoneThatIsCutOff(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		l := newTeamLoad(f)
		l.offer(8*time.Second, 4*teamRate)
		f.mu.Lock()
		f.apart = "z1"
		f.mu.Unlock()
		l.offer(10*time.Second, 4*teamRate)
		l.check(t)
	})
}

// Digests that come less often, since there are many members and servers, are no silence;
// a hub that is silent is one soon, and again after it was back.
func TestAHubsWordCountsForAsLongAsItsDigestsTake(t *testing.T) {
	least := DefaultConfig().AllotmentFresh
	for _, every := range []time.Duration{75 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		var a *adoption
		now := time.Unix(1000, 0)
		play := func(digests int) {
			for range digests {
				next := a.next(now)
				a = &next
				now = now.Add(every)
			}
		}
		play(12)
		for i := range 20 {
			if !a.fresh(now, least) {
				t.Fatalf("each %v: not fresh before digest %d", every, i)
			}
			play(1)
		}
		last := a.at
		if a.fresh(last.Add(max(least, 2*every)+time.Millisecond), least) {
			t.Errorf("each %v: a silent hub's word counts", every)
		}
		now = last.Add(time.Minute)
		play(1)
		if a.fresh(a.at.Add(2*longestAdoption+time.Millisecond), least) {
			t.Errorf("each %v: after an outage the hub's word counts for too long", every)
		}
	}
}

// Hubs with much to send send digests each 0.4 s, and more often while updates are urgent:
// the time between two says little of the next. A team that asks for less than its rate is
// served all the same.
func TestATeamIsServedWhereDigestsAreRare(t *testing.T) {
	if racedetector.On {
		t.Skip("too many instances for the race detector; CI plays them without it")
	}
	config := DefaultConfig()
	config.HubBytes = 16 << 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, manySizes[1], config)
		end := f.start()
		defer end()
		time.Sleep(5 * time.Second)
		l := newTeamLoad(f)
		time.Sleep(2 * time.Second)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f.running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				for _, hub := range f.hubsOf() {
					hub.sendHeartbeats()
				}
				time.Sleep(time.Duration(40+i%5/4*1500) * time.Millisecond)
			}
		})
		l.offer(15*time.Second, 0.8*teamRate)
		t.Logf("%.0f of %.0f tokens", l.given, l.asked)
		if l.given < 0.95*l.asked {
			t.Errorf("%.0f of %.0f tokens that it may use", l.given, l.asked)
		}
	})
}
