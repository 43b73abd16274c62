package instance

import (
	"context"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// stewards reaches the steward of any worker for the runner.
type stewards struct{ *Instance }

// Reserve implements request.Stewards.
func (s stewards) Reserve(ctx context.Context, worker string, ask route.Ask) route.Grant {
	owner := s.ownerOf(worker)
	if owner == s.self.Name {
		return s.steward.Reserve(worker, ask, time.Now())
	}
	sibling, known := s.members.View().Find(owner)
	if !known {
		return route.Grant{Refused: reason.StewardUnreached}
	}
	answer, err := s.deps.Peers.Call(ctx, sibling.Peer, &peer.Message{Reserve: &peer.Reserve{
		Worker: worker, RequestID: ask.RequestID, Attempt: ask.Attempt, Pieces: ask.Pieces, TTL: ask.TTL,
		LandIn: ask.LandIn, HoldFor: ask.HoldFor, Headroom: ask.Headroom, Tokens: ask.Tokens, MostAhead: ask.MostAhead,
	}})
	if err != nil || answer.Reserved == nil {
		return route.Grant{Refused: reason.StewardUnreached}
	}
	return route.Grant{Refused: answer.Reserved.Refused, Free: answer.Reserved.Free, Ahead: answer.Reserved.Ahead}
}

// Release implements request.Stewards.
func (s stewards) Release(worker string, key route.HoldKey) {
	owner := s.ownerOf(worker)
	if owner == s.self.Name {
		s.steward.Release(worker, key, time.Now())
		return
	}
	if sibling, known := s.members.View().Find(owner); known {
		s.deps.Peers.Send(sibling.Peer, &peer.Message{Release: &peer.Release{
			Worker: worker, RequestID: key.RequestID, Attempt: key.Attempt,
		}})
	}
}

func (i *Instance) reserveHere(ask *peer.Reserve) *peer.Reserved {
	grant := i.steward.Reserve(ask.Worker, route.Ask{
		HoldKey: route.HoldKey{RequestID: ask.RequestID, Attempt: ask.Attempt}, Pieces: ask.Pieces, TTL: ask.TTL,
		LandIn: ask.LandIn, HoldFor: ask.HoldFor, Headroom: ask.Headroom, Tokens: ask.Tokens, MostAhead: ask.MostAhead,
	}, time.Now())
	return &peer.Reserved{Refused: grant.Refused, Free: grant.Free, Ahead: grant.Ahead}
}

// ownerOf names the instance that is the steward of a worker.
func (i *Instance) ownerOf(worker string) string {
	serving := i.members.View().Siblings
	names := make([]string, 0, len(serving)+1)
	names = append(names, i.self.Name)
	for _, sibling := range serving {
		if sibling.State == "alive" {
			names = append(names, sibling.Name)
		}
	}
	return route.Owner(worker, names)
}

// inspectWorkers asks the workers that this instance is the steward of for
// their load, and cancels what dead homes left there.
func (i *Instance) inspectWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingTimeout)
	defer cancel()
	view := i.keeper.View()
	i.steward.Retain(func(worker string) bool {
		_, exists := view.Backends[worker]
		return exists && i.ownerOf(worker) == i.self.Name
	})
	var group sync.WaitGroup
	for _, backend := range view.Backends {
		if backend.Role == table.RolePlain || i.ownerOf(backend.Name) != i.self.Name {
			continue
		}
		group.Go(func() { i.inspect(ctx, backend) })
	}
	group.Wait()
}

func (i *Instance) inspect(ctx context.Context, backend *table.BackendView) {
	asked := time.Now()
	load, err := i.deps.Engines.Load(ctx, backend.Address)
	if err != nil {
		return
	}
	if server := i.fleet.Server(backend.Name); server != nil {
		server.Observe(&route.Report{
			At: asked, WaitingTokens: load.WaitingTokens, Running: load.Running,
			FreePieces: load.FreePieces, Leaving: load.Leaving,
		})
	}
	if backend.Role == table.RolePrefill {
		i.readCacheEvents(ctx, backend)
	}
	held := make(map[route.HoldKey]int, len(load.Held))
	for _, h := range load.Held {
		held[route.HoldKey{RequestID: h.RequestID, Attempt: h.Number}] = h.Pieces
	}
	i.steward.Observe(backend.Name, route.EngineReport{
		TakenAt: asked, Pieces: load.Pieces, WaitingTokens: load.WaitingTokens, Held: held,
	})
	i.cancelOrphans(ctx, backend, load.Held)
}

