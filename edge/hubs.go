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

// Up to some tens of instances each send their state to all others. With more, the instances of a
// zone send their state to two hubs, which are the strongest instances of the zone. One of the
// hubs sends each instance the sums of all commitments (the requests and memory that instances
// have assigned to servers) and the states of all siblings. These messages are called hub
// digests. Hubs of different zones exchange the sums of their zones. An idle instance then sends
// about 24 datagrams and 2.2 KB a second, with 58 instances as well as with 295
// (TestManyInstancesSendLittle). Sending to 36 other instances at each beat took 240 datagrams a
// second. The known loads of the other instances are at most two beats old. Without hubs they
// were 24 beats old with 295 instances.
//
// No instance appoints hubs. Each instance subscribes to the two best hubs among the siblings
// that it knows to be alive, and an instance that receives a subscription serves it. Differing
// views cost some extra datagrams until they converge.

// hubs is the state of an instance as a subscriber of hubs and as a hub.
type hubs struct {
	config Config
	// choice holds the hubs that were chosen last.
	choice atomic.Pointer[choice]

	mu sync.Mutex
	// subscribers holds the instances that this one serves, by name.
	subscribers map[string]*subscriber
	// sources holds the hubs from which this instance requests digests, by name.
	sources map[string]*source
	// avoided holds the hubs that did not answer, with the time until which they are avoided.
	avoided map[string]time.Time
	// sums holds the commitments of all other instances, as last sent by this instance's hub. It
	// is nil before the first digest.
	sums map[uint32]route.Commitment
	// zones holds the commitments of the instances of each other zone.
	zones map[string]zoneSum
	// instanceCount is the number of instances that a hub reported at instanceCountAt.
	instanceCount   int
	instanceCountAt time.Time
	// since is when this instance became a hub of its zone. It is zero if it is not a hub.
	since     time.Time
	changeLog *changeLog
	// acknowledge is set when the hub should learn immediately up to where this instance has
	// applied the hub's change log.
	acknowledge bool
	// outdatedStates counts states of siblings that were refused because another hub had reported newer
	// ones, and formerStates those of former hubs that were ignored.
	outdatedStates, formerStates atomic.Uint64
	// sent holds the loads of this instance that it recently sent to its hubs.
	sent []sentLoads
	// zoneDelta and allDelta track which sums were sent. pause is the shortest time until the
	// next digests. urgentPending is set while an urgent digest waits for urgentDigestPause. Only
	// the heartbeat loop uses these fields.
	zoneDelta, allDelta sumDelta
	pause               time.Duration
	urgentPending       bool
	// index finds the servers of those sums. Only the heartbeat loop uses it.
	index *serverIndex
	// followed is the hub that this instance follows. It is the instance itself if it is the
	// best hub.
	followed string
	// fullListNeededAt is when this instance last needed the full list of servers.
	fullListNeededAt time.Time
	// lastReview is when the subsets of the subscribers were last checked.
	lastReview time.Time
	// lastNotify, lastDiscovery and lastServe are when this instance last sent its state to its
	// hubs, requested hubs from unknown addresses and served its subscribers.
	lastNotify, lastDiscovery, lastServe time.Time
}

// source is a hub from which this instance requests hub digests.
type source struct {
	run operation.Incarnation
	// lastContact is when the hub last answered, or when this instance first sent it a request.
	lastContact time.Time
	// seen is the version up to which the hub's change log was applied.
	seen uint64
	// refusedAfter is the version of the change log after which states were refused because another
	// hub had reported newer ones. The change log is requested again from there at retryAt, which is
	// zero if none were refused.
	refusedAfter uint64
	retryAt      time.Time
}

// zoneSum holds the commitments of the instances of a zone.
type zoneSum struct {
	at    time.Time
	loads map[uint32]route.Commitment
}

func newHubs(config Config) *hubs {
	return &hubs{
		config: config, subscribers: make(map[string]*subscriber), sources: make(map[string]*source),
		avoided: make(map[string]time.Time), zones: make(map[string]zoneSum), changeLog: newChangeLog(),
	}
}

// setFollowed sets which hub this instance follows and returns the previous one.
func (h *hubs) setFollowed(name string) (before string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, h.followed = h.followed, name
	return before
}

// state returns how many instances this one serves, and the longest time since one of its own
// hubs answered. The latter is 0 if there are no such hubs.
func (h *hubs) state(now time.Time) (serves int, silence time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, source := range h.sources {
		silence = max(silence, now.Sub(source.lastContact))
	}
	return len(h.subscribers), silence
}

// noteRequest records that this beat requests digests from a hub. It returns the version up to
// which the hub's change log was applied.
func (h *hubs) noteRequest(hub member.Info, now time.Time) (seen uint64, run operation.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.sources[hub.Name]
	if known == nil {
		known = &source{lastContact: now}
		h.sources[hub.Name] = known
	}
	if !known.retryAt.IsZero() && !now.Before(known.retryAt) {
		known.seen, known.retryAt = min(known.seen, known.refusedAfter), time.Time{}
	}
	return known.seen, known.run
}

