package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
)

// Where there are many servers, an instance uses a subset of them (package subset) and knows no
// other servers, since each server costs memory and a check at each decision. Hubs know the full
// list of servers. They send the other instances their subsets and the changes of these.

// countedList is a list of servers with the number of its servers by service and zone.
type countedList struct {
	of     *registry.View
	census *subset.Census
}

// census counts the servers of a list by service and zone.
func (in *Instance) census(list *registry.View) *subset.Census {
	if counted := in.listCensus.Load(); counted != nil && counted.of == list {
		return counted.census
	}
	census := subset.NewCensus()
	for i := range list.Servers {
		census.Add(list.Servers[i].Service, list.Servers[i].Zone)
	}
	in.listCensus.Store(&countedList{of: list, census: census})
	return census
}

// Known counts the servers that this instance knows, whether it uses them or not.
func (in *Instance) Known() int { return len(in.registry.View().Servers) }

// instancesByZone counts the known live instances by zone.
func (in *Instance) instancesByZone() map[string]int {
	counts := map[string]int{in.config.Zone: 1}
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive || sibling.State == member.Leaving {
			counts[sibling.Zone]++
		}
	}
	return counts
}

// subsetFor returns the subset of a full list of servers that an instance should use, given the
// number of instances in its zone. It returns nil for all servers.
func (in *Instance) subsetFor(name, zone string, list *registry.View, near int) *subset.Subset {
	if !in.usesHubs() {
		return nil
	}
	return in.config.Subset.Select(name, zone, in.census(list), subset.Instances{All: in.Instances(), Near: near})
}

// holdsEntry reports whether the server of an entry is in a subset.
func holdsEntry(uses *subset.Subset, entry *registry.Entry) bool {
	return uses.Contains(entry.ID, entry.Service, entry.Zone)
}

// subsetFilter returns the registry filter that keeps the servers of a subset.
func subsetFilter(uses *subset.Subset) func(*registry.Entry) bool {
	if uses == nil {
		return nil
	}
	return func(entry *registry.Entry) bool { return holdsEntry(uses, entry) }
}

// needsFullList reports whether this instance needs the full list of servers.
func (in *Instance) needsFullList() bool { return !in.usesHubs() || in.hubs.isHub() }

// reviewSubset decides which servers this instance uses while it knows all of them. It drops the
// other servers from its list once this instance no longer needs the full list.
func (in *Instance) reviewSubset(now time.Time) {
	list := in.registry.View()
	if list.IsSubset {
		return
	}
	uses := in.uses.Load()
	wanted := in.subsetFor(in.config.Name, in.config.Zone, list, in.instancesByZone()[in.config.Zone])
	if !in.config.Subset.Fits(uses, wanted, in.census(list)) {
		in.setSubset(wanted, "the full list")
		uses = wanted
	}
	if unneeded := in.hubs.fullListUnneededFor(in.needsFullList(), now); uses != nil && unneeded > in.config.FullListKeptFor {
		in.registry.SetFilter(subsetFilter(uses))
		in.rebuild()
	}
}

// setSubset changes the subset that this instance uses.
func (in *Instance) setSubset(uses *subset.Subset, by string) {
	in.uses.Store(uses)
	in.rebuild()
	klog.InfoS("Subset of servers that this instance uses changed", "all", uses == nil, "shares", uses.Shares(), "by", by,
		"servers", len(in.servers.Load().ByRun), "known", len(in.registry.View().Servers), "position", in.registry.View().Position)
}

// applyList applies a list of servers that a sibling has sent. It holds all servers, or the
// subset that this instance is to use.
func (in *Instance) applyList(snapshot *Snapshot, from string) {
	var uses *subset.Subset
	if snapshot.IsSubset {
		uses = subset.New(in.config.Name, in.config.Zone, snapshot.Shares)
	}
	in.Origins.noteReplaced(in.list.confirmed(), clock.Now())
	if !in.registry.ResetWithFilter(in.acceptSnapshot(*snapshot.Servers), subsetFilter(uses), clock.Now()) {
		return
	}
	in.outgrown.Store(nil)
	if snapshot.IsSubset {
		in.setSubset(uses, from)
	} else {
		in.rebuild()
		in.reviewSubset(clock.Now())
	}
	klog.InfoS("List of servers received from a sibling", "sibling", from, "position", snapshot.Servers.Position, "part", snapshot.IsSubset,
		"servers", len(snapshot.Servers.Entries))
}

// subsetSnapshot returns the subset of the full list of servers that an instance uses, with the
// shares that form it.
func (in *Instance) subsetSnapshot(have Have, list *registry.View) Snapshot {
	servers := list.Snapshot()
	snapshot := Snapshot{Servers: &servers}
	if have.NeedsFullList {
		return snapshot
	}
	uses := in.subsetFor(have.Name, have.Zone, list, in.instancesByZone()[have.Zone])
	reported := subset.New(have.Name, have.Zone, have.Shares)
	if uses != nil && len(have.Shares) > 0 && in.config.Subset.Fits(reported, uses, in.census(list)) {
		uses = reported
	}
	if uses == nil {
		return snapshot
	}
	snapshot.IsSubset, snapshot.Shares = true, uses.Shares()
	kept := servers.Entries[:0]
	for _, entry := range servers.Entries {
		if holdsEntry(uses, &entry) {
			kept = append(kept, entry)
		}
	}
	servers.Entries = kept
	return snapshot
}

// reviewSubscribers checks which of the subscribers of this hub use subsets that are no longer
// suitable.
func (in *Instance) reviewSubscribers() {
	list := in.registry.View()
	if list.IsSubset {
		return
	}
	byZone, census := in.instancesByZone(), in.census(list)
	for name, to := range in.hubs.current() {
		if to.zone != in.config.Zone || !to.part {
			continue
		}
		wanted := in.subsetFor(name, to.zone, list, byZone[to.zone])
		in.hubs.setOutgrown(name, !in.config.Subset.Fits(to.uses, wanted, census))
	}
}