// orphanGrace is how long a request is at an engine before its home is asked
// whether it still works on it.
const orphanGrace = 2 * time.Second

// cancelOrphans cancels what nobody works on any more: requests whose home is
// dead, and those that a living home has given up, as after a cancel that
// overtook its order.
func (i *Instance) cancelOrphans(ctx context.Context, backend *table.BackendView, held []engine.Held) {
	if !i.config.Request.Protect.Orphans {
		return
	}
	members := i.members.View()
	lingering := make(map[operation.Member][]engine.Held)
	now := time.Now()
	i.held.retain(backend.Name, held)
	for _, h := range held {
		home, ok := operation.ParseMember(h.Home)
		switch {
		case !ok:
		case members.IsDead(home):
			i.cancelOrphan(ctx, backend, h)
		case home != i.self && !members.Knows(home):
			i.members.Introduce(home, now)
		case i.held.since(backend.Name, h, now) >= orphanGrace:
			lingering[home] = append(lingering[home], h)
		}
	}
	for home, its := range lingering {
		i.cancelAbandoned(ctx, backend, home, its)
	}
}

func (i *Instance) cancelOrphan(ctx context.Context, backend *table.BackendView, h engine.Held) {
	if i.deps.Engines.Cancel(ctx, backend.Address, h.Attempt) == nil {
		i.Metrics.Orphans.Inc()
	}
}

// cancelAbandoned asks a living home about its lingering requests, and cancels
// those that it says have ended.
func (i *Instance) cancelAbandoned(ctx context.Context, backend *table.BackendView, home operation.Member, its []engine.Held) {
	ask := &peer.AskClaims{Home: home}
	byClaim := make(map[peer.Claim]engine.Held, len(its))
	for _, h := range its {
		claim := peer.Claim{RequestID: h.RequestID, Attempt: h.Number}
		ask.Claims = append(ask.Claims, claim)
		byClaim[claim] = h
	}
	for _, claim := range i.askClaims(ctx, ask) {
		if h, asked := byClaim[claim]; asked {
			i.cancelOrphan(ctx, backend, h)
		}
	}
}

func (i *Instance) askClaims(ctx context.Context, ask *peer.AskClaims) []peer.Claim {
	if ask.Home == i.self {
		return i.claimsHere(ask).Abandoned
	}
	sibling, known := i.members.View().Find(ask.Home.Name)
	if !known || sibling.Member() != ask.Home {
		return nil
	}
	answer, err := i.deps.Peers.Call(ctx, sibling.Peer, &peer.Message{AskClaims: ask})
	if err != nil || answer.Claims == nil || answer.Claims.Home != ask.Home {
		return nil
	}
	return answer.Claims.Abandoned
}

// claimsHere says which of the attempts have ended.
func (i *Instance) claimsHere(ask *peer.AskClaims) *peer.Claims {
	claims := &peer.Claims{Home: i.self}
	if ask.Home != i.self {
		return claims
	}
	for _, claim := range ask.Claims {
		if !i.Runner.Claims(route.HoldKey{RequestID: claim.RequestID, Attempt: claim.Attempt}) {
			claims.Abandoned = append(claims.Abandoned, claim)
		}
	}
	return claims
}

// heldSince remembers since when each engine holds a request.
type heldSince struct {
	mu    sync.Mutex
	first map[string]map[route.HoldKey]time.Time
}

func holdKeyOf(h engine.Held) route.HoldKey {
	return route.HoldKey{RequestID: h.RequestID, Attempt: h.Number}
}

