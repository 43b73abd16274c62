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

// cacheChanges holds the sequence number of the last cache event read from each
// engine, and the changes that have not been sent to siblings yet.
type cacheChanges struct {
	mu           sync.Mutex
	lastSequence map[string]int64
	unsent       map[string]*peer.ServerLoad
}

// maxPrefixesPerHeartbeat bounds the cache changes that one heartbeat carries
// for one engine. Changes beyond it are left out, which has the same effect as
// a late or lost event.
const maxPrefixesPerHeartbeat = 32

func (i *Instance) readCacheEvents(ctx context.Context, backend *table.BackendView) {
	i.caches.mu.Lock()
	after := i.caches.lastSequence[backend.Name]
	i.caches.mu.Unlock()
	events, err := i.deps.Engines.CacheEvents(ctx, backend.Address, after)
	server := i.fleet.Server(backend.Name)
	if err != nil || len(events) == 0 || server == nil {
		return
	}
	i.caches.mu.Lock()
	defer i.caches.mu.Unlock()
	if i.caches.lastSequence == nil {
		i.caches.lastSequence = make(map[string]int64)
		i.caches.unsent = make(map[string]*peer.ServerLoad)
	}
	i.caches.lastSequence[backend.Name] = events[len(events)-1].Sequence
	changes := &peer.ServerLoad{}
	for _, event := range events {
		if event.Removed {
			server.Prefixes.Remove(event.Prefix)
			changes.Dropped = append(changes.Dropped, event.Prefix)
			continue
		}
		server.Prefixes.Add(event.Prefix)
		changes.Cached = append(changes.Cached, event.Prefix)
	}
	changes.Cached = changes.Cached[max(0, len(changes.Cached)-maxPrefixesPerHeartbeat):]
	changes.Dropped = changes.Dropped[max(0, len(changes.Dropped)-maxPrefixesPerHeartbeat):]
	i.caches.unsent[backend.Name] = changes
}

// ownLoads returns the load reports of the engines whose steward (the instance
// that grants reservations at an engine) is this instance.
func (i *Instance) ownLoads() []peer.ServerLoad {
	i.caches.mu.Lock()
	defer i.caches.mu.Unlock()
	var loads []peer.ServerLoad
	for name := range i.tables.View().Backends {
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
			FreePieces: report.FreePieces, Draining: report.Leaving,
		}
		if changes := i.caches.unsent[name]; changes != nil {
			load.Cached, load.Dropped = changes.Cached, changes.Dropped
			delete(i.caches.unsent, name)
		}
		loads = append(loads, load)
	}
	return loads
}

// observeLoads applies the load reports that a sibling sent for the engines
// whose steward it is.
func (i *Instance) observeLoads(loads []peer.ServerLoad, now time.Time) {
	for _, load := range loads {
		server := i.fleet.ServerByID(load.ID)
		if server == nil {
			continue
		}
		server.Observe(&route.Report{
			At: now, WaitingTokens: load.WaitingTokens, Running: load.Running,
			FreePieces: load.FreePieces, Leaving: load.Draining,
		})
		for _, prefix := range load.Dropped {
			server.Prefixes.Remove(prefix)
		}
		for _, prefix := range load.Cached {
			server.Prefixes.Add(prefix)
		}
	}
}
