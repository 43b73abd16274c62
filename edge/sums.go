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

// This file sums the commitments (the requests and memory that instances have assigned to
// servers) of all instances, as hubs and members know them.

// sentLoads holds the loads that an instance sent at the given uptime.
type sentLoads struct {
	uptime time.Duration
	loads  map[uint32]route.Commitment
}

// maxSentLoads bounds the sent loads that are kept. A hub answers within two beats.
const maxSentLoads = 32

// sum applies the loads of a hub digest to the sums that this instance keeps. The caller holds the
// lock.
func (h *hubs) sum(digest *heartbeat.Digest, zone string, now time.Time) {
	encoded, err := heartbeat.DecodeLoads(digest.Loads)
	if err != nil {
		klog.InfoS("Failed to decode a sum of loads", "zone", zone, "err", err.Error())
		return
	}
	if digest.Zone {
		h.zones[zone] = zoneSum{at: now, loads: merged(h.zones[zone].loads, encoded, nil)}
		return
	}
	h.sums = merged(h.sums, encoded, h.sentBy(digest.ReceiverUptime))
}

// merged returns sums with newer values for some servers, less what the receiver itself has
// sent.
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

// sumDelta selects which servers of a sum a digest holds. These are the servers whose sums have
// changed, and a few others in turn for subscribers that lost a datagram or have just
// subscribed. With 3,000 engines a full sum is 57 KB, and each subscriber would receive it
// thirteen times a second.
type sumDelta struct {
	sent map[uint32]route.Commitment
	next int
}

// pick returns the loads of a sum that are due. First come changed servers up to a limit, then
// some servers in turn. Servers that are not on the list of servers are left out.
func (p *sumDelta) pick(sum map[uint32]route.Commitment, servers *serverIndex, changedAtMost, inTurn int) (due []heartbeat.Load, changed int) {
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
		// Each turn starts where the last one ended, so that every server has its turn.
		server := servers.ids[(p.next+i)%len(servers.ids)]
		add(server, sum[server])
	}
	p.next += turned
	return due, changed
}

// differ reports whether other instances would decide differently by a commitment than by the
// previous one.
func differ(before, now route.Commitment) bool {
	off := now.Memory - before.Memory
	return before.InFlight != now.InFlight || before.Unread != now.Unread || off >= urgentMemoryChange || off <= -urgentMemoryChange
}

// recordSent records the loads of this instance that are sent to its hubs.
func (h *hubs) recordSent(uptime time.Duration, loads []heartbeat.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, sentLoads{uptime: uptime, loads: commitments(loads)})
	if len(h.sent) > maxSentLoads {
		h.sent = slices.Delete(h.sent, 0, len(h.sent)-maxSentLoads)
	}
}

// sentBy returns the loads that this instance had last sent by the given uptime. The caller
// holds the lock.
func (h *hubs) sentBy(uptime time.Duration) map[uint32]route.Commitment {
	for _, sent := range slices.Backward(h.sent) {
		if sent.uptime <= uptime {
			return sent.loads
		}
	}
	return nil
}

// otherZones returns the commitments of the other zones.
func (h *hubs) otherZones(now time.Time) map[uint32]route.Commitment {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := make(map[uint32]route.Commitment)
	for zone, sum := range h.zones {
		if now.Sub(sum.at) > h.config.ZoneSumExpiresAfter {
			delete(h.zones, zone)
			continue
		}
		addLoads(total, sum.loads)
	}
	return total
}

// zonesInContact returns the other zones, with whether their hub was recently in contact.
func (h *hubs) zonesInContact(now time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	inContact := make(map[string]bool, len(h.zones))
	for zone, sum := range h.zones {
		inContact[zone] = now.Sub(sum.at) <= h.config.DirectSilence
	}
	return inContact
}

// addLoads adds the commitments of more to total by server.
func addLoads(total, more map[uint32]route.Commitment) {
	for server, load := range more {
		total[server] = total[server].Add(load)
	}
}

// hubSums returns the commitments of all other instances as last sent by the hub of a member. It
// is nil before the first digest.
func (h *hubs) hubSums() map[uint32]route.Commitment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sums
}

// serverIndex finds the servers on the list of backend servers by route.ServerID.
type serverIndex struct {
	of   *registry.View
	ids  []uint32
	byID map[uint32]*registry.Entry
}

// index returns the index of the current list of backend servers. Only the heartbeat loop uses it.
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

// sums holds the loads that are due of the sum of a zone and of the sum of all instances.
type sums struct {
	servers     *serverIndex
	all         []heartbeat.Load
	changed     int
	zoneEncoded heartbeat.EncodedLoads
	allEncoded  heartbeat.EncodedLoads
}

// dueSums selects the loads that are due. It encodes them once for the many subscribers that
// receive all of them.
func (in *Instance) dueSums(zone, total map[uint32]route.Commitment) (due sums, err error) {
	due.servers = in.index()
	due.all, due.changed = in.hubs.allDelta.pick(total, due.servers, in.config.LoadsAtOnce, in.config.LoadsInTurn)
	if due.allEncoded, err = heartbeat.EncodeLoads(due.all); err != nil {
		return due, err
	}
	ofZone, _ := in.hubs.zoneDelta.pick(zone, due.servers, in.config.LoadsAtOnce, in.config.LoadsInTurn)
	due.zoneEncoded, err = heartbeat.EncodeLoads(ofZone)
	return due, err
}

// of returns the loads that are due for a subscriber. some reports whether they hold more than
// the servers that are repeated in turn.
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

// commitments indexes loads by server.
func commitments(loads []heartbeat.Load) map[uint32]route.Commitment {
	sorted := make(map[uint32]route.Commitment, len(loads))
	for _, load := range loads {
		sorted[load.Server] = load.Commitment()
	}
	return sorted
}
