package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
	"github.com/mastwheel/mastwheel/table"
)

// rebuild rebuilds the view of the servers from the list of servers, the table and the evacuated
// zones, if any of them has changed.
func (in *Instance) rebuild() {
	in.orders.mu.Lock()
	defer in.orders.mu.Unlock()
	list, view, evacuation, uses := in.registry.View(), in.Table(), in.evacuation.Load(), in.uses.Load()
	built := &in.orders.built
	if list == built.from && view == built.with && sameZones(evacuation, built.without) && uses == built.uses {
		return
	}
	if list != built.from {
		in.Origins.setListed(list, clock.Now())
		in.Origins.doubtRestarted(built.from, list, clock.Now())
	}
	before := built.list
	used := usedServers(list, uses)
	next := buildServers(used, view, evacuation)
	next.Subset = uses != nil || list.IsSubset
	in.Fleet.Adopt(&table.View{Backends: backendsOf(next)})
	in.servers.Store(next)
	in.limitColdServers(used, view, clock.Now())
	if view != nil && view != built.with {
		in.Origins.setWindow(view)
		in.applyLimits(view, clock.Now())
	}
	*built = viewInputs{from: list, with: view, without: evacuation, uses: uses, list: used}
	logServers(before, used)
	if in.deps.ServersChanged != nil {
		in.deps.ServersChanged(used)
	}
}

// viewInputs holds the inputs of the view of the servers: the list of backend servers (from), the
// table (with), the evacuated zones (without) and the subset of the servers that this instance
// uses (uses). list is the part of from that is in this subset.
type viewInputs struct {
	from    *registry.View
	with    *table.View
	without *heartbeat.Evacuation
	uses    *subset.Subset
	list    *registry.View
}

// usedServers returns the part of a list of servers that an instance uses.
func usedServers(list *registry.View, uses *subset.Subset) *registry.View {
	if uses == nil || list.IsSubset {
		return list
	}
	used := &registry.View{Position: list.Position, Read: list.Read}
	for i := range list.Servers {
		if server := &list.Servers[i]; holdsEntry(uses, &server.Entry) {
			used.Servers = append(used.Servers, *server)
		}
	}
	return used
}

// limitColdServers limits the requests to servers that have just started to what they can
// handle.
func (in *Instance) limitColdServers(list *registry.View, view *table.View, now time.Time) {
	if view == nil {
		return
	}
	for i := range list.Servers {
		server := &list.Servers[i]
		service := view.Services[server.Service]
		if service == nil || service.ColdRate == 0 || !now.Before(server.ColdUntil) {
			continue
		}
		most := service.ColdRate*in.config.ColdOverage + in.config.ColdSlack
		in.Fleet.Server(server.Run()).Pressure.SetCold(service.ColdRate, most, server.ColdUntil, now)
	}
}

// buildServers groups the registered servers by service and role. Servers of evacuated zones
// count as draining.
func buildServers(list *registry.View, view *table.View, evacuation *heartbeat.Evacuation) *forward.Servers {
	servers := &forward.Servers{
		Position: list.Position,
		ByRun:    make(map[string]*registry.Entry, len(list.Servers)),
		ByID:     make(map[string]*registry.Entry, len(list.Servers)),
		Plain:    make(map[string][]*table.BackendView),
		Prefill:  make(map[string][]*table.BackendView),
		Decode:   make(map[string][]*table.BackendView),
	}
	for i := range list.Servers {
		entry := &list.Servers[i].Entry
		if !entry.Draining && evacuates(evacuation, entry.Zone) {
			leaving := *entry
			leaving.Draining = true
			entry = &leaving
		}
		servers.ByRun[entry.Run()] = entry
		servers.ByID[entry.ID] = entry
		backend := backendOf(entry, view)
		pools := servers.Plain
		switch entry.Role {
		case table.RolePrefill:
			pools = servers.Prefill
		case table.RoleDecode:
			pools = servers.Decode
		}
		pools[entry.Service] = append(pools[entry.Service], backend)
	}
	return servers
}

// backendOf returns the table row of a registered server.
func backendOf(entry *registry.Entry, view *table.View) *table.BackendView {
	backend := &table.BackendView{
		Name: entry.Run(), Pool: entry.Service, Role: entry.Role, Address: entry.Address,
		Zone: entry.Zone, Drain: entry.Draining,
	}
	if view == nil {
		return backend
	}
	if service := view.Services[entry.Service]; service != nil {
		backend.MemoryTokens = service.Engine.MemoryTokens
	}
	return backend
}

func backendsOf(servers *forward.Servers) map[string]*table.BackendView {
	backends := make(map[string]*table.BackendView, len(servers.ByRun))
	for _, pools := range []map[string][]*table.BackendView{servers.Plain, servers.Prefill, servers.Decode} {
		for _, pool := range pools {
			for _, backend := range pool {
				backends[backend.Name] = backend
			}
		}
	}
	return backends
}

// logServers logs each server that appeared, changed, expired or was removed.
func logServers(before, after *registry.View) {
	if before == nil {
		before = &registry.View{}
	}
	for i := range after.Servers {
		server := &after.Servers[i]
		old := before.Find(server.ID)
		switch {
		case old == nil || old.Entry != server.Entry || (old.Expired && !server.Expired):
			if old != nil && old.Born != server.Born {
				klog.InfoS("Server restarted and the state of its previous run was dropped", "server", server.Run(), "before", old.Run(), "position", after.Position)
			}
			klog.InfoS("Server added or updated", "server", server.Run(), "service", server.Service, "address", server.Address, "zone", server.Zone,
				"role", server.Role, "draining", server.Draining, "position", after.Position)
		case server.Expired && !old.Expired:
			// The entry may return, so the server stays on this instance's list until DropAt.
			klog.InfoS("Server entry expired; keeping the server for a grace period", "server", server.Run(), "usedForMillis", server.DropAt.Sub(after.Read).Milliseconds(), "position", after.Position)
		}
	}
	for i := range before.Servers {
		if server := &before.Servers[i]; after.Find(server.ID) == nil {
			klog.InfoS("Server removed", "server", server.Run(), "position", after.Position)
		}
	}
}
