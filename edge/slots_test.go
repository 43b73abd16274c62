package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/table"
)

// Sizes of the test with few slots: the loads of docs/hard-load.md.
const (
	fewSlotsServers = 3
	fewSlotsEach    = 6
	fewSlotsQueue   = 24
	fewSlotsWork    = 44 * time.Millisecond
	fewSlotsTarget  = 150 * time.Millisecond
	fewSlotsWait    = 2500 * time.Millisecond
)

// fewSlots are plain servers with few slots, by address.
type fewSlots struct {
	forward.Backends
	mu      sync.Mutex
	inside  map[string]int
	slots   map[string]chan struct{}
	lost    string
	refused int
	// ran counts the runs of each request.
	ran map[string]int
}

func (s *fewSlots) Call(ctx context.Context, server *registry.Entry, r *forward.Request, _ time.Time) (*forward.Answer, error) {
	time.Sleep(networkLatency)
	s.mu.Lock()
	id := server.ID
	if s.lost == id {
		s.mu.Unlock()
		return nil, &forward.NotRunError{Why: reason.ConnectFailed, Detail: "connection refused"}
	}
	if s.inside[id] >= fewSlotsEach+fewSlotsQueue {
		s.refused++
		s.mu.Unlock()
		return nil, &forward.NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
	}
	s.inside[id]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inside[id]--
		s.mu.Unlock()
	}()
	s.slots[id] <- struct{}{}
	s.mu.Lock()
	s.ran[r.ID]++
	s.mu.Unlock()
	time.Sleep(fewSlotsWork)
	<-s.slots[id]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == id {
		return nil, errors.New("connection reset")
	}
	return &forward.Answer{Status: 200}, nil
}

// fewSlotsView is the view of an instance, with a table that has one route.
type fewSlotsView struct {
	*Instance
	table *table.View
}

func (v fewSlotsView) Table() *table.View { return v.table }

// fewSlotsResult is what the callers got.
type fewSlotsResult struct {
	calls, inTime, late, refused, failed int
	// ranThough counts calls that were refused as not run although a server ran them.
	ranThough int
	// stopping counts calls that the stopping instances refused, waiting ones included.
	stopping int
	longest  time.Duration
}

// playFewSlots sends calls to the instances of a fleet, for 4 s at 210 a second and then for 4 s at 441.
// Half-way through the burst a server is lost, and ten instances stop while calls wait there.
func playFewSlots(t *testing.T, f *fleet, servers *fewSlots) fewSlotsResult {
	rows := map[table.RowKey]map[table.Column]string{
		{Kind: table.Service, Name: "web"}: {table.ColType: table.TypePlain, table.ColPool: "web"},
		{Kind: table.Pool, Name: "web"}:    {table.ColRole: table.RolePlain},
		{Kind: table.Route, Name: "safe"}: {
			table.ColHost: "h", table.ColPath: "/safe/", table.ColSplit: "web:100", table.ColRepeat: table.RepeatSafe,
			table.ColTimeout: "2500", table.ColTTFT: "150", table.ColAttempts: "2",
		},
	}
	made, err := table.New(1, rows)
	if err != nil {
		t.Fatal(err)
	}
	view := made.Compile()
	var gateways []*forward.Gateway
	for i, in := range f.instances {
		random, mu := rand.New(rand.NewPCG(uint64(i), 5)), new(sync.Mutex)
		gateways = append(gateways, forward.New(forward.Deps{
			Zone: in.config.Zone, View: fewSlotsView{in, view}, Fleet: in.Fleet, Backends: servers, Budget: in.Budget, Metrics: metrics.New(),
			Allotments: in.Allotments, Poison: in.Poison, Random: func() float64 {
				mu.Lock()
				defer mu.Unlock()
				return random.Float64()
			},
		}, forward.DefaultConfig()))
	}
	var result fewSlotsResult
	var mu sync.Mutex
	var calls sync.WaitGroup
	send := func(to int) {
		result.calls++
		now := time.Now()
		r := &forward.Request{ID: fmt.Sprint("r", result.calls), Method: "GET", Target: "/safe/x", Path: "/safe/x", Host: "h", Arrived: now, Deadline: now.Add(fewSlotsWait)}
		calls.Go(func() {
			reply := gateways[to].Serve(context.Background(), r)
			took := time.Since(now)
			servers.mu.Lock()
			ran := servers.ran[r.ID]
			servers.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			result.longest = max(result.longest, took)
			switch {
			case reply.Status == 200 && took <= fewSlotsTarget:
				result.inTime++
			case reply.Status == 200:
				result.late++
			case reply.Status == 503:
				result.refused++
				if reply.Reason == reason.Stopping {
					result.stopping++
				}
				result.ranThough += min(ran, 1)
			default:
				result.failed++
			}
		})
	}
	arrivals := rand.New(rand.NewPCG(3, 4))
	// Instances of these numbers stop.
	const phase, firstStopped, stopped = 4 * time.Second, 5, 10
	disturbed := false
	for start := time.Now(); time.Since(start) < 2*phase; {
		rate := 210.0
		if time.Since(start) > phase {
			rate *= 2.1
		}
		if !disturbed && time.Since(start) > phase+phase/2 {
			disturbed = true
			servers.mu.Lock()
			servers.lost = "w0"
			servers.mu.Unlock()
			for i := range 4 * stopped {
				send(firstStopped + i%stopped)
			}
			time.Sleep(time.Millisecond)
			for i := range stopped {
				gateways[firstStopped+i].Stop(time.Now(), time.Now().Add(time.Second))
			}
		}
		time.Sleep(time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second)))
		to := arrivals.IntN(len(gateways))
		if disturbed && to >= firstStopped && to < firstStopped+stopped {
			to += stopped
		}
		send(to)
	}
	calls.Wait()
	for _, gateway := range gateways {
		gateway.Wait()
	}
	return result
}

