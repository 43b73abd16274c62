package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/backpressure"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// The simulation has a plain service, servers under backpressure, and callers that retry
// once.
const (
	pressureInstances = 8
	pressureServers   = 6
	// pressureSlots is the number of requests that a server processes at once, and
	// pressureWorkTime the time it takes for each, as in the reference workload.
	pressureSlots    = 6
	pressureWorkTime = 60 * time.Millisecond
	// pressureTarget is the latency target of an answer, and pressureCallerTimeout the time
	// that a caller waits.
	pressureTarget        = 300 * time.Millisecond
	pressureCallerTimeout = 3 * time.Second
	pressureRate          = 60.0 // requests per second
	pressureDuration      = 20 * time.Second
	pressureBeat          = 40 * time.Millisecond
	pressureLimit         = 5.1
	pressureBackoff       = 3 * time.Second
)

// condition is the kind of backpressure that the affected servers report.
type condition string

const (
	conditionLimited    condition = "limited"
	conditionDraining   condition = "draining"
	conditionBackingOff condition = "backing off"
)

// pressureSim is a service with servers, some of them under backpressure.
type pressureSim struct {
	condition condition
	affected  int
	slots     map[string]chan struct{}

	mu             sync.Mutex
	longestRefusal time.Duration
	requested      int
	served         int
	inTime         int
	refused        int
}

// pressureBackends implements Backends for one instance.
type pressureBackends struct {
	Backends
	*pressureSim
	fleet *route.Fleet
}

func (d pressureBackends) Call(ctx context.Context, server *registry.Entry, r *Request, _ time.Time) (*Answer, error) {
	pressure := d.fleet.Server(server.ID).Pressure
	if verdict := pressure.Send(backpressure.PlainWork, time.Now()); verdict != backpressure.Clear {
		return nil, &NotRunError{Why: reason.ServersLimited, Withheld: true}
	}
	sent := time.Now()
	reported := d.statusOf(server.ID)
	if reported.Backoff > 0 {
		pressure.Observe(reported, sent, time.Now())
		return nil, &NotRunError{Why: reason.BackendRefused, Sent: true}
	}
	select {
	case d.slots[server.ID] <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.New("the caller disconnected")
	}
	defer func() { <-d.slots[server.ID] }()
	time.Sleep(pressureWorkTime)
	pressure.Observe(reported, sent, time.Now())
	return &Answer{Status: 200}, nil
}

// statusOf returns the status that a server reports.
func (d *pressureSim) statusOf(server string) backpressure.StatusReport {
	reported := backpressure.StatusReport{Kind: backpressure.Plain}
	var number int
	if _, err := fmt.Sscanf(server, "s%d", &number); err != nil || number >= d.affected {
		return reported
	}
	switch d.condition {
	case conditionLimited:
		reported.Limited, reported.Limit = true, pressureLimit
	case conditionDraining:
		reported.Leaving = true
	case conditionBackingOff:
		reported.Rejected, reported.Backoff = true, pressureBackoff
	}
	return reported
}

