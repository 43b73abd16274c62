package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// coldRates are rates in requests a second that a cold server can handle. coldOverage and
// coldSlack give what it may get beyond the rate in any second (source: the service
// requirements).
var coldRates = []float64{0.5, 3, 29, 200}

const (
	coldOverage = 1.5
	coldSlack   = 5.0
)

// Instances that all send as much as they may to a cold server must stay within its rate in
// any second, and the server must get that rate. Once it is warm there is no limit.
func TestColdServerGetsItsRate(t *testing.T) {
	for _, size := range []int{1, 8, 65, 300} {
		for _, rate := range coldRates {
			t.Run(fmt.Sprint(size, " ", rate), func(t *testing.T) {
				most := rate*coldOverage + coldSlack
				servers, start := coldServers(size, rate, most), time.Now()
				warm := start.Add(10 * time.Second)
				for _, server := range servers {
					server.SetCold(rate, most, warm, start)
				}
				var sent []time.Time
				for now := start; now.Before(warm); now = now.Add(10 * time.Millisecond) {
					for _, server := range servers {
						for server.Send(PlainWork, now) == Clear {
							sent = append(sent, now)
						}
					}
				}
				if busiest := maxInSpan(sent, time.Second); float64(busiest) > most {
					t.Errorf("%d requests in a second, allowed: %v", busiest, most)
				}
				if float64(len(sent)) < 0.8*rate*10 {
					t.Errorf("%d requests in 10 s, rate: %v a second", len(sent), rate)
				}
				if servers[0].IsCold(warm) || servers[0].Send(PlainWork, warm) != Clear || servers[0].Delay(PlainWork, warm) != 0 {
					t.Error("requests are withheld from a warm server")
				}
			})
		}
	}
}

// coldServers returns one server as known by each of size instances.
func coldServers(size int, rate, most float64) []*Server {
	var taking []string
	for i := range size {
		taking = append(taking, fmt.Sprint("i", i))
	}
	var servers []*Server
	for i, self := range taking {
		tracker := New(rand.New(rand.NewPCG(uint64(i), 5)).Float64)
		tracker.SetInstances(Instances{Self: self, Active: taking})
		servers = append(servers, tracker.Server("s"))
	}
	return servers
}

// maxInSpan returns the largest number of sorted moments that lie within a span.
func maxInSpan(moments []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, moment := range moments {
		for moment.Sub(moments[first]) >= span {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

func TestColdServerMayReportLimit(t *testing.T) {
	server, now := singleInstance().Server("s"), time.Now()
	server.SetCold(100, 155, now.Add(time.Minute), now)
	server.Observe(limitOf(1), now, now)
	sent := 0
	for i := range 1000 {
		if server.Send(PlainWork, now.Add(time.Duration(i)*10*time.Millisecond)) == Clear {
			sent++
		}
	}
	if sent > 12 {
		t.Errorf("%d requests in 10 s, limit: 1 a second", sent)
	}
	if server.tracker.Limited() != 1 || server.tracker.Cold(now) != 1 {
		t.Error("server is not counted as limited and as cold")
	}
	if updates := server.tracker.FullUpdate(now); len(updates) != 1 || len(updates[0].Limits) != 1 {
		t.Errorf("updates for siblings: %+v", updates)
	}
}