// refusedStatesAfter is the pause until states that were refused are requested again. By then the
// hub has observed the siblings again (KeepAliveEvery). A whole change log of 295 siblings takes
// 30 KB, so it is not requested at each beat.
const refusedStatesAfter = time.Second

// isFormer reports whether this instance requests no digests from a hub while others answer it. Such a
// hub sends digests until SubscribedFor has passed, and siblings that it no longer receives
// heartbeats from are silent in its view.
func (h *hubs) isFormer(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sources[name] != nil {
		return false
	}
	for _, source := range h.sources {
		if source.run != 0 && now.Sub(source.lastContact) < h.config.HubSilence {
			return true
		}
	}
	return false
}

// dropSilent drops the hubs that are no longer requested and the subscribers that no longer send
// requests. It also marks hubs that do not answer as avoided and returns their names.
func (h *hubs) dropSilent(requested map[string]bool, now time.Time) (silent []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, source := range h.sources {
		if !requested[name] {
			delete(h.sources, name)
			continue
		}
		if now.Sub(source.lastContact) > h.config.HubSilence {
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
		if now.Sub(subscriber.lastContact) > h.config.SubscribedFor {
			delete(h.subscribers, name)
		}
	}
	return silent
}

// fullListUnneededFor records whether this instance needs the full list of servers. It returns
// for how long the list has not been needed.
func (h *hubs) fullListUnneededFor(needed bool, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if needed {
		h.fullListNeededAt = now
	}
	return now.Sub(h.fullListNeededAt)
}

// applyDigest merges the loads, the number of instances and the version of the change log from a
// hub's digest. If states were refused, it returns whether they will be requested again.
func (h *hubs) applyDigest(message heartbeat.Message, zone string, refused bool, now time.Time) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digest := message.Digest
	// Digests from the own zone take precedence. If there is none, a digest from any zone
	// counts. Without that, an instance that only other zones answered assumed for up to 30 s
	// that there are few instances, so it used no hubs and knew only 18 of 59 instances
	// (TestANewInstanceWithSeedsInOtherZonesBecomesKnownToAll).
	if digest.Instances > 0 && (message.From.Zone == zone || now.Sub(h.instanceCountAt) > h.config.CountExpiresAfter) {
		h.instanceCount, h.instanceCountAt = digest.Instances, now
	}
	if digest.Summed {
		h.sum(digest, message.From.Zone, now)
	}
	source := h.sources[message.From.Name]
	if source == nil {
		return false
	}
	source.lastContact = now
	if source.run != message.From.Incarnation {
		source.run, source.seen, source.retryAt = message.From.Incarnation, 0, time.Time{}
	}
	if refused && digest.To > digest.After {
		again = source.retryAt.IsZero()
		if again {
			source.refusedAfter, source.retryAt = digest.After, now.Add(refusedStatesAfter)
		}
		source.refusedAfter = min(source.refusedAfter, digest.After)
	}
	if digest.After <= source.seen && digest.To > source.seen {
		source.seen = digest.To
		h.acknowledge = true
	}
	return again
}

// due reports whether the given interval has passed since the time in last. If so, it sets that
// time to now.
func (h *hubs) due(last *time.Time, every time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// setHub sets whether this instance is a hub of its zone and returns for how long it has been
// one.
func (h *hubs) setHub(hub bool, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !hub {
		h.since = time.Time{}
		return 0
	}
	if h.since.IsZero() || !h.connectedLocked(now) {
		h.since = now
	}
	return now.Sub(h.since)
}

// isHub reports whether this instance is a hub of its zone.
func (h *hubs) isHub() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.since.IsZero()
}

// count returns the number of instances that a hub recently reported, or 0 if there is no recent
// report.
func (h *hubs) count(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.instanceCountAt) > h.config.CountExpiresAfter {
		return 0
	}
	return h.instanceCount
}

// connected reports whether this instance had recent contact with a hub or has a subscriber.
func (h *hubs) connected(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.connectedLocked(now)
}

// connectedLocked is connected for a caller that holds the lock.
func (h *hubs) connectedLocked(now time.Time) bool {
	for _, source := range h.sources {
		if now.Sub(source.lastContact) < h.config.HubSilence && source.run != 0 {
			return true
		}
	}
	return len(h.subscribers) > 0
}

// takeAcknowledge reports whether the hub should immediately receive an acknowledgement of its
// changes of siblings' states, and clears the request for it.
func (h *hubs) takeAcknowledge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	due := h.acknowledge
	h.acknowledge = false
	return due
}

// updateLog brings the change log of siblings' states up to date. A hub that has not settled (has
// been a hub for less than Config.HubGrace) reports only live siblings, since the other siblings
// may not have learned yet that this instance is a hub.
func (h *hubs) updateLog(siblings []*member.Sibling, settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changeLog.update(siblings, settled)
}

// missingChanges returns the changes that a subscriber has not received yet.
func (h *hubs) missingChanges(seen uint64, view *member.View, keep func(member.Sibling) bool, now time.Time) ([]heartbeat.Observation, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changeLog.since(seen, view, keep, h.config.StatesAtOnce, now)
}
