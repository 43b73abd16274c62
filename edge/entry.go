package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/member"
)

// Entry returns the addresses that callers of a region and zone should use: those of this
// instance and of the live siblings, limited to that region if any of them are there. If one
// answer can't hold all addresses, those of the caller's zone come first.
func (in *Instance) Entry(region, zone string) []string {
	var all, near []member.Info
	add := func(info member.Info) {
		all = append(all, info)
		if region != "" && in.config.RegionOf[info.Zone] == region {
			near = append(near, info)
		}
	}
	if in.Ready() {
		add(in.info())
	}
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive {
			add(sibling.Info)
		}
	}
	all, near = withLinks(all), withLinks(near)
	if len(near) > 0 {
		all = near
	}
	first := min(int(in.deps.Random()*float64(len(all)+1)), len(all))
	all = slices.Concat(all[first:], all[:first])
	if in.config.EntriesAtMost > 0 && len(all) > in.config.EntriesAtMost {
		slices.SortStableFunc(all, func(a, b member.Info) int { return compareBools(a.Zone != zone, b.Zone != zone) })
	}
	addresses := make([]string, 0, len(all))
	for _, info := range all {
		addresses = append(addresses, info.Caller)
	}
	return addresses
}

// withLinks returns the instances that reach the servers, or all if none does. The others can only
// hand requests over.
func withLinks(all []member.Info) []member.Info {
	linked := slices.DeleteFunc(slices.Clone(all), func(info member.Info) bool { return info.CutOff })
	if len(linked) == 0 {
		return all
	}
	return linked
}

// SetCutOff records whether this instance reaches no server of some service, and tells the siblings.
func (in *Instance) SetCutOff(cutOff bool) {
	if in.cutOff.Swap(cutOff) != cutOff {
		in.sendHeartbeats()
	}
}

// Targets returns the siblings that may serve requests of this instance, in a random order, those of
// its own zone first. Siblings that do not reach the servers come last.
func (in *Instance) Targets() []forward.Sibling {
	var infos []member.Info
	for _, sibling := range in.members.View().Siblings {
		if sibling.State == member.Alive {
			infos = append(infos, sibling.Info)
		}
	}
	if len(infos) == 0 {
		return nil
	}
	first := min(int(in.deps.Random()*float64(len(infos))), len(infos)-1)
	infos = slices.Concat(infos[first:], infos[:first])
	slices.SortStableFunc(infos, func(a, b member.Info) int {
		return cmp.Or(compareBools(a.CutOff, b.CutOff), compareBools(a.Zone != in.config.Zone, b.Zone != in.config.Zone))
	})
	targets := make([]forward.Sibling, 0, len(infos))
	for _, info := range infos {
		targets = append(targets, forward.Sibling{Name: info.Name, Address: info.Peer})
	}
	return targets
}

// LeavingSince returns since when a sibling has been known to shut down; zero if it does not.
func (in *Instance) LeavingSince(name string) time.Time {
	sibling, _ := in.members.Find(name)
	return sibling.LeavingSince
}

// Settled reports whether this instance knows most of the serving instances. An instance that
// has just started would send all its callers to the few instances that it knows.
func (in *Instance) Settled() bool {
	return clock.Since(in.started) >= in.config.HubGrace && 2*(in.Serving()+1) >= in.Instances()
}

// HubState returns how many instances this one serves as a hub, and the time since its own hubs
// last answered.
func (in *Instance) HubState() (serves int, silence time.Duration) { return in.hubs.state(clock.Now()) }

// UnusedStates returns how many states of siblings were refused because another hub had reported
// newer ones, and how many were ignored because a former hub of this instance reported them.
func (in *Instance) UnusedStates() (outdated, former uint64) {
	return in.hubs.outdatedStates.Load(), in.hubs.formerStates.Load()
}

// followRoster puts this instance on the list of instances and reads from it the siblings that
// neither a seed nor another sibling names. It reads the list every RosterAlone while it knows no
// sibling, and otherwise rarely. In each period about rosterReaders instances read it.
func (in *Instance) followRoster(ctx context.Context) {
	announced, failures := in.announce(ctx), 0
	in.pause(ctx, in.config.RosterWait)
	for ctx.Err() == nil {
		alone := len(in.members.View().Siblings) == 0
		if alone || in.deps.Random()*float64(in.Instances()) < rosterReaders {
			failures = in.readRoster(ctx, failures)
		}
		if !announced {
			announced = in.announce(ctx)
		}
		switch {
		case !announced || failures > 0:
			in.pause(ctx, in.backoff(max(failures, 1)))
		case alone:
			in.pause(ctx, in.config.RosterAlone)
		default:
			in.pause(ctx, in.config.RosterEvery)
		}
	}
}

// rosterReaders is about how many instances read the list of instances in each period. Only
// instances that know no sibling depend on the list, and each call is charged for.
const rosterReaders = 4

// announce puts this instance on the list of instances unless it is stopping. It reports
// whether nothing is left to do.
func (in *Instance) announce(ctx context.Context) bool {
	if in.stopping.Load() {
		return true
	}
	err := in.deps.Roster.Announce(ctx, in.config.Name, in.config.SiblingAddress)
	if err != nil {
		logStore("Failed to add this instance to the list of instances", err)
	}
	return err == nil
}

// readRoster adds the addresses on the list of instances to the known peers, and returns the
// number of failures in a row.
func (in *Instance) readRoster(ctx context.Context, failures int) int {
	addresses, err := in.deps.Roster.Addresses(ctx)
	if err != nil {
		return failures + 1
	}
	for name, address := range addresses {
		if name != in.config.Name {
			in.peers.addAddress(address, clock.Now())
		}
	}
	return 0
}
