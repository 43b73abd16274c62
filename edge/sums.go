package edge

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/route"
)

// What all instances together have committed, as hubs and members know it.

// saidLoads is what an instance told of its loads when it had run for so long.
type saidLoads struct {
	uptime time.Duration
	loads  map[uint32]route.Commitment
}

// mostSaid bounds what is remembered of that: a hub answers within two beats.
const mostSaid = 32

// sum takes the loads of a digest in. The caller holds the lock.
func (h *hubs) sum(digest *heartbeat.Digest, zone string, now time.Time) {
	encoded, err := heartbeat.DecodeLoads(digest.Loads)
	if err != nil {
		klog.InfoS("Sum of loads not taken in", "zone", zone, "err", err.Error())
		return
	}
	loads := commitments(encoded)
	if digest.Zone {
		h.zones[zone] = zoneSum{at: now, loads: loads}
		return
	}
	for server, own := range h.saidAt(digest.Echo) {
		loads[server] = loads[server].Less(own)
	}
	h.sums = loads
}

// say remembers what is told of this instance's own loads.
func (h *hubs) say(uptime time.Duration, loads []heartbeat.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said = append(h.said, saidLoads{uptime: uptime, loads: commitments(loads)})
	if len(h.said) > mostSaid {
		h.said = slices.Delete(h.said, 0, len(h.said)-mostSaid)
	}
}

// saidAt is what this instance had told last of its own loads when it had run for so
// long. The caller holds the lock.
func (h *hubs) saidAt(uptime time.Duration) map[uint32]route.Commitment {
	for _, said := range slices.Backward(h.said) {
		if said.uptime <= uptime {
			return said.loads
		}
	}
	return nil
}

// others returns what the other zones have committed.
func (h *hubs) others(now time.Time) map[uint32]route.Commitment {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := make(map[uint32]route.Commitment)
	for zone, sum := range h.zones {
		if now.Sub(sum.at) > h.config.ZoneSumFor {
			delete(h.zones, zone)
			continue
		}
		addLoads(total, sum.loads)
	}
	return total
}

// addLoads adds up commitments by server.
func addLoads(total, more map[uint32]route.Commitment) {
	for server, load := range more {
		total[server] = total[server].Add(load)
	}
}

// sumsOf returns what all other instances have committed, by what the hub of a member
// told last; nil before.
func (h *hubs) sumsOf() map[uint32]route.Commitment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sums
}

// encodeSums encodes the sum of a zone, and that of all.
func encodeSums(zone, total map[uint32]route.Commitment) (ofZone, ofAll heartbeat.EncodedLoads, err error) {
	if ofZone, err = heartbeat.EncodeLoads(loadsOf(zone)); err != nil {
		return nil, nil, err
	}
	ofAll, err = heartbeat.EncodeLoads(loadsOf(total))
	return ofZone, ofAll, err
}

// commitments sorts loads by server.
func commitments(loads []heartbeat.Load) map[uint32]route.Commitment {
	sorted := make(map[uint32]route.Commitment, len(loads))
	for _, load := range loads {
		sorted[load.Server] = load.Commitment()
	}
	return sorted
}

// loadsOf writes a sum as loads.
func loadsOf(total map[uint32]route.Commitment) []heartbeat.Load {
	loads := make([]heartbeat.Load, 0, len(total))
	for server, sum := range total {
		if sum != (route.Commitment{}) {
			loads = append(loads, heartbeat.Load{Server: server, InFlight: sum.InFlight, Unread: sum.Unread, Memory: sum.Memory})
		}
	}
	return loads
}
