package edge

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/subset"
)

// Where there are many servers, an instance uses a part of them (package subset) and knows no
// others: each server costs memory, and a look at each decision. Hubs know the whole list:
// they give the others their parts, and tell them the changes of these.

// countedList is a census of the servers on a list.
type countedList struct {
	of     *registry.View
	census *subset.Census
}

// census counts the servers of a list.
func (in *Instance) census(list *registry.View) *subset.Census {
	if counted := in.counted.Load(); counted != nil && counted.of == list {
		return counted.census
	}
	census := subset.NewCensus()
	for i := range list.Servers {
		census.Add(list.Servers[i].Service, list.Servers[i].Zone)
	}
	in.counted.Store(&countedList{of: list, census: census})
	return census
}

// Known counts the servers that this instance knows, whether it uses them or not.
func (in *Instance) Known() int { return len(in.registry.View().Servers) }

// instancesByZone counts the instances that serve, as far as is known.
func (in *Instance) instancesByZone() map[string]int {
	counts := map[string]int{in.config.Zone: 1}
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive || sibling.State == member.Leaving {
			counts[sibling.Zone]++
		}
	}
	return counts
}

// wouldUse is what an instance would use by a whole list, if there are so many in its zone;
// nil for all servers.
func (in *Instance) wouldUse(name, zone string, list *registry.View, near int) *subset.Subset {
	if !in.usesHubs() {
		return nil
	}
	return in.config.Subset.Of(name, zone, in.census(list), subset.Instances{All: in.Instances(), Near: near})
}

// holdsEntry says whether the server of an entry is in a subset.
func holdsEntry(uses *subset.Subset, entry *registry.Entry) bool {
	return uses.Holds(entry.ID, entry.Service, entry.Zone)
}

// keepsOf is the filter of a registry that keeps a subset.
func keepsOf(uses *subset.Subset) func(*registry.Entry) bool {
	if uses == nil {
		return nil
	}
	return func(entry *registry.Entry) bool { return holdsEntry(uses, entry) }
}

// needsWhole says whether this instance has to know the whole list.
func (in *Instance) needsWhole() bool { return !in.usesHubs() || in.hubs.isHub() }

// reviewUses decides which servers this instance uses, as long as it knows them all, and
// drops the others from the list if nobody needs them here.
func (in *Instance) reviewUses(now time.Time) {
	list := in.registry.View()
	if list.Part {
		return
	}
	uses := in.uses.Load()
	wanted := in.wouldUse(in.config.Name, in.config.Zone, list, in.instancesByZone()[in.config.Zone])
	if !in.config.Subset.Fits(uses, wanted, in.census(list)) {
		in.use(wanted, "the whole list")
		uses = wanted
	}
	if unneeded := in.hubs.wholeUnneeded(in.needsWhole(), now); uses != nil && unneeded > in.config.WholeFor {
		in.registry.Keep(keepsOf(uses))
		in.rebuild()
	}
}

// use changes which servers this instance uses.
func (in *Instance) use(uses *subset.Subset, by string) {
	in.uses.Store(uses)
	in.rebuild()
	klog.InfoS("Servers used", "all", uses == nil, "shares", uses.Shares(), "by", by,
		"servers", len(in.servers.Load().ByRun), "known", len(in.registry.View().Servers), "position", in.registry.View().Position)
}

// takeList takes in a list that a sibling has sent: all servers, or those that this instance
// is to use.
func (in *Instance) takeList(snapshot *Snapshot, from string) {
	var uses *subset.Subset
	if snapshot.Part {
		uses = subset.New(in.config.Name, in.config.Zone, snapshot.Shares)
	}
	if !in.registry.Take(*snapshot.Servers, keepsOf(uses), clock.Now()) {
		return
	}
	in.outgrown.Store(nil)
	if snapshot.Part {
		in.use(uses, from)
	} else {
		in.rebuild()
		in.reviewUses(clock.Now())
	}
	klog.InfoS("List of servers taken from a sibling", "sibling", from, "position", snapshot.Servers.Position, "part", snapshot.Part,
		"servers", len(snapshot.Servers.Entries))
}

// partFor cuts the whole list to what an instance uses, and says which shares these are.
func (in *Instance) partFor(have Have, list *registry.View) Snapshot {
	servers := list.Snapshot()
	snapshot := Snapshot{Servers: &servers}
	if have.Whole {
		return snapshot
	}
	uses := in.wouldUse(have.Name, have.Zone, list, in.instancesByZone()[have.Zone])
	stated := subset.New(have.Name, have.Zone, have.Uses)
	if uses != nil && len(have.Uses) > 0 && in.config.Subset.Fits(stated, uses, in.census(list)) {
		uses = stated
	}
	if uses == nil {
		return snapshot
	}
	snapshot.Part, snapshot.Shares = true, uses.Shares()
	kept := servers.Entries[:0]
	for _, entry := range servers.Entries {
		if holdsEntry(uses, &entry) {
			kept = append(kept, entry)
		}
	}
	servers.Entries = kept
	return snapshot
}

// reviewSubscribers notes which of those that this instance serves as a hub use shares that do
// not suit any more.
func (in *Instance) reviewSubscribers() {
	list := in.registry.View()
	if list.Part {
		return
	}
	byZone, census := in.instancesByZone(), in.census(list)
	for name, to := range in.hubs.current() {
		if to.zone != in.config.Zone || !to.part {
			continue
		}
		wanted := in.wouldUse(name, to.zone, list, byZone[to.zone])
		in.hubs.setOutgrown(name, !in.config.Subset.Fits(to.uses, wanted, census))
	}
}
