package edge

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/subset"
)

// What a hub keeps of the instances that it serves.

// subscriber is an instance that has asked this one.
type subscriber struct {
	peer  string
	zone  string
	seen  uint64
	heard time.Time
	// uptime is how long it had run when it was heard last.
	uptime time.Duration
	// part is set if it is to be told of some servers only, those of uses, and outgrown if
	// it should use others by now.
	part     bool
	uses     *subset.Subset
	outgrown bool
	// told is when it was sent a digest last, and turn whose states it is repeated next;
	// used by the beat alone.
	told time.Time
	turn int
}

// asked notes that an instance asks this one to be its hub.
func (h *hubs) asked(message heartbeat.Message, self operation.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := message.Seen
	if message.SeenRun != self {
		seen = 0
	}
	next := &subscriber{peer: message.From.Peer, zone: message.From.Zone, seen: seen, heard: now, uptime: message.From.Uptime, part: message.From.Part}
	before := h.subscribers[message.From.Name]
	if before == nil {
		before = new(subscriber)
	}
	next.told, next.turn = before.told, before.turn
	if next.part {
		next.uses, next.outgrown = before.uses, before.outgrown
		if !slices.Equal(before.uses.Shares(), message.Uses) || before.uses == nil {
			next.uses, next.outgrown = subset.New(message.From.Name, message.From.Zone, message.Uses), false
		}
	}
	h.subscribers[message.From.Name] = next
}

// setOutgrown notes whether a subscriber should use other shares of the servers.
func (h *hubs) setOutgrown(name string, outgrown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to := h.subscribers[name]; to != nil {
		to.outgrown = outgrown
	}
}

// servedNow is a subscriber that may be sent a digest, which is due if it has not been sent
// one for long.
type servedNow struct {
	subscriber
	name string
	due  bool
}

// toServe returns those that this instance serves. One that is told of some servers only is
// sent a digest when there is something to tell it, or when one is due.
func (h *hubs) toServe(now time.Time, every time.Duration, urgent bool) []servedNow {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]servedNow, 0, len(h.subscribers))
	for name, one := range h.subscribers {
		all = append(all, servedNow{subscriber: *one, name: name, due: urgent || now.Sub(one.told) >= every})
	}
	return all
}

// told notes that a subscriber is sent a digest, with states up to a turn.
func (h *hubs) told(name string, turn int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to := h.subscribers[name]; to != nil {
		to.told, to.turn = now, turn
	}
}

// current returns those that this instance serves, by name.
func (h *hubs) current() map[string]subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]subscriber, len(h.subscribers))
	for name, one := range h.subscribers {
		all[name] = *one
	}
	return all
}
