package subset

import (
	"maps"
	"slices"
)

// Census is the number of backend servers, by service and availability zone.
type Census struct {
	total         int
	byServiceZone map[serviceZone]int
	// byService counts the servers of a service in all zones.
	byService map[string]int
}

type serviceZone struct{ service, zone string }

// NewCensus returns an empty census.
func NewCensus() *Census {
	return &Census{byServiceZone: make(map[serviceZone]int), byService: make(map[string]int)}
}

// Add counts one server.
func (c *Census) Add(service, zone string) {
	c.total++
	c.byServiceZone[serviceZone{service, zone}]++
	c.byService[service]++
}

// Instances is the number of serving instances in all zones, and in the zone of the
// instance whose subset is selected.
type Instances struct{ All, Near int }

// Config sets how many servers an instance uses.
type Config struct {
	// MaxForAll is the number of servers up to which each instance uses all of them.
	// With more, decisions take too long, and each server costs memory and messages at
	// every instance.
	MaxForAll int
	// MinNear and MinFar are the minimum numbers of servers of a service that
	// an instance uses in its own zone and in the other zones. More servers have
	// capacity for bursts and even out the load, but each takes memory, and its changes
	// are sent to the instance.
	MinNear int
	MinFar  int
	// MinUsers is the mean number of instances of its zone that use each server.
	// With fewer, some servers would be used by no instance, or by one instance that is
	// gone.
	MinUsers int
}

// DefaultConfig returns settings that suit instances with up to some hundreds of
// running requests.
func DefaultConfig() Config {
	return Config{MaxForAll: 512, MinNear: 48, MinFar: 16, MinUsers: 8}
}

// Select returns the subset of an instance, or nil if it uses all servers.
func (c Config) Select(instance, zone string, census *Census, instances Instances) *Subset {
	if census.total <= c.MaxForAll {
		return nil
	}
	var shares []Share
	for _, service := range slices.Sorted(maps.Keys(census.byService)) {
		near := census.byServiceZone[serviceZone{service, zone}]
		far := census.byService[service] - near
		share := Share{Service: service, Far: halvings(far, c.MinFar, instances.All, 1)}
		if near > 0 {
			share.Near = halvings(near, c.MinNear, instances.Near, c.MinUsers)
		}
		if near < c.MinNear {
			// The other zones have to make up for the missing servers.
			share.Far = halvings(far, c.MinNear, instances.All, c.MinUsers)
		}
		shares = append(shares, share)
	}
	return New(instance, zone, shares)
}

// halvings returns how many times a number of servers can be halved so that an instance
// still has enough of them, and each of them enough instances.
func halvings(servers, enough, instances, users int) uint8 {
	n := uint8(0)
	for servers>>(n+1) >= enough && instances>>(n+1) >= users && n < 63 {
		n++
	}
	return n
}

// Fits reports whether an instance may keep the subset have although Select would return
// the subset now instead. Near the boundary between two sizes either size is good, and
// after each change an instance has to read the servers of its subset again.
func (c Config) Fits(have, now *Subset, census *Census) bool {
	if (have == nil) != (now == nil) {
		return census.total > c.MaxForAll/2 && census.total <= 2*c.MaxForAll
	}
	if have == nil {
		return true
	}
	for _, wanted := range now.shares {
		share := have.find(wanted.Service)
		if share == nil || distance(share.Near, wanted.Near) > 1 || distance(share.Far, wanted.Far) > 1 {
			return false
		}
	}
	return true
}

func distance(a, b uint8) uint8 { return max(a, b) - min(a, b) }