// With loads that hubs pass on 0.1 to 1 s late, a lost server and instances that stop while calls
// wait there must not leave a caller without an answer, nor refuse as not run what a server ran, nor
// fill the queues of the servers that are left.
func TestFewSlotsWithLostServerAndStoppedInstances(t *testing.T) {
	if racedetector.Enabled {
		t.Skip("61 instances run without the race detector")
	}
	for _, lag := range []time.Duration{50 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Package route measures times from the start of the process, and the virtual clock begins in
				// 2000.
				time.Sleep(50 * 365 * 24 * time.Hour)
				f := newFleet(t, 61, DefaultConfig())
				servers := &fewSlots{inside: make(map[string]int), slots: make(map[string]chan struct{}), ran: make(map[string]int)}
				for i := range fewSlotsServers {
					id := fmt.Sprint("w", i)
					servers.slots[id] = make(chan struct{}, fewSlotsEach)
					f.store.servers = append(f.store.servers, registry.Change{ID: id, Entry: &registry.Entry{
						ID: id, Service: "web", Zone: fmt.Sprint("z", i), Address: id, Slots: fewSlotsEach,
					}})
				}
				end := f.start()
				time.Sleep(5 * time.Second)
				f.mu.Lock()
				f.lag = lag
				f.mu.Unlock()
				time.Sleep(2 * time.Second)
				got := playFewSlots(t, f, servers)
				end()
				t.Logf("%+v, refused by servers %d", got, servers.refused)
				if got.inTime+got.late+got.refused+got.failed != got.calls || got.longest > fewSlotsWait {
					t.Errorf("%+v: not all answered in %v", got, fewSlotsWait)
				}
				if got.ranThough > 0 {
					t.Errorf("%d calls were refused as not run that ran", got.ranThough)
				}
				if servers.refused >= 200 {
					t.Errorf("servers refused %d, want under 200", servers.refused)
				}
				// The calls of the calm phase, what three servers can do in half of the burst, and two in
				// the other half.
				possible := 4*210 + 2*409 + 2*272
				if float64(got.inTime) < 0.7*float64(possible) || got.stopping == 0 {
					t.Errorf("%+v: %d in time are possible, and waiting calls of the stopped instances are refused", got, possible)
				}
			})
		})
	}
}

// HasExited implements forward.Backends. The lost server is cut off: its process goes on.
func (s *fewSlots) Probe(context.Context, *registry.Entry, string) error { return nil }

func (s *fewSlots) HasExited(context.Context, *registry.Entry) bool { return false }

// RunHasEnded implements forward.Backends.
func (s *fewSlots) RunHasEnded(context.Context, *registry.Entry) bool { return false }
