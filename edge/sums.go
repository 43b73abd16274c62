package edge

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
)

// What all instances together have committed, as hubs and members know it.

// saidLoads is what an instance sent about its loads when it had run for so long.
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
	if digest.Zone {
		h.zones[zone] = zoneSum{at: now, loads: merged(h.zones[zone].loads, encoded, nil)}
		return
	}
	h.sums = merged(h.sums, encoded, h.saidAt(digest.Echo))
}

// merged returns sums with a newer part of them in place of what they held, less what
// the receiver itself has sent.
func merged(sums map[uint32]route.Commitment, part []heartbeat.Load, own map[uint32]route.Commitment) map[uint32]route.Commitment {
	next := make(map[uint32]route.Commitment, len(sums)+len(part))
	maps.Copy(next, sums)
	for _, load := range part {
		sum := load.Commitment().Less(own[load.Server])
		if sum == (route.Commitment{}) {
			delete(next, load.Server)
		} else {
			next[load.Server] = sum
		}
	}
	return next
}

// parts picks what of a sum a digest holds: what has changed, and a few others in turn,
// for those whose datagram was lost or who have just come. With 3,000 engines a whole
// sum is 57 KB, thirteen times a second to each.
type parts struct {
	sent map[uint32]route.Commitment
	next int
}

// pick returns the part of a sum over servers that is due: what has changed, so many servers of
// it, and then some in turn. Servers that are not on the list are left out.
func (p *parts) pick(sum map[uint32]route.Commitment, servers *serverIndex, changedAtMost, inTurn int) (due []heartbeat.Load, changed int) {
	if p.sent == nil {
		p.sent = make(map[uint32]route.Commitment)
	}
	turned := min(inTurn, len(servers.ids))
	changedAtMost -= turned
	due = make([]heartbeat.Load, 0, turned+min(len(sum), changedAtMost))
	add := func(server uint32, now route.Commitment) {
		due = append(due, heartbeat.Load{Server: server, InFlight: now.InFlight, Unread: now.Unread, Memory: now.Memory})
		if p.sent[server] = now; now == (route.Commitment{}) {
			delete(p.sent, server)
		}
	}
	consider := func(server uint32) {
		if before, now := p.sent[server], sum[server]; len(due) < changedAtMost && servers.byID[server] != nil && differ(before, now) {
			add(server, now)
		}
	}
	for server := range sum {
		consider(server)
	}
	for server := range p.sent {
		consider(server)
	}
	changed = len(due)
	for i := range turned {
		// It begins where it ended, so that none waits for ever.
		server := servers.ids[(p.next+i)%len(servers.ids)]
		add(server, sum[server])
	}
	p.next += turned
	return due, changed
}

// differ says whether others would decide otherwise by a commitment than by the one
// before.
func differ(before, now route.Commitment) bool {
	off := now.Memory - before.Memory
	return before.InFlight != now.InFlight || before.Unread != now.Unread || off >= changedMemory || off <= -changedMemory
}

// say remembers what is sent of this instance's own loads.
func (h *hubs) say(uptime time.Duration, loads []heartbeat.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.said = append(h.said, saidLoads{uptime: uptime, loads: commitments(loads)})
	if len(h.said) > mostSaid {
		h.said = slices.Delete(h.said, 0, len(h.said)-mostSaid)
	}
}

// saidAt is what this instance had sent last of its own loads when it had run for so
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

// heardZones returns the other zones whose hub was heard lately.
func (h *hubs) heardZones(now time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	heard := make(map[string]bool, len(h.zones))
	for zone, sum := range h.zones {
		heard[zone] = now.Sub(sum.at) <= h.config.DirectSilence
	}
	return heard
}

// addLoads adds up commitments by server.
func addLoads(total, more map[uint32]route.Commitment) {
	for server, load := range more {
		total[server] = total[server].Add(load)
	}
}

// sumsOf returns what all other instances have committed, by what the hub of a member
// sent last; nil before.
func (h *hubs) sumsOf() map[uint32]route.Commitment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sums
}

// serverIndex finds the servers of a list by route.ServerID.
type serverIndex struct {
	of   *registry.View
	ids  []uint32
	byID map[uint32]*registry.Entry
}

// index is the index of the list as it is; used by the beat alone.
func (in *Instance) index() *serverIndex {
	list := in.registry.View()
	if known := in.hubs.index; known != nil && known.of == list {
		return known
	}
	made := &serverIndex{of: list, ids: make([]uint32, 0, len(list.Servers)), byID: make(map[uint32]*registry.Entry, len(list.Servers))}
	for i := range list.Servers {
		entry := &list.Servers[i].Entry
		id := route.ServerID(entry.Run())
		made.ids = append(made.ids, id)
		made.byID[id] = entry
	}
	slices.Sort(made.ids)
	in.hubs.index = made
	return made
}

// sums is what is due of the sum of a zone, and of that of all.
type sums struct {
	servers     *serverIndex
	all         []heartbeat.Load
	changed     int
	zoneEncoded heartbeat.EncodedLoads
	allEncoded  heartbeat.EncodedLoads
}

// dueSums picks what is due, and encodes it once for the many to whom it goes whole.
func (in *Instance) dueSums(zone, total map[uint32]route.Commitment) (due sums, err error) {
	due.servers = in.index()
	due.all, due.changed = in.hubs.allParts.pick(total, due.servers, in.config.LoadsAtOnce, in.config.LoadsInTurn)
	if due.allEncoded, err = heartbeat.EncodeLoads(due.all); err != nil {
		return due, err
	}
	ofZone, _ := in.hubs.zoneParts.pick(zone, due.servers, in.config.LoadsAtOnce, in.config.LoadsInTurn)
	due.zoneEncoded, err = heartbeat.EncodeLoads(ofZone)
	return due, err
}

// of is what is due for one that this instance serves, and whether that is more than what is
// repeated in turn.
func (s *sums) of(to subscriber, zone bool) (loads heartbeat.EncodedLoads, some bool, err error) {
	switch {
	case zone:
		return s.zoneEncoded, true, nil
	case !to.part:
		return s.allEncoded, true, nil
	}
	var part []heartbeat.Load
	for i, load := range s.all {
		if entry := s.servers.byID[load.Server]; entry != nil && holdsEntry(to.uses, entry) {
			part = append(part, load)
			some = some || i < s.changed
		}
	}
	loads, err = heartbeat.EncodeLoads(part)
	return loads, some, err
}

// commitments sorts loads by server.
func commitments(loads []heartbeat.Load) map[uint32]route.Commitment {
	sorted := make(map[uint32]route.Commitment, len(loads))
	for _, load := range loads {
		sorted[load.Server] = load.Commitment()
	}
	return sorted
}
