package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// server is one server of a deployment.
type server struct{ id, service, zone string }

// deployment holds the servers and instances of all zones.
type deployment struct {
	servers      []server
	serverCensus *Census
	instances    map[string][]string // by zone
}

// deploymentOf returns a deployment with the proportions of the complete fleet: seven
// of eight servers are engines.
func deploymentOf(zones, servers, instances int) deployment {
	d := deployment{instances: make(map[string][]string)}
	for i := range servers {
		service := "engines"
		if i%8 == 0 {
			service = "plain"
		}
		d.servers = append(d.servers, server{fmt.Sprintf("i-%010x", i*7919), service, fmt.Sprint("z", i/8%zones)})
	}
	for i := range instances {
		zone := fmt.Sprint("z", i%zones)
		d.instances[zone] = append(d.instances[zone], fmt.Sprintf("front-%s-%d", zone, i))
	}
	d.serverCensus = NewCensus()
	for _, s := range d.servers {
		d.serverCensus.Add(s.service, s.zone)
	}
	return d
}

func (d deployment) census() *Census { return d.serverCensus }

func (d deployment) subsetOf(instance, zone string) *Subset {
	all := 0
	for _, names := range d.instances {
		all += len(names)
	}
	return DefaultConfig().Select(instance, zone, d.census(), Instances{All: all, Near: len(d.instances[zone])})
}

var sizes = []struct{ zones, servers, instances int }{
	{3, 12, 8}, {3, 93, 58}, {5, 500, 295},
	{3, 1000, 100}, {3, 3000, 300}, {5, 10_000, 986}, {8, 10_000, 1400}, {8, 20_000, 2800}, {1, 10_000, 1000}, {5, 2000, 10},
}

func TestSubsetsAreSmallAndEven(t *testing.T) {
	config := DefaultConfig()
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			d := deploymentOf(size.zones, size.servers, size.instances)
			users := make(map[string]int)
			load := make(map[string]float64)
			largest := 0
			for zone, names := range d.instances {
				for _, name := range names {
					uses := d.subsetOf(name, zone)
					held := make(map[string][]string)
					for _, s := range d.servers {
						if uses.Contains(s.id, s.service, s.zone) {
							held[s.service+" "+s.zone] = append(held[s.service+" "+s.zone], s.id)
						}
					}
					count := 0
					for place, ids := range held {
						count += len(ids)
						if place == "engines "+zone || place == "plain "+zone {
							for _, id := range ids {
								users[id]++
								if place == "engines "+zone {
									load[id] += 1 / float64(len(ids))
								}
							}
						}
					}
					largest = max(largest, count)
					if size.servers <= config.MaxForAll && count != size.servers {
						t.Fatalf("%s uses %d of %d servers", name, count, size.servers)
					}
				}
			}
			unused := 0
			for _, s := range d.servers {
				if users[s.id] == 0 && len(d.instances[s.zone]) > 0 {
					unused++
				}
			}
			t.Logf("at most %d servers per instance, %d servers used by no instance of their zone, standard deviation of the engines' loads %.2f of the mean", largest, unused, spread(load))
			if size.instances >= 100 && largest > max(config.MaxForAll, 400) {
				t.Errorf("an instance uses %d servers", largest)
			}
			if size.servers > config.MaxForAll && spread(load) > 0.4 {
				t.Errorf("the standard deviation of the engines' loads is %.2f of the mean, want at most 0.4", spread(load))
			}
			if unused > size.servers/200 {
				t.Errorf("%d servers are used by no instance of their zone", unused)
			}
		})
	}
}

// spread returns the standard deviation of loads, as a fraction of the mean.
func spread(loads map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, load := range loads {
		sum += load
		squares += load * load
	}
	n := float64(len(loads))
	mean := sum / n
	return math.Sqrt(max(squares/n-mean*mean, 0)) / mean
}

// An instance keeps its subset as servers and instances come and go.
func TestSubsetIsStable(t *testing.T) {
	before, after := deploymentOf(5, 10_000, 986), deploymentOf(5, 9000, 900)
	name := before.instances["z1"][7]
	a, b := before.subsetOf(name, "z1"), after.subsetOf(name, "z1")
	if !DefaultConfig().Fits(a, b, after.census()) {
		t.Fatalf("subset with shares %+v does not fit where %+v is wanted", a.Shares(), b.Shares())
	}
	for _, s := range after.servers {
		if a.Contains(s.id, s.service, s.zone) != New(name, "z1", a.Shares()).Contains(s.id, s.service, s.zone) {
			t.Fatal("a subset made from the same shares holds other servers")
		}
	}
}

func TestFits(t *testing.T) {
	config, many := DefaultConfig(), deploymentOf(5, 10_000, 986).census()
	share := func(near, far uint8) *Subset { return New("i", "z", []Share{{Service: "s", Near: near, Far: far}}) }
	for _, test := range []struct {
		have, now *Subset
		fits      bool
	}{
		{share(4, 8), share(4, 8), true},
		{share(4, 8), share(5, 7), true},
		{share(4, 8), share(2, 8), false},
		{share(4, 8), share(4, 6), false},
		{share(4, 8), New("i", "z", []Share{{Service: "t"}}), false},
		{nil, share(4, 8), false},
		{share(4, 8), nil, false},
		{nil, nil, true},
	} {
		if fits := config.Fits(test.have, test.now, many); fits != test.fits {
			t.Errorf("Fits(%+v, %+v) = %t", test.have, test.now, fits)
		}
	}
	near := deploymentOf(5, config.MaxForAll+1, 100)
	if !config.Fits(nil, near.subsetOf("i", "z1"), near.census()) {
		t.Error("a subset replaces all servers after one server more than MaxForAll")
	}
}

func TestAllServersOfServiceWithoutShareAreUsed(t *testing.T) {
	s := New("i", "z", []Share{{Service: "known", Near: 20, Far: 20}})
	if !s.Contains("a", "new", "z") || s.Contains("a", "known", "z") && s.Contains("b", "known", "z") {
		t.Error("wrong servers for a service without a share or with a small share")
	}
	if (*Subset)(nil).Fingerprint() != 0 || s.Fingerprint() == New("i", "z", []Share{{Service: "known", Near: 19, Far: 20}}).Fingerprint() {
		t.Error("fingerprints do not distinguish subsets")
	}
	if !slices.Equal(s.Shares(), New("i", "z", s.Shares()).Shares()) {
		t.Error("Shares does not return the shares that the subset was made from")
	}
}

func BenchmarkHolds(b *testing.B) {
	s := New("front-sabana-17", "sabana", []Share{{Service: "plain", Near: 2, Far: 6}, {Service: "engines", Near: 4, Far: 8}})
	for b.Loop() {
		s.Contains("i-234df836d7", "engines", "sabana")
	}
}
