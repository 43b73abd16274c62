package edge

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastwheel/mastwheel/member"
)

// Which instances are hubs: all that know the same instances choose the same.

// betterHub orders instances by how well they serve as hubs: those that take requests
// before those that start or stop, then the strongest, among equals by a hash, so that
// all choose the same.
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

// choice is the hubs of each zone as they were chosen at a moment.
type choice struct {
	at   time.Time
	hubs map[string][]member.Info
}

// choiceHolds is how long a choice is gone by between two beats: each question of a member is
// answered by it, hundreds a second.
const choiceHolds = 200 * time.Millisecond

// chooseAnew chooses with a beat.
func (h *hubs) chooseAnew(self member.Info, siblings []*member.Sibling, now time.Time) map[string][]member.Info {
	chosen := h.choose(self, siblings, now)
	h.choice.Store(&choice{at: now, hubs: chosen})
	return chosen
}

// lastChoice returns the last choice; nil if that was long ago.
func (h *hubs) lastChoice(now time.Time) map[string][]member.Info {
	if last := h.choice.Load(); last != nil && now.Sub(last.at) <= choiceHolds {
		return last.hubs
	}
	return nil
}

// choose returns the hubs of each zone, the best first, among this instance and the
// siblings that live.
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
		lives := sibling.State == member.Alive || sibling.State == member.Leaving
		if lives && !now.Before(h.avoided[sibling.Name]) {
			add(sibling.Info)
		}
	}
	return chosen
}
