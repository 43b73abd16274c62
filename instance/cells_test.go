package instance_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/instance"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/table"
)

var measure = flag.Bool("measure", false, "measure large regions")

// region is a large region in memory: many instances, and backend servers that
// consist only of a table row and load reports.
type region struct {
	log     *standin.Log
	list    *standin.List
	farm    *standin.Farm
	network *standin.Network
	nodes   []*instance.Instance
	ports   []*standin.Port
	stop    context.CancelFunc
	done    sync.WaitGroup
}

const regionZones = 3

func newRegion(t *testing.T, instances, servers int) *region {
	r := &region{
		log: standin.NewLog(), list: standin.NewList(time.Second), farm: standin.NewFarm(),
		network: standin.NewNetwork(time.Millisecond),
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.append(t, r.serverRows(servers))
	for n := range instances {
		r.add(ctx, n)
	}
	return r
}

func (r *region) append(t *testing.T, edit table.Edit) {
	t.Helper()
	if _, err := r.log.Append(t.Context(), recordOf(t, edit)); err != nil {
		t.Fatal(err)
	}
}

func (r *region) serverRows(servers int) table.Edit {
	text := "[pool.write]\nrole = \"decode\"\n"
	for n := range servers {
		address := fmt.Sprintf("10.2.%d.%d:1", n/250, n%250)
		text += fmt.Sprintf("[backend.write-%d]\npool = \"write\"\naddress = %q\nzone = \"zone-%d\"\npieces = 40\n", n, address, n%regionZones)
		r.farm.Add(address, standin.DefaultEngine(fmt.Sprint("write-", n)))
	}
	parsed, err := table.ParseTOML([]byte(text))
	if err != nil {
		panic(err)
	}
	return table.Edit{ID: "workers", Author: "ana", Reason: "workers", Changes: (&table.Table{}).Diff(parsed)}
}

func (r *region) add(ctx context.Context, n int) {
	config := instance.DefaultLargeRegion()
	config.Name, config.Zone = fmt.Sprintf("node-%03d", n), fmt.Sprint("zone-", n%regionZones)
	config.Caller, config.Peer = fmt.Sprintf("10.3.%d.%d:80", n/250, n%250), fmt.Sprintf("10.3.%d.%d:7", n/250, n%250)
	port := r.network.Port(config.Peer)
	random := standin.LockedRandom(rand.New(rand.NewPCG(7, uint64(n))))
	one := instance.New(config, instance.Deps{
		Engines: r.farm, Services: standin.NewPlain(0), Log: r.log, List: r.list, Peers: port,
		Weights: standin.NewWeights(nil), Random: random,
	})
	r.nodes, r.ports = append(r.nodes, one), append(r.ports, port)
	r.list.Set(instancelist.Entry{Name: config.Name, Zone: config.Zone, Peer: config.Peer, State: instancelist.Live})
	r.done.Go(func() { one.Run(ctx) })
}

// waitForRevision waits until every instance has a revision, and returns how
// long the last one took.
func (r *region) waitForRevision(revision uint64) time.Duration {
	started := time.Now()
	for _, n := range r.nodes {
		for n.Table().Revision < revision && time.Since(started) < time.Minute {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// regionFigures holds what is measured in a region of some size.
type regionFigures struct {
	cells, largest, mostMembers int
	stewards                    map[string]int
	slowest                     time.Duration
	bytesPerSecond              float64
	messagesPerSecond           float64
}

const trafficPeriod = 10 * time.Second

func measureRegion(t *testing.T, instances, servers int) regionFigures {
	var f regionFigures
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, instances, servers)
		time.Sleep(40 * time.Second)
		f = r.figures()
		before := r.sent()
		time.Sleep(trafficPeriod)
		after := r.sent()
		perNode := float64(instances) * trafficPeriod.Seconds()
		f.bytesPerSecond = float64(after.Bytes-before.Bytes) / perNode
		f.messagesPerSecond = float64(after.Messages-before.Messages) / perNode
		for n := range 5 {
			revision := r.nodes[0].Table().Revision
			edit := shareEdit(fmt.Sprint("e", n), revision, "counter", fmt.Sprint(n+1))
			r.append(t, edit)
			f.slowest = max(f.slowest, r.waitForRevision(uint64(n+2)))
		}
		r.stop()
		r.done.Wait()
		time.Sleep(time.Minute)
	})
	return f
}

func (r *region) sent() standin.Traffic {
	var total standin.Traffic
	for _, port := range r.ports {
		traffic := port.Traffic()
		total.Bytes += traffic.Bytes
		total.Messages += traffic.Messages
	}
	return total
}

func (r *region) figures() regionFigures {
	f := regionFigures{stewards: make(map[string]int)}
	sizes := make(map[string]int)
	for _, n := range r.nodes {
		sizes[n.Cell()]++
		f.mostMembers = max(f.mostMembers, len(n.Members().Siblings))
		for server := range n.View().Backends {
			if n.Steward(server) == n.Self().Name {
				f.stewards[server]++
			}
		}
	}
	f.cells = len(sizes)
	for _, size := range sizes {
		f.largest = max(f.largest, size)
	}
	return f
}

// regionSizes returns the numbers of instances to test. The larger region runs
// about 700 goroutines and is left out under the race detector.
func regionSizes() []int {
	if racedetector.Enabled {
		return []int{8}
	}
	return []int{8, 80}
}

// TestCells guards against a division of a region in which a server has no
// steward (the instance that grants reservations at an engine) or several, an
// instance knows more than its cell and a few instances of other cells, or a
// change does not reach every instance.
func TestCells(t *testing.T) {
	for _, instances := range regionSizes() {
		servers := instances * 3
		f := measureRegion(t, instances, servers)
		if len(f.stewards) != servers {
			t.Errorf("%d instances: %d of %d servers have a steward", instances, len(f.stewards), servers)
		}
		for server, stewards := range f.stewards {
			if stewards != 1 {
				t.Errorf("%d instances: server %s has %d stewards", instances, server, stewards)
			}
		}
		if wholeRegion := f.cells == 1; wholeRegion != (instances <= 24) {
			t.Errorf("%d instances: %d cells", instances, f.cells)
		}
		if f.mostMembers > 40 {
			t.Errorf("%d instances: an instance knows %d members", instances, f.mostMembers)
		}
		if f.slowest > 10*time.Second {
			t.Errorf("%d instances: a change took %s to reach every instance", instances, f.slowest)
		}
	}
}

// TestMeasureCells prints the figures of docs/design/0004-cells.md. It runs
// only on request: go test ./instance -run TestMeasureCells -v -measure
func TestMeasureCells(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	for _, instances := range []int{8, 24, 80, 200, 400} {
		f := measureRegion(t, instances, instances*7)
		t.Logf("instances %d: cells %d, largest %d, most members known %d, slowest change of 5 %s, sent %.0f B/s and %.1f messages/s each",
			instances, f.cells, f.largest, f.mostMembers, f.slowest, f.bytesPerSecond, f.messagesPerSecond)
	}
}
