package instance

import (
	"context"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

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
			ID: route.ServerID(name), WaitingTokens: i.steward.Ahead(name, clock.Now()), Running: report.Running,
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
