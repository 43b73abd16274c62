package backpressure

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instances are the instances that share the rate limits of servers, as one instance knows
// them.
type Instances struct {
	// Self is the name of this instance. Active are the names of all instances that accept
	// requests.
	Self   string
	Active []string
	// Silent is the number of instances that stopped sending messages a short while ago. They
	// may still be sending requests to servers.
	Silent int
}

func (i *Instances) equal(other *Instances) bool {
	return i.Self == other.Self && i.Silent == other.Silent && slices.Equal(i.Active, other.Active)
}

// Total returns the number of instances that may be sending requests to servers.
func (i *Instances) Total() int { return i.total() }

// Reachable returns the fraction of these instances from which this instance receives messages.
func (i *Instances) Reachable() float64 { return i.reachable() }

// Rank returns the position of this instance among the active ones, from 0, by rendezvous hashing
// for the given ID. Instances that know the same instances have different ranks.
func (i *Instances) Rank(of ID) int {
	own, higher := weight(of, i.Self), 0
	for _, name := range i.Active {
		if weight(of, name) > own {
			higher++
		}
	}
	return higher
}

// total returns the number of instances that may be sending requests to servers.
func (i *Instances) total() int { return max(len(i.Active)+i.Silent, 1) }

// reachable returns the fraction of these instances from which this instance receives
// messages.
func (i *Instances) reachable() float64 { return float64(max(len(i.Active), 1)) / float64(i.total()) }

// sendersPerRate is the number of instances, beyond the first, that send to a limited server
// for each request a second that the server accepts. Each of them may send a burst without a
// pause, and all bursts together must stay within the tolerance for exceeding a limit: 5
// requests, and half of what the limit allows in 4 s (source: the service requirements).
const sendersPerRate = 1.0

// sendersFor returns the number of instances that share a limit.
func (i *Instances) sendersFor(limit float64) int {
	return 1 + int(min(limit, float64(len(i.Active)))*sendersPerRate)
}

// share returns this instance's share of a server's limit, in requests a second, if senders
// instances share it. The senders are selected by rendezvous hashing, so that all instances
// that know the same instances select the same ones. If every instance of a large deployment
// had a share, it would be one request in many seconds, and all bursts together would break
// the limit.
func (i *Instances) share(server ID, limit float64, senders int) float64 {
	if !slices.Contains(i.Active, i.Self) {
		return 0
	}
	senders = min(senders, len(i.Active))
	own, higher := weight(server, i.Self), 0
	for _, name := range i.Active {
		if weight(server, name) > own {
			higher++
		}
	}
	if higher >= senders {
		return 0
	}
	return limit / float64(senders) * i.reachable()
}

// weight returns an instance's hash by which the instances are ranked for a server.
func weight(server ID, instance string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(server))
	digest.WriteString(instance)
	return digest.Sum64()
}
