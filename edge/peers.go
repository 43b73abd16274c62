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

// peers holds the addresses to which heartbeats go, and what siblings said of
// their loads.
type peers struct {
	self string

	mu sync.Mutex
	// heard is when an address was last heard or named; addresses that stay
	// silent are dropped.
	heard map[string]time.Time
	loads map[string][]heartbeat.Load // by sibling's name
	// changing holds the servers that this instance has ordered to change
	// their role, with the time when that ends.
	changing map[uint32]time.Time
	// heardChanging holds those that others have ordered to.
	heardChanging map[uint32]time.Time
}

// forgetPeer is the silence after which no more heartbeats go to an address:
// longer than any outage that a sibling comes back from at the same address.
const forgetPeer = time.Minute

func newPeers(self string, seeds []string) *peers {
	p := &peers{
		self: self, heard: make(map[string]time.Time), loads: make(map[string][]heartbeat.Load),
		changing: make(map[uint32]time.Time), heardChanging: make(map[uint32]time.Time),
	}
	for _, seed := range seeds {
		p.learn(seed, clock.Now())
	}
	return p
}

// learn notes an address that was named.
func (p *peers) learn(address string, now time.Time) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.heard[address]; !known {
		p.heard[address] = now
	}
}

// take notes what a sibling said.
func (p *peers) take(message heartbeat.Message, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[message.From.Peer] = now
	if message.Digest == nil && message.Updates == nil {
		p.loads[message.From.Name] = message.Loads
	}
}

// hears notes that a server changes its role until then, as others say.
func (p *peers) hears(server uint32, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.heardChanging[server]) {
		p.heardChanging[server] = until
	}
}

// changes notes that a server changes its role until then.
func (p *peers) changes(server uint32, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changing[server] = until
}

// underWay lists the changes of role that this instance has ordered and that are
// under way.
func (p *peers) underWay(now time.Time) []heartbeat.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return changesUnderWay(p.changing, now)
}

// allUnderWay lists all changes of role that are under way.
func (p *peers) allUnderWay(now time.Time) []heartbeat.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(changesUnderWay(p.changing, now), changesUnderWay(p.heardChanging, now)...)
}

// changesUnderWay lists changes of role, and drops those that are over.
func changesUnderWay(changing map[uint32]time.Time, now time.Time) []heartbeat.Change {
	var changes []heartbeat.Change
	for server, until := range changing {
		if !now.Before(until) {
			delete(changing, server)
			continue
		}
		changes = append(changes, heartbeat.Change{Server: server, Left: until.Sub(now)})
	}
	return changes
}

// addresses returns where heartbeats go.
func (p *peers) addresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.heard, func(_ string, heard time.Time) bool { return now.Sub(heard) > forgetPeer })
	return slices.Sorted(maps.Keys(p.heard))
}

// sum adds up the loads of the siblings that serve.
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
