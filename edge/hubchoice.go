package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/member"
)

// This file chooses which instances are hubs. All instances that know the same siblings choose
// the same hubs.

// betterHub orders instances by how well they serve as hubs. Instances that accept requests come
// before those that start or stop. Among them, the one with the highest capacity comes first. A
// hash breaks ties, so that all instances choose the same hubs.
func betterHub(a, b member.Info) int {
	return cmp.Or(
		compareBools(a.Draining, b.Draining),
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// choice holds the hubs of each zone as chosen at one moment.
type choice struct {
	at   time.Time
	hubs map[string][]member.Info
}

// choiceLifetime is how long a choice is reused between two beats. Each of the hundreds of
// requests a second from subscribers needs the current choice.
const choiceLifetime = 200 * time.Millisecond

// chooseAndStore chooses the hubs at a beat and keeps the choice for lastChoice.
func (h *hubs) chooseAndStore(self member.Info, siblings []*member.Sibling, now time.Time) map[string][]member.Info {
	chosen := h.choose(self, siblings, now)
	h.choice.Store(&choice{at: now, hubs: chosen})
	return chosen
}

// lastChoice returns the last choice, or nil if it is older than choiceLifetime.
func (h *hubs) lastChoice(now time.Time) map[string][]member.Info {
	if last := h.choice.Load(); last != nil && now.Sub(last.at) <= choiceLifetime {
		return last.hubs
	}
	return nil
}

// choose returns the hubs of each zone, the best first. It selects among this instance and the
// live siblings.
func (h *hubs) choose(self member.Info, siblings []*member.Sibling, now time.Time) map[string][]member.Info {
	h.mu.Lock()
	defer h.mu.Unlock()
	chosen := make(map[string][]member.Info)
	add := func(info member.Info) {
		best := append(chosen[info.Zone], info)
		slices.SortFunc(best, betterHub)
		chosen[info.Zone] = best[:min(len(best), h.config.HubsPerZone)]
	}
	add(self)
	for _, sibling := range siblings {
		live := sibling.State == member.Alive || sibling.State == member.Leaving
		if live && !now.Before(h.avoided[sibling.Name]) {
			add(sibling.Info)
		}
	}
	return chosen
}
