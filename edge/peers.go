package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/route"
)

// peers holds the addresses to which heartbeats go and the loads that siblings reported.
type peers struct {
	self string

	mu sync.Mutex
	// lastContact is when a message last came from an address, or when a message or the
	// configuration first named it. Addresses without contact are dropped after a while.
	lastContact map[string]time.Time
	loads       map[string][]heartbeat.Load // by sibling's name
	// ownChanges holds the servers that this instance has ordered to change their roles, with
	// the time when each change ends.
	ownChanges map[uint32]time.Time
	// siblingChanges holds the servers that other instances have ordered to change their roles.
	siblingChanges map[uint32]time.Time
}

// forgetPeerAfter is the time without contact after which no more heartbeats go to an address.
// It is longer than any outage from which a sibling returns at the same address.
const forgetPeerAfter = time.Minute

func newPeers(self string, seeds []string) *peers {
	p := &peers{
		self: self, lastContact: make(map[string]time.Time), loads: make(map[string][]heartbeat.Load),
		ownChanges: make(map[uint32]time.Time), siblingChanges: make(map[uint32]time.Time),
	}
	for _, seed := range seeds {
		p.addAddress(seed, clock.Now())
	}
	return p
}

// addAddress adds an address that a message or the configuration named.
func (p *peers) addAddress(address string, now time.Time) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.lastContact[address]; !known && len(p.lastContact) < maxAddresses {
		p.lastContact[address] = now
	}
}

// record records the address of a sibling's message, and the loads if it reports them.
func (p *peers) record(message heartbeat.Message, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact[message.From.Peer] = now
	if message.Digest == nil && message.Updates == nil && !message.NoLoads {
		p.loads[message.From.Name] = message.Loads
	}
}

// addSiblingChange records that a server changes its role until the given time, as reported by a
// sibling.
func (p *peers) addSiblingChange(server uint32, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.siblingChanges[server]) {
		p.siblingChanges[server] = until
	}
}

// addOwnChange records that a server changes its role until the given time, as ordered by this
// instance.
func (p *peers) addOwnChange(server uint32, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownChanges[server] = until
}

// ownUnderWay lists the role changes that this instance has ordered and that are in progress.
func (p *peers) ownUnderWay(now time.Time) []heartbeat.RoleChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return changesUnderWay(p.ownChanges, now)
}

// allUnderWay lists all role changes that are in progress.
func (p *peers) allUnderWay(now time.Time) []heartbeat.RoleChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(changesUnderWay(p.ownChanges, now), changesUnderWay(p.siblingChanges, now)...)
}

// changesUnderWay lists the role changes that are in progress and drops those that are over.
func changesUnderWay(changing map[uint32]time.Time, now time.Time) []heartbeat.RoleChange {
	var changes []heartbeat.RoleChange
	for server, until := range changing {
		if !now.Before(until) {
			delete(changing, server)
			continue
		}
		changes = append(changes, heartbeat.RoleChange{Server: server, Left: until.Sub(now)})
	}
	return changes
}

// addresses returns the addresses to which heartbeats go.
func (p *peers) addresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lastContact, func(_ string, contact time.Time) bool { return now.Sub(contact) > forgetPeerAfter })
	return slices.Sorted(maps.Keys(p.lastContact))
}

// sum adds up the loads of the given siblings.
func (p *peers) sum(serving []*member.Sibling) map[uint32]route.Commitment {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := make(map[uint32]route.Commitment)
	for _, sibling := range serving {
		for _, load := range p.loads[sibling.Name] {
			total[load.Server] = total[load.Server].Add(load.Commitment())
		}
	}
	return total
}