// gateways returns the gateways of the instances, which know each other's names.
func (d *pressureSim) gateways(t *testing.T) []*Gateway {
	t.Helper()
	testTable, err := table.New(1, map[table.RowKey]map[table.Column]string{
		{Kind: table.Service, Name: "web"}: {table.ColType: table.TypePlain, table.ColPool: "web"},
		{Kind: table.Pool, Name: "web"}:    {table.ColRole: table.RolePlain},
		{Kind: table.Route, Name: "safe"}: {
			table.ColHost: "h", table.ColPath: "/safe/", table.ColSplit: "web:100", table.ColRepeat: table.RepeatSafe,
			table.ColTimeout: "1500", table.ColTTFT: "300", table.ColAttempts: "2",
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	servers := &Servers{ByRun: map[string]*registry.Entry{}, ByID: map[string]*registry.Entry{}, Plain: map[string][]*table.BackendView{}}
	rows := make(map[string]*table.BackendView)
	d.slots = make(map[string]chan struct{})
	for i := range pressureServers {
		name := fmt.Sprint("s", i)
		servers.ByRun[name] = &registry.Entry{ID: name, Service: "web", Zone: "z", Address: name}
		servers.ByID[name] = servers.ByRun[name]
		rows[name] = &table.BackendView{Name: name, Pool: "web", Zone: "z"}
		servers.Plain["web"] = append(servers.Plain["web"], rows[name])
		d.slots[name] = make(chan struct{}, pressureSlots)
	}
	var names []string
	for i := range pressureInstances {
		names = append(names, fmt.Sprint("i", i))
	}
	var all []*Gateway
	for _, name := range names {
		fleet := route.NewFleet()
		fleet.Backpressure.SetInstances(backpressure.Instances{Self: name, Active: names})
		fleet.Adopt(&table.View{Backends: rows})
		view := &testView{view: testTable.Compile()}
		view.servers.Store(servers)
		budget := route.NewSharedBudget(0.2, 10*time.Second, 56/pressureInstances, time.Now())
		all = append(all, New(Deps{
			Zone: "z", View: view, Fleet: fleet, Backends: pressureBackends{pressureSim: d, fleet: fleet}, Metrics: metrics.New(), Random: rand.Float64,
			Budget: func(string) *route.SharedBudget { return budget },
			Poison: poison.New(poison.DefaultConfig(), rand.Float64, func() int { return pressureInstances }),
		}, DefaultConfig()))
	}
	return all
}

// gossip exchanges the instances' reports of servers until ctx ends.
func gossip(ctx context.Context, gateways []*Gateway) {
	for ctx.Err() == nil {
		time.Sleep(pressureBeat)
		for _, from := range gateways {
			update := from.Fleet.Backpressure.Update(time.Now())
			for _, to := range gateways {
				if to != from {
					to.Fleet.Backpressure.Merge(update, "i", false, time.Now())
				}
			}
		}
	}
}

// caller sends one request and retries once if refused. It waits as long as Retry-After says,
// but at most a third of the time left, as the platform's protocol requires.
func (d *pressureSim) caller(gateways []*Gateway, id int) {
	random := rand.New(rand.NewPCG(uint64(id), 6))
	began := time.Now()
	ends := began.Add(pressureCallerTimeout)
	for try := range 2 {
		now := time.Now()
		r := &Request{ID: fmt.Sprint(id, ".", try), Method: "GET", Target: "/safe/x", Path: "/safe/x", Host: "h", Arrived: now, Deadline: ends}
		reply := gateways[random.IntN(len(gateways))].Serve(context.Background(), r)
		d.mu.Lock()
		took := time.Since(now)
		if reply.Status == 200 {
			d.served++
		}
		if reply.Status == 200 && time.Since(began) <= pressureTarget {
			d.inTime++
		}
		if reply.Status == statusUnavailable {
			d.refused++
			d.longestRefusal = max(d.longestRefusal, took)
		}
		d.mu.Unlock()
		if reply.Status != statusUnavailable {
			return
		}
		time.Sleep(min(reply.RetryAfter, time.Until(ends)/3))
	}
}

// run starts callers at random times for pressureDuration and waits for all of them. The
// last callers arrive after all instances know of the backpressure.
func (d *pressureSim) run(t *testing.T) {
	gateways := d.gateways(t)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { gossip(ctx, gateways) })
	random := rand.New(rand.NewPCG(1, 6))
	for began := time.Now(); time.Since(began) < pressureDuration; {
		d.requested++
		id := d.requested
		running.Go(func() { d.caller(gateways, id) })
		time.Sleep(time.Duration(random.ExpFloat64() / pressureRate * float64(time.Second)))
	}
	time.Sleep(2 * pressureCallerTimeout)
	stop()
	running.Wait()
}

// TestRequestsWithServersUnderBackpressure checks what callers get while some or all servers of
// a service report a limit, a drain or a backoff: the other servers take over what they can,
// and requests that no server can take are refused immediately.
func TestRequestsWithServersUnderBackpressure(t *testing.T) {
	for _, state := range []condition{conditionLimited, conditionDraining, conditionBackingOff} {
		for _, affected := range []int{1, 3, 5, 6} {
			t.Run(fmt.Sprint(state, " ", affected), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					time.Sleep(sinceVirtualStart)
					checkPressure(t, &pressureSim{condition: state, affected: affected})
				})
			})
		}
	}
}

func checkPressure(t *testing.T, d *pressureSim) {
	d.run(t)
	possible := 1.0
	if d.affected == pressureServers {
		possible = 0
		if d.condition == conditionLimited {
			possible = pressureLimit * pressureServers / pressureRate
		}
	}
	served, inTime := float64(d.served)/float64(d.requested), float64(d.inTime)/float64(d.requested)
	t.Logf("%d of %d servers %s: %.3f of %d requests served, %.3f in time, %.3f possible; %d refused, within %v",
		d.affected, pressureServers, d.condition, served, d.requested, inTime, possible, d.refused, d.longestRefusal)
	if served < 0.9*possible {
		t.Errorf("fraction served %.3f, possible %.3f", served, possible)
	}
	// If all servers are limited, a late retry takes the place of a new request, so the
	// fraction in time isn't checked.
	if d.affected < pressureServers && inTime < 0.9*possible {
		t.Errorf("fraction in time %.3f, possible %.3f", inTime, possible)
	}
	if d.longestRefusal > 100*time.Millisecond {
		t.Errorf("a refusal took %v", d.longestRefusal)
	}
}
