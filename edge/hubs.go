package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/route"
)

// Up to some tens of instances each sends its state to all others. Beyond that the
// instances of a zone send theirs to two hubs, the strongest among them, and one of these sends
// each what all together do, and which of them live; hubs of different zones send each
// other the sums of their zones. An instance at rest then sends some 24 datagrams and
// 2.2 KB a second, whether there are 58 instances or 295 (TestManyInstancesTellLittle),
// where sending to 36 others with each beat was 240 datagrams; and what is known of the
// others' loads is two beats old at most, where it was 24 with 295 instances.
//
// Nobody appoints hubs: each instance asks the two best that it knows to live, and
// one that is asked serves. Different opinions cost some datagrams until they have
// passed.

// hubs is an instance's part in that, as a member and as a hub.
type hubs struct {
	config Config
	// choice is the hubs that were chosen last.
	choice atomic.Pointer[choice]

	mu sync.Mutex
	// subscribers are the instances that this one serves, by name.
	subscribers map[string]*subscriber
	// sources are the hubs that this instance has asked, by name.
	sources map[string]*source
	// avoided holds hubs that stayed silent, and until when they are left alone.
	avoided map[string]time.Time
	// sums is what all other instances have committed, by what this one's hub sent
	// last; nil before.
	sums map[uint32]route.Commitment
	// zones is what the instances of each other zone have committed.
	zones map[string]zoneSum
	// instances is how many there are, by what a hub said at instancesAt.
	instances   int
	instancesAt time.Time
	// since is from when on this instance has been a hub of its zone; zero if it is
	// none.
	since  time.Time
	ledger *ledger
	// acknowledge is set when a hub should hear at once how far its account was
	// taken in.
	acknowledge bool
	// said is what this instance sent its hubs lately of its own loads.
	said []saidLoads
	// zoneParts and allParts are what of sums was sent, and pause is the least time
	// until the next digests; used by the beat alone.
	zoneParts, allParts parts
	pause               time.Duration
	// index finds servers for that; used by the beat alone.
	index *serverIndex
	// followed is the hub that this instance follows; itself if it is the first.
	followed string
	// neededWhole is when this instance last had to know the whole list of servers.
	neededWhole time.Time
	// reviewed is when the subscribers' shares were looked at last.
	reviewed time.Time
	// notified, greeted and served are when hubs were notified, strangers greeted and
	// subscribers served last.
	notified, greeted, served time.Time
}

// source is a hub that this instance asks.
type source struct {
	run operation.Incarnation
	// heard is when it last answered, or when it was asked first.
	heard time.Time
	// seen is up to where its account of siblings was taken in.
	seen uint64
}

// zoneSum is what a zone's instances have committed.
type zoneSum struct {
	at    time.Time
	loads map[uint32]route.Commitment
}

func newHubs(config Config) *hubs {
	return &hubs{
		config: config, subscribers: make(map[string]*subscriber), sources: make(map[string]*source),
		avoided: make(map[string]time.Time), zones: make(map[string]zoneSum), ledger: newLedger(),
	}
}

// follow notes which hub this instance follows, and returns which it did before.
func (h *hubs) follow(name string) (before string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.followed = h.followed, name
	return before
}

// state returns how many instances this one serves, and how long ago its own hubs
// answered: 0 if it has asked none.
func (h *hubs) state(now time.Time) (serves int, silence time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, source := range h.sources {
		silence = max(silence, now.Sub(source.heard))
	}
	return len(h.subscribers), silence
}

// ask notes that a hub is asked with this beat, and returns up to where its account
// was taken in.
func (h *hubs) ask(hub member.Info, now time.Time) (seen uint64, run operation.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.sources[hub.Name]
	if known == nil {
		known = &source{heard: now}
		h.sources[hub.Name] = known
	}
	return known.seen, known.run
}

// review drops the hubs that are no longer asked, leaves those alone that do not
// answer, and drops subscribers that no longer ask.
func (h *hubs) review(asked map[string]bool, now time.Time) (silent []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, source := range h.sources {
		if !asked[name] {
			delete(h.sources, name)
			continue
		}
		if now.Sub(source.heard) > h.config.HubSilence {
			h.avoided[name] = now.Add(h.config.HubAvoidedFor)
			delete(h.sources, name)
			silent = append(silent, name)
		}
	}
	for name, until := range h.avoided {
		if !now.Before(until) {
			delete(h.avoided, name)
		}
	}
	for name, subscriber := range h.subscribers {
		if now.Sub(subscriber.heard) > h.config.SubscribedFor {
			delete(h.subscribers, name)
		}
	}
	return silent
}

// wholeUnneeded notes whether this instance has to know the whole list of servers, and returns
// for how long it has not had to.
func (h *hubs) wholeUnneeded(needed bool, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if needed {
		h.neededWhole = now
	}
	return now.Sub(h.neededWhole)
}

// take notes what a hub's digest says of loads, numbers and the account of siblings.
func (h *hubs) take(message heartbeat.Message, zone string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digest := message.Digest
	// The own zone's word goes first. Without one any zone's counts: an instance that
	// only other zones answered took itself for one of few for up to 30 s, kept from its
	// hubs, and 18 of 59 instances were all it knew (TestANewcomerThatOnlyOtherZonesAnswerIsKnownToAll).
	if digest.Instances > 0 && (message.From.Zone == zone || now.Sub(h.instancesAt) > h.config.CountHoldsFor) {
		h.instances, h.instancesAt = digest.Instances, now
	}
	if digest.Summed {
		h.sum(digest, message.From.Zone, now)
	}
	source := h.sources[message.From.Name]
	if source == nil {
		return
	}
	source.heard = now
	if source.run != message.From.Incarnation {
		source.run, source.seen = message.From.Incarnation, 0
	}
	if digest.After <= source.seen && digest.Upto > source.seen {
		source.seen = digest.Upto
		h.acknowledge = true
	}
}

// due says whether something was done last so long ago, and notes that it is done now.
func (h *hubs) due(last *time.Time, every time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// serve sets whether this instance is a hub of its zone, and returns for how long
// it has been.
func (h *hubs) serve(hub bool, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !hub {
		h.since = time.Time{}
		return 0
	}
	if h.since.IsZero() || !h.hears(now) {
		h.since = now
	}
	return now.Sub(h.since)
}

// isHub says whether this instance is a hub of its zone.
func (h *hubs) isHub() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.since.IsZero()
}

// count returns how many instances there are, by what a hub said lately; 0 if none
// did.
func (h *hubs) count(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.instancesAt) > h.config.CountHoldsFor {
		return 0
	}
	return h.instances
}

// connected says whether a hub, or a subscriber, was heard lately: this instance is
// not alone.
func (h *hubs) connected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hears(now)
}

// hears is connected for a caller that holds the lock.
func (h *hubs) hears(now time.Time) bool {
	for _, source := range h.sources {
		if now.Sub(source.heard) < h.config.HubSilence && source.run != 0 {
			return true
		}
	}
	return len(h.subscribers) > 0
}

// takeAcknowledge says whether a hub is to hear at once.
func (h *hubs) takeAcknowledge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := h.acknowledge
	h.acknowledge = false
	return due
}

// account brings the account of siblings up to date. A hub that has not settled speaks
// only of those that live: the others may not have heard of it.
func (h *hubs) account(siblings []*member.Sibling, settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.update(siblings, settled)
}

// lacks returns what a subscriber lacks of the account.
func (h *hubs) lacks(seen uint64, view *member.View, keep func(member.Sibling) bool, now time.Time) ([]heartbeat.Observation, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.since(seen, view, keep, h.config.StatesAtOnce, now)
}
