package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/racedetector"
)

// limitReport returns a server status report with a limit in requests per second.
func limitReport(perSecond float64) backpressure.StatusReport {
	return backpressure.StatusReport{Kind: backpressure.Plain, Limited: true, Limit: perSecond}
}

// reportStatus has an instance receive a status report of a server.
func reportStatus(in *Instance, server string, report backpressure.StatusReport) {
	now := time.Now()
	in.Fleet.Backpressure.Server(server).Observe(report, now, now)
}

// knowsLimited returns a check that an instance knows the given number of limited servers.
func knowsLimited(servers int) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Fleet.Backpressure.Limited() == servers }
}

// statusKnownWithin is the time within which a status report that one instance received must reach
// all others.
const statusKnownWithin = 500 * time.Millisecond

func TestServerStatusReportsReachAllInstances(t *testing.T) {
	for _, size := range []int{3, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { runFleet(t, size, func(f *fleet) { testReportsReachAll(t, f) }) })
	}
	manyInstances(t, testReportsReachAll)
}

func testReportsReachAll(t *testing.T, f *fleet) {
	for _, at := range []int{0, len(f.instances) - 1} {
		reportStatus(f.instances[at], "s3", limitReport(5.1))
		if took := f.slowest(knowsLimited(1)); took > statusKnownWithin {
			t.Errorf("all instances know the limit after %v", took)
		}
		time.Sleep(3 * time.Second)
		reportStatus(f.instances[len(f.instances)/2], "s3", backpressure.StatusReport{Kind: backpressure.Plain})
		if took := f.slowest(knowsLimited(0)); took > statusKnownWithin {
			t.Errorf("all instances know the end of the limit after %v", took)
		}
		time.Sleep(3 * time.Second)
		if took := f.slowest(knowsLimited(0)); took > 0 {
			t.Errorf("some instances knew the ended limit again for %v", took)
		}
	}
	reportStatus(f.instances[1], "s4", backpressure.StatusReport{Kind: backpressure.Plain, Leaving: true})
	knowsDrain := func(in *Instance) bool { return in.Fleet.Server("s4").Pressure.IsLeaving() }
	if took := f.slowest(knowsDrain); took > statusKnownWithin {
		t.Errorf("all instances know the drain after %v", took)
	}
}

// An instance that starts, or that was cut off, receives the reports once the others receive its
// heartbeats.
func TestANewInstanceReceivesServerStatusReports(t *testing.T) {
	for _, size := range []int{3, 8, 58} {
		if racedetector.Enabled && size > 8 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testNewInstanceReceivesReports(t, newFleet(t, size+1, DefaultConfig())) })
		})
	}
}

func testNewInstanceReceivesReports(t *testing.T, f *fleet) {
	const servers = 10
	learn := func(others []*Instance) {
		for i := range servers {
			reportStatus(others[i%len(others)], fmt.Sprint("s", i), limitReport(5))
		}
	}
	if took := f.newInstanceKnows(learn, knowsLimited(servers)); took > newInstanceKnowsWithin {
		t.Errorf("knows all limits after %v", took)
	}
}

// limitedServer is a server that reports a limit in requests per second while limited is set.
type limitedServer struct {
	name    string
	limit   float64
	limited bool
	// since is the time from which the server reports this limit.
	since    time.Time
	received []time.Time
}

// setLimit changes the limit, or ends it.
func (s *limitedServer) setLimit(limit float64, limited bool) {
	s.limit, s.limited, s.since = limit, limited, time.Now()
}

// sendRequest has an instance send the server a request if the limit allows it.
func (s *limitedServer) sendRequest(in *Instance) {
	now := time.Now()
	known := in.Fleet.Backpressure.Server(s.name)
	if known.Check(backpressure.PlainWork, now) != backpressure.Clear || known.Send(backpressure.PlainWork, now) != backpressure.Clear {
		return
	}
	s.received = append(s.received, now)
	report := backpressure.StatusReport{Kind: backpressure.Plain, Limited: s.limited, Limit: s.limit}
	known.Observe(report, now, now)
}

// The platform's protocol bounds the requests that a limited server receives within limitWindow,
// from limitSettles after the limit changed.
const (
	limitWindow  = 4 * time.Second
	limitSettles = 3 * time.Second
)

