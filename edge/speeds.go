package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/speed"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/wait"
)

// Instances exchange the estimates of servers' speeds, since one of many instances uses a server
// too rarely to know its speed. Each sends its own estimates to the siblings that receive its
// loads. A hub combines those of its zone, sends them to the hubs of other zones, and sends its
// subscribers the combination of all zones. An instance never sends on what it received in a
// form that comes back to it as somebody else's measurement: a zone's estimates are made of its
// instances' own ones only.

const (
	// rateSpeedsEvery is the pause between two comparisons of the servers' speeds. A slow
	// server is found after three seconds of measurements, and a comparison looks at all
	// servers in use.
	rateSpeedsEvery = 500 * time.Millisecond
	// pruneSpeedsEvery is the pause between two searches for expired estimates. Those that are
	// left meanwhile do not count.
	pruneSpeedsEvery = 10 * time.Second
	// ownSpeedsAtOnce bounds the own estimates in one message, and hubSpeedsAtOnce those in a
	// hub digest. Where each instance sends to up to 35 others, the former are 6 KB a second.
	ownSpeedsAtOnce = 16
	hubSpeedsAtOnce = 128
)

// speeds holds the estimates that other instances sent.
type speeds struct {
	mu sync.Mutex
	// siblings holds the own estimates of siblings by name, zones those of other zones' hubs,
	// and fromHub those of this instance's hub for all instances.
	siblings map[string]speed.Table
	zones    map[string]speed.Table
	fromHub  speed.Table
	// combined is the last combination. combining is held by the goroutine that makes the next
	// one.
	combining sync.Mutex
	combined  atomic.Pointer[combinedSpeeds]
	// pruned is when tables were last searched for expired estimates.
	pruned time.Time
	// own, ofZone and ofAll select what is sent, and nextOwn and nextHub are when the
	// next messages with estimates are due. Only the heartbeat loop uses these fields.
	own, ofZone, ofAll speed.Delta
	nextOwn, nextHub   time.Time
}

func newSpeeds() *speeds {
	s := &speeds{siblings: make(map[string]speed.Table), zones: make(map[string]speed.Table), fromHub: make(speed.Table)}
	s.combined.Store(&combinedSpeeds{})
	return s
}

// apply merges the estimates that a sibling or a hub sent.
func (s *speeds) apply(message heartbeat.Message, now time.Time) {
	data := message.Speeds
	if message.Digest != nil {
		data = message.Digest.Speeds
	}
	reports, err := speed.Decode(data, now)
	if err != nil {
		klog.InfoS("Failed to decode estimates of speeds", "sibling", message.From.Name, "err", err.Error())
		return
	}
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch digest := message.Digest; {
	case digest == nil:
		mergeInto(s.siblings, message.From.Name, reports)
	case digest.Zone:
		mergeInto(s.zones, message.From.Zone, reports)
	default:
		s.fromHub.Merge(reports)
	}
}

func mergeInto(tables map[string]speed.Table, name string, reports []speed.Report) {
	if tables[name] == nil {
		tables[name] = make(speed.Table)
	}
	tables[name].Merge(reports)
}

// prune drops estimates that are too old.
func (s *speeds) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.pruned) < pruneSpeedsEvery {
		return
	}
	s.pruned = now
	s.fromHub.Prune(now)
	for _, tables := range []map[string]speed.Table{s.siblings, s.zones} {
		maps.DeleteFunc(tables, func(_ string, table speed.Table) bool {
			table.Prune(now)
			return len(table) == 0
		})
	}
}

// combinedSpeeds holds the combined estimates of all instances and those of the instances of this
// zone.
type combinedSpeeds struct {
	at        time.Time
	estimates int
	zone, all speed.Table
}

// combinePause is the pause between two combinations for each estimate that they include. A hub of
// 330 instances that use 300 servers each takes 140 ms for one (speed.BenchmarkCombine), which is
// 0.014 of a core with a combination every 10 s.
const combinePause = 100 * time.Microsecond

// combine combines the estimates of all instances, including the given own ones, if that is due.
func (s *speeds) combine(own func(now time.Time) speed.Table, now time.Time) {
	if !s.combining.TryLock() {
		return
	}
	defer s.combining.Unlock()
	if last := s.combined.Load(); now.Sub(last.at) < max(rateSpeedsEvery, time.Duration(last.estimates)*combinePause) {
		return
	}
	next := &combinedSpeeds{at: now}
	// The lock is held for one table at a time, so that messages are handled meanwhile.
	add := func(parts speed.Parts, tables map[string]speed.Table) {
		s.mu.Lock()
		names := slices.Collect(maps.Keys(tables))
		s.mu.Unlock()
		for _, name := range names {
			s.mu.Lock()
			next.estimates += len(tables[name])
			parts.Add(tables[name])
			s.mu.Unlock()
		}
	}
	zone := make(speed.Parts)
	zone.Add(own(now))
	add(zone, s.siblings)
	next.zone = zone.Combine(now)
	all := make(speed.Parts)
	all.Add(next.zone)
	add(all, s.zones)
	next.all = all.Combine(now)
	s.combined.Store(next)
}

