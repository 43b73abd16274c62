package edge

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/subset"
)

// This file holds the state that a hub keeps of the instances that it serves.

// subscriber is an instance that requests hub digests from this one.
type subscriber struct {
	peer        string
	zone        string
	seen        uint64
	lastContact time.Time
	// uptime is how long the instance had been running when its last request was sent, and run its run.
	uptime time.Duration
	run    operation.Incarnation
	// part is set if the instance receives only the servers of a subset, which is uses. outgrown
	// is set if it should use another subset by now.
	part     bool
	uses     *subset.Subset
	outgrown bool
	// lastDigest is when the instance was last sent a digest, and turn is the sibling whose
	// state is repeated to it next. Only the heartbeat loop uses these fields.
	lastDigest time.Time
	turn       int
}

// subscribe records an instance's request for digests.
func (h *hubs) subscribe(message heartbeat.Message, self operation.Incarnation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := message.Seen
	if message.SeenRun != self {
		seen = 0
	}
	next := &subscriber{peer: message.From.Peer, zone: message.From.Zone, seen: seen, lastContact: now, uptime: message.From.Uptime, run: message.From.Incarnation, part: message.From.UsesSubset}
	before := h.subscribers[message.From.Name]
	if before == nil {
		before = new(subscriber)
	}
	next.lastDigest, next.turn = before.lastDigest, before.turn
	if next.part {
		next.uses, next.outgrown = before.uses, before.outgrown
		if !slices.Equal(before.uses.Shares(), message.Shares) || before.uses == nil {
			next.uses, next.outgrown = subset.New(message.From.Name, message.From.Zone, message.Shares), false
		}
	}
	h.subscribers[message.From.Name] = next
}

// setOutgrown sets whether a subscriber should use another subset of the servers.
func (h *hubs) setOutgrown(name string, outgrown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to := h.subscribers[name]; to != nil {
		to.outgrown = outgrown
	}
}

// servedSubscriber is a subscriber that may be sent a digest. A digest is due if the subscriber
// has not been sent one for long.
type servedSubscriber struct {
	subscriber
	name string
	due  bool
}

// toServe returns the subscribers of this instance. A subscriber that uses a subset of the
// servers is sent a digest when there are updates for it or when one is due.
func (h *hubs) toServe(now time.Time, every time.Duration, urgent bool) []servedSubscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]servedSubscriber, 0, len(h.subscribers))
	for name, one := range h.subscribers {
		all = append(all, servedSubscriber{subscriber: *one, name: name, due: urgent || now.Sub(one.lastDigest) >= every})
	}
	return all
}

// recordDigest records that a subscriber is sent a digest, and at which sibling the repetition of
// states continues in the next one.
func (h *hubs) recordDigest(name string, turn int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if to := h.subscribers[name]; to != nil {
		to.lastDigest, to.turn = now, turn
	}
}

// current returns the subscribers of this instance by name.
func (h *hubs) current() map[string]subscriber {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]subscriber, len(h.subscribers))
	for name, one := range h.subscribers {
		all[name] = *one
	}
	return all
}
