package backpressure

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instances is who shares what a limited server takes, as one instance knows it.
type Instances struct {
	// Self is this instance, and Taking all that take requests, by name.
	Self   string
	Taking []string
	// Silent counts those that were heard a short while ago, and may be sending to servers
	// out of sight.
	Silent int
}

func (i *Instances) equal(other *Instances) bool {
	return i.Self == other.Self && i.Silent == other.Silent && slices.Equal(i.Taking, other.Taking)
}

// known counts all that may be sending to servers.
func (i *Instances) known() int { return max(len(i.Taking)+i.Silent, 1) }

// heard is the part of them that this instance hears.
func (i *Instances) heard() float64 { return float64(max(len(i.Taking), 1)) / float64(i.known()) }

// sendersPerRate is how many instances more than one send to a limited server, for each
// request a second that it takes. Each of them may send a burst at once, and all of these
// must stay within what is tolerated: 5 requests, and half of what the limit allows in 4 s
// (source: the users' rules).
const sendersPerRate = 1.0

// sendersFor is how many instances share a limit that a server names.
func (i *Instances) sendersFor(limit float64) int {
	return 1 + int(min(limit, float64(len(i.Taking)))*sendersPerRate)
}

// part is the part of a server's limit, in requests a second, that is for this instance to
// use, if so many share it. They are chosen by rendezvous hashing: with a part for each, those of
// a large deployment would have one request in many seconds each, and their bursts together
// would break the limit. All that know the same instances choose the same.
func (i *Instances) part(server ID, limit float64, senders int) float64 {
	if !slices.Contains(i.Taking, i.Self) {
		return 0
	}
	senders = min(senders, len(i.Taking))
	own, better := weight(server, i.Self), 0
	for _, name := range i.Taking {
		if weight(server, name) > own {
			better++
		}
	}
	if better >= senders {
		return 0
	}
	return limit / float64(senders) * i.heard()
}

// weight orders instances for a server.
func weight(server ID, instance string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(server))
	digest.WriteString(instance)
	return digest.Sum64()
}
