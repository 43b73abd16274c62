package subset

import (
	"maps"
	"slices"
)

// Census counts the servers there are, by service and availability zone.
type Census struct {
	total   int
	byPlace map[place]int
	// byService counts those of a service in all zones.
	byService map[string]int
}

type place struct{ service, zone string }

// NewCensus returns an empty census.
func NewCensus() *Census {
	return &Census{byPlace: make(map[place]int), byService: make(map[string]int)}
}

// Add counts one server.
func (c *Census) Add(service, zone string) {
	c.total++
	c.byPlace[place{service, zone}]++
	c.byService[service]++
}

// Instances counts the instances that serve, in all zones and in the one in question.
type Instances struct{ All, Near int }

// Config sets how many servers an instance uses.
type Config struct {
	// AllAtMost is up to how many servers each instance uses all: a decision among more takes
	// too long, and each costs memory and messages at every instance.
	AllAtMost int
	// NearAtLeast and FarAtLeast are how many servers of a service an instance uses in its
	// own zone and in the others, at the least. More find room in a burst and even the load
	// out; each is memory, and its changes are told to the instance.
	NearAtLeast int
	FarAtLeast  int
	// UsersAtLeast is how many instances of its zone use each server on the mean. With
	// fewer, some servers would be used by nobody, or by one instance that is gone.
	UsersAtLeast int
}

// DefaultConfig suits instances with up to some hundreds of running requests.
func DefaultConfig() Config {
	return Config{AllAtMost: 512, NearAtLeast: 48, FarAtLeast: 16, UsersAtLeast: 8}
}

// Of returns the subset of an instance; nil if it uses all servers.
func (c Config) Of(instance, zone string, census *Census, instances Instances) *Subset {
	if census.total <= c.AllAtMost {
		return nil
	}
	var shares []Share
	for _, service := range slices.Sorted(maps.Keys(census.byService)) {
		near := census.byPlace[place{service, zone}]
		far := census.byService[service] - near
		share := Share{Service: service, Far: halvings(far, c.FarAtLeast, instances.All, 1)}
		if near > 0 {
			share.Near = halvings(near, c.NearAtLeast, instances.Near, c.UsersAtLeast)
		}
		if near < c.NearAtLeast {
			// The others have to do.
			share.Far = halvings(far, c.NearAtLeast, instances.All, c.UsersAtLeast)
		}
		shares = append(shares, share)
	}
	return New(instance, zone, shares)
}

// halvings is how often a number of servers can be halved so that an instance still has
// enough of them, and each of them enough instances.
func halvings(servers, enough, instances, users int) uint8 {
	n := uint8(0)
	for servers>>(n+1) >= enough && instances>>(n+1) >= users && n < 63 {
		n++
	}
	return n
}

// Fits says whether a subset may stay where another one would be made now. Near the bounds
// between two sizes both are good, and each change has an instance read its part anew.
func (c Config) Fits(have, now *Subset, census *Census) bool {
	if (have == nil) != (now == nil) {
		return census.total > c.AllAtMost/2 && census.total <= 2*c.AllAtMost
	}
	if have == nil {
		return true
	}
	for _, wanted := range now.shares {
		share := have.find(wanted.Service)
		if share == nil || apart(share.Near, wanted.Near) > 1 || apart(share.Far, wanted.Far) > 1 {
			return false
		}
	}
	return true
}

func apart(a, b uint8) uint8 { return max(a, b) - min(a, b) }