// retain forgets what the engine no longer holds.
func (s *heldSince) retain(worker string, held []engine.Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == nil {
		s.first = make(map[string]map[route.HoldKey]time.Time)
	}
	before := s.first[worker]
	now := make(map[route.HoldKey]time.Time, len(held))
	for _, h := range held {
		if at, seen := before[holdKeyOf(h)]; seen {
			now[holdKeyOf(h)] = at
		}
	}
	s.first[worker] = now
}

// since returns how long the engine has been seen to hold the request.
func (s *heldSince) since(worker string, h engine.Held, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, seen := s.first[worker][holdKeyOf(h)]
	if !seen {
		s.first[worker][holdKeyOf(h)] = now
		return 0
	}
	return now.Sub(at)
}

// cacheFeed remembers how far the cache events of each worker were read, and
// what siblings have not been told yet.
type cacheFeed struct {
	mu    sync.Mutex
	after map[string]int64
	fresh map[string]*peer.ServerLoad
}

// mostPrefixes bounds the cache changes that one heartbeat carries for one
// worker; the rest is left out, as a late or lost event would be.
const mostPrefixes = 32

func (i *Instance) readCacheEvents(ctx context.Context, backend *table.BackendView) {
	i.caches.mu.Lock()
	after := i.caches.after[backend.Name]
	i.caches.mu.Unlock()
	events, err := i.deps.Engines.CacheEvents(ctx, backend.Address, after)
	server := i.fleet.Server(backend.Name)
	if err != nil || len(events) == 0 || server == nil {
		return
	}
	i.caches.mu.Lock()
	defer i.caches.mu.Unlock()
	if i.caches.after == nil {
		i.caches.after = make(map[string]int64)
		i.caches.fresh = make(map[string]*peer.ServerLoad)
	}
	i.caches.after[backend.Name] = events[len(events)-1].Sequence
	fresh := &peer.ServerLoad{}
	for _, event := range events {
		if event.Removed {
			server.Prefixes.Remove(event.Prefix)
			fresh.Dropped = append(fresh.Dropped, event.Prefix)
			continue
		}
		server.Prefixes.Add(event.Prefix)
		fresh.Cached = append(fresh.Cached, event.Prefix)
	}
	fresh.Cached = fresh.Cached[max(0, len(fresh.Cached)-mostPrefixes):]
	fresh.Dropped = fresh.Dropped[max(0, len(fresh.Dropped)-mostPrefixes):]
	i.caches.fresh[backend.Name] = fresh
}

// ownLoads returns the digests of the workers that this instance inspects.
func (i *Instance) ownLoads() []peer.ServerLoad {
	i.caches.mu.Lock()
	defer i.caches.mu.Unlock()
	var loads []peer.ServerLoad
	for name := range i.keeper.View().Backends {
		server := i.fleet.Server(name)
		if server == nil || i.ownerOf(name) != i.self.Name {
			continue
		}
		report := server.Report()
		if report == nil {
			continue
		}
		load := peer.ServerLoad{
			ID: route.ServerID(name), WaitingTokens: i.steward.Ahead(name, time.Now()), Running: report.Running,
			FreePieces: report.FreePieces, Leaving: report.Leaving,
		}
		if fresh := i.caches.fresh[name]; fresh != nil {
			load.Cached, load.Dropped = fresh.Cached, fresh.Dropped
			delete(i.caches.fresh, name)
		}
		loads = append(loads, load)
	}
	return loads
}

// observeLoads takes in the digests of a sibling's workers.
func (i *Instance) observeLoads(loads []peer.ServerLoad, now time.Time) {
	for _, load := range loads {
		server := i.fleet.ServerByID(load.ID)
		if server == nil {
			continue
		}
		server.Observe(&route.Report{
			At: now, WaitingTokens: load.WaitingTokens, Running: load.Running,
			FreePieces: load.FreePieces, Leaving: load.Leaving,
		})
		for _, prefix := range load.Dropped {
			server.Prefixes.Remove(prefix)
		}
		for _, prefix := range load.Cached {
			server.Prefixes.Add(prefix)
		}
	}
}

// Steward names the instance that grants a worker's memory.
func (i *Instance) Steward(worker string) string { return i.ownerOf(worker) }