// check compares the requests that the server received in the last limitWindow with its limit.
func (s *limitedServer) check(t *testing.T) {
	now := time.Now()
	if !s.limited || now.Sub(s.since) < limitSettles+limitWindow {
		return
	}
	count := 0
	for _, at := range s.received {
		if now.Sub(at) < limitWindow {
			count++
		}
	}
	if allowed := 1.5*s.limit*limitWindow.Seconds() + 5; float64(count) > allowed {
		t.Errorf("a server with a limit of %v requests per second received %d in %v, allowed %v", s.limit, count, limitWindow, allowed)
	}
}

// TestLimitsHoldUnderInstanceFaults sends requests through all instances while these are stopped,
// restarted and cut off, and while servers change their limits.
func TestLimitsHoldUnderInstanceFaults(t *testing.T) {
	// With the last five seeds an instance once used up the rest of a share of the rate limit
	// that it no longer had, or several instances that were cut off sent a server too many
	// requests.
	for _, seed := range []uint64{0, 1, 4, 15, 17, 46, 61, 76} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLimitsHold(t, rand.New(rand.NewPCG(seed, 11))) })
		})
	}
}

func testLimitsHold(t *testing.T, random *rand.Rand) {
	const size = 8
	f := newFleet(t, size, DefaultConfig())
	stops := make([]context.CancelFunc, size)
	for i, in := range f.instances {
		stops[i] = f.startThese([]*Instance{in})
	}
	time.Sleep(5 * time.Second)
	down := make([]time.Time, size)
	servers := []*limitedServer{{name: "s0"}, {name: "s1"}, {name: "s2"}}
	began := time.Now()
	nextFault, nextLimit := began.Add(time.Second), began
	for time.Since(began) < 90*time.Second {
		now := time.Now()
		if now.After(nextLimit) {
			nextLimit = now.Add(time.Duration(3+random.IntN(15)) * time.Second)
			one := servers[random.IntN(len(servers))]
			one.setLimit([]float64{0.3, 3, 5.1, 30}[random.IntN(4)], random.IntN(4) > 0)
		}
		if now.After(nextFault) {
			nextFault = now.Add(time.Duration(500+random.IntN(4000)) * time.Millisecond)
			which := random.IntN(size)
			address := f.instances[which].config.SiblingAddress
			switch {
			case random.IntN(2) == 0:
				f.mu.Lock()
				f.cut[address] = !f.cut[address]
				f.mu.Unlock()
			case down[which].IsZero():
				stops[which]()
				down[which] = now
			default:
				f.replace(which)
				stops[which] = f.startThese(f.instances[which : which+1])
				down[which] = time.Time{}
			}
		}
		for i, in := range f.instances {
			if down[i].IsZero() && in.Ready() && random.IntN(2) == 0 {
				servers[random.IntN(len(servers))].sendRequest(in)
			}
		}
		for _, one := range servers {
			one.check(t)
		}
		if t.Failed() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, stop := range stops {
		stop()
	}
	f.running.Wait()
}

// controlBytesPerSecond bounds the control traffic of one instance, in bytes per second (source:
// the reference workload).
const controlBytesPerSecond = 20_000.0

// Reports of limited servers cause no traffic while no server is limited, and little otherwise.
func TestWhatIsSentOfLimitedServersIsLittle(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		rate := func() float64 {
			f.mu.Lock()
			before := f.bytes
			f.mu.Unlock()
			const window = 5 * time.Second
			time.Sleep(window)
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.bytes-before) / window.Seconds() / float64(len(f.instances))
		}
		const servers = 40
		for i := range servers {
			f.store.register(fmt.Sprint("x", i), false)
		}
		time.Sleep(5 * time.Second)
		baseline := rate()
		for i := range servers {
			reportStatus(f.instances[i%len(f.instances)], fmt.Sprint("x", i), limitReport(5))
		}
		learning := rate()
		later := rate()
		t.Logf("%.0f bytes per second and instance before; %.0f in the 5 s after 40 servers reported limits, %.0f later", baseline, learning, later)
		if most := max(learning, later); most > controlBytesPerSecond {
			t.Errorf("%.0f bytes per second and instance, at most %v are allowed for control traffic", most, controlBytesPerSecond)
		}
	})
}