// otherSpeeds returns the estimates of other instances. Those that were combined include this
// instance's own ones, which then count twice. They are a small part of all.
func (in *Instance) otherSpeeds(now time.Time) speed.Table {
	if !in.usesHubs() || in.hubs.isHub() {
		in.speeds.combine(in.ownSpeeds, now)
		return in.speeds.combined.Load().all
	}
	in.speeds.mu.Lock()
	defer in.speeds.mu.Unlock()
	return maps.Clone(in.speeds.fromHub)
}

// ownSpeeds returns this instance's own estimates.
func (in *Instance) ownSpeeds(now time.Time) speed.Table {
	own := make(speed.Table)
	for run := range in.servers.Load().ByRun {
		server := in.Fleet.Server(run)
		if server == nil {
			continue
		}
		for k := speed.None + 1; k < speed.Kinds; k++ {
			if e := server.Speeds.Own(k, now); e.Count > 0 {
				own[speed.Key{Server: route.ServerID(run), Kind: k}] = e
			}
		}
	}
	return own
}

// dueOwnSpeeds returns the own estimates for the next message to siblings or hubs; nil if none
// are due.
func (in *Instance) dueOwnSpeeds(now time.Time) []byte {
	if now.Before(in.speeds.nextOwn) {
		return nil
	}
	in.speeds.nextOwn = now.Add(speed.PickEvery)
	return speed.Encode(in.speeds.own.Pick(in.ownSpeeds(now), ownSpeedsAtOnce, now), now)
}

// hubSpeeds holds the estimates for the digests of one beat.
type hubSpeeds struct {
	zone, all []byte
	reports   []speed.Report
}

// dueHubSpeeds returns the estimates for the next digests; nothing if none are due.
func (in *Instance) dueHubSpeeds(now time.Time) hubSpeeds {
	if now.Before(in.speeds.nextHub) {
		return hubSpeeds{}
	}
	in.speeds.nextHub = now.Add(speed.PickEvery)
	combined := in.speeds.combined.Load()
	reports := in.speeds.ofAll.Pick(combined.all, hubSpeedsAtOnce, now)
	return hubSpeeds{
		zone: speed.Encode(in.speeds.ofZone.Pick(combined.zone, hubSpeedsAtOnce, now), now), all: speed.Encode(reports, now), reports: reports,
	}
}

// of returns the estimates for a subscriber.
func (d *hubSpeeds) of(to subscriber, zone bool, servers *serverIndex, now time.Time) []byte {
	switch {
	case zone:
		return d.zone
	case !to.part:
		return d.all
	}
	var part []speed.Report
	for _, r := range d.reports {
		if entry := servers.byID[r.Server]; entry != nil && holdsEntry(to.uses, entry) {
			part = append(part, r)
		}
	}
	return speed.Encode(part, now)
}

// Speeds returns the estimates of the speeds of the servers in use, up to a limit. The slowest
// within their services come first.
func (in *Instance) Speeds(limit int) []metrics.ServerSpeed {
	now := clock.Now()
	var all []metrics.ServerSpeed
	for run := range in.servers.Load().ByRun {
		server := in.Fleet.Server(run)
		if server == nil {
			continue
		}
		for k := speed.None + 1; k < speed.Kinds; k++ {
			e := server.Speeds.Estimate(k, now)
			if e.Count == 0 {
				continue
			}
			one := metrics.ServerSpeed{Server: run, Kind: k.String(), Seconds: e.PerUnit, Relative: 1, Samples: e.Count,
				Age: now.Sub(e.Last).Seconds(), Valid: e.Valid(now).Seconds()}
			if rating := server.Speeds.Rating(k); rating != nil {
				one.Relative = rating.Relative
			}
			all = append(all, one)
		}
	}
	slices.SortFunc(all, func(a, b metrics.ServerSpeed) int {
		return cmp.Or(cmp.Compare(a.Relative, b.Relative), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	return all[:min(limit, len(all))]
}

// SpeedsSent returns how many estimates of speeds this instance selected for messages to siblings,
// hubs and subscribers.
func (in *Instance) SpeedsSent(cause speed.Cause) (count uint64) {
	for _, delta := range []*speed.Delta{&in.speeds.own, &in.speeds.ofZone, &in.speeds.ofAll} {
		count += delta.Sent(cause)
	}
	return count
}

// followSpeeds compares the speeds of the servers until ctx ends. A hub of many members takes a
// tenth of a second and more for it, which must not delay the loop that notices suspensions.
func (in *Instance) followSpeeds(ctx context.Context) {
	for wait.For(ctx, rateSpeedsEvery) {
		in.rateSpeeds(clock.Now())
	}
}

// rateSpeeds compares the speeds of the servers of each service. An engine's speed does not
// depend on its role, so the engines of all roles are compared with each other. Estimates of
// earlier runs have other keys and are not found.
func (in *Instance) rateSpeeds(now time.Time) {
	in.speeds.prune(now)
	for key, others := range in.otherSpeeds(now) {
		if server := in.Fleet.ServerByID(key.Server); server != nil {
			server.Speeds.SetOthers(key.Kind, others)
		}
	}
	servers := in.servers.Load()
	services := make(map[string][]*table.BackendView)
	for _, pools := range []map[string][]*table.BackendView{servers.Plain, servers.Prefill, servers.Decode} {
		for service, pool := range pools {
			services[service] = slices.Concat(services[service], pool)
		}
	}
	for _, pool := range services {
		in.Fleet.RateSpeeds(pool, now)
	}
}
