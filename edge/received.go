package edge

import (
	"net/netip"
	"slices"

	"k8s.io/klog/v2"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/registry"
)

// Siblings may run an older build that passes on what this one refuses, and a datagram may be damaged on its way. Values
// that no instance sends are left out before a message is applied, since one of them could be kept for as long as this
// instance runs, or be sent on.

const (
	// maxInstanceNameBytes bounds the name and the zone of an instance in bytes. The name is a key of the list of
	// instances.
	maxInstanceNameBytes = 255
	// maxAddressBytes is the length of the longest "ip:port" in bytes.
	maxAddressBytes = 64
	// maxInstances is far above the number of instances to design for, 1,400.
	maxInstances = 1 << 16
	// maxAddresses bounds the addresses to which heartbeats may go.
	maxAddresses = 4096
	// maxCapacity is the processor time of a thousand cores, in thousandths of a core.
	maxCapacity = 1_000_000
	// maxReadRecords bounds how far one message may advance a position. An answer of the store of 8 MB has at most so
	// many records, each with a length of 4 bytes.
	maxReadRecords = 2 << 20
	// refusedPerSecond and refusedBurst bound the log lines about such values. A sibling repeats them with its heartbeats.
	refusedPerSecond = 0.1
	refusedBurst     = 10
	// maxEvacuated bounds the evacuated zones. There are some ten zones in all.
	maxEvacuated = 256
)

// accept leaves out of a message what no instance sends. It returns false if the message is to be dropped.
func (in *Instance) accept(message *heartbeat.Message) bool {
	before := in.refused.Load()
	from := message.From
	// Records of origin, and answers, come without a sender.
	if from != (member.Info{}) && !isInfo(from) {
		in.refused.Add(1)
		if in.refusedLogLimit.Allow(clock.Now()) {
			klog.InfoS("Dropped a message whose sender no instance can be", "incarnation", from.Incarnation)
		}
		return false
	}
	message.Peers = in.kept(message.Peers, isAddress)
	message.Updates = in.acceptUpdates(message.Updates)
	message.Digest = in.acceptDigest(message.Digest)
	if evacuation := message.Evacuation; evacuation != nil && !isEvacuation(evacuation) {
		in.refused.Add(1)
		message.Evacuation = nil
	}
	if count := in.refused.Load() - before; count > 0 && in.refusedLogLimit.Allow(clock.Now()) {
		klog.InfoS("Left out values that no instance sends of a sibling's message", "sibling", from.Name, "address", from.Peer, "values", count)
	}
	return true
}

// kept returns the texts that satisfy holds, and counts the others.
func (in *Instance) kept(texts []string, holds func(string) bool) []string {
	kept := slices.DeleteFunc(slices.Clone(texts), func(text string) bool { return !holds(text) })
	in.refused.Add(uint64(len(texts) - len(kept)))
	return kept
}

// isInfo reports whether an instance can report this about itself. An observation, and the heartbeat of a known run, may
// leave out the addresses.
func isInfo(info member.Info) bool {
	switch {
	case info.Name == "" || max(len(info.Name), len(info.Zone), len(info.Cell)) > maxInstanceNameBytes:
		return false
	case len(info.Caller) > maxAddressBytes || (info.Peer != "" && !isAddress(info.Peer)):
		return false
	}
	return info.Uptime >= 0 && info.Capacity >= 0 && info.Capacity <= maxCapacity
}

func isAddress(address string) bool {
	_, err := netip.ParseAddrPort(address)
	return err == nil && len(address) <= maxAddressBytes
}

func isEvacuation(evacuation *heartbeat.Evacuation) bool {
	isLong := func(zone string) bool { return len(zone) > maxInstanceNameBytes }
	return len(evacuation.Zones) <= maxEvacuated && !slices.ContainsFunc(evacuation.Zones, isLong)
}

// acceptDigest leaves the observations out of a digest that no hub sends, and an odd number of instances.
func (in *Instance) acceptDigest(digest *heartbeat.Digest) *heartbeat.Digest {
	if digest == nil {
		return nil
	}
	accepted := *digest
	if digest.Instances < 0 || digest.Instances > maxInstances {
		in.refused.Add(1)
		accepted.Instances = 0
	}
	accepted.Observations = slices.DeleteFunc(slices.Clone(digest.Observations), func(o heartbeat.Observation) bool {
		return !isInfo(o.Info) || !isState(o.State)
	})
	in.refused.Add(uint64(len(digest.Observations) - len(accepted.Observations)))
	return &accepted
}

func isState(state member.State) bool {
	return slices.Contains([]member.State{member.Alive, member.Suspect, member.Dead, member.Leaving}, state)
}

// acceptUpdates returns updates in which entries that no server can have written name no server. It returns nil if the
// changes do not lie between two positions of one era that a read of the store may have led to.
func (in *Instance) acceptUpdates(updates *heartbeat.Updates) *heartbeat.Updates {
	if updates == nil {
		return nil
	}
	if updates.To < updates.From || updates.To-updates.From > maxReadRecords || updates.To.Era() != updates.From.Era() {
		in.refused.Add(1)
		return nil
	}
	accepted := *updates
	accepted.Changes = make([]registry.Change, 0, len(updates.Changes))
	for _, change := range updates.Changes {
		if entry := change.Entry; entry != nil && (entry.ID != change.ID || entry.Check() != nil) {
			in.refused.Add(1)
			change = registry.Change{ID: change.ID, Unusable: true}
		}
		accepted.Changes = append(accepted.Changes, change)
	}
	return &accepted
}

// acceptSnapshot returns a list of servers in which entries that no server can have written name no server.
func (in *Instance) acceptSnapshot(list registry.Snapshot) registry.Snapshot {
	accepted := registry.Snapshot{Position: list.Position, Unusable: slices.Clone(list.Unusable)}
	for _, entry := range list.Entries {
		if entry.Check() != nil {
			in.refused.Add(1)
			accepted.Unusable = append(accepted.Unusable, entry.ID)
			continue
		}
		accepted.Entries = append(accepted.Entries, entry)
	}
	return accepted
}

// PartsLeftOut returns how many parts of messages to siblings were left out because they did not fit into a datagram.
func (in *Instance) PartsLeftOut() uint64 { return in.partsLeftOut.Load() }

// RefusedValues returns how many values of siblings' messages were left out because no instance sends them.
func (in *Instance) RefusedValues() uint64 { return in.refused.Load() }
