package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/table"
)

// Limits on teams apply to all instances together (package allotment). This file decides which
// instances count as in contact for that, and which share of the limits this instance may grant.

// slackUsed is the share of the tolerated excess over a team's burst (Config.AllotmentSlack) that
// is added to the capacity of each team's token bucket. The rest covers what instances admit before
// they receive each other's updates. That is about 130,000 tokens where a team with 213,000 tokens
// a second requests four times that rate. An excess of a tenth of the bound is tolerated in
// addition.
const slackUsed = 0.5

// applyLimits applies the team limits of a table to the ledger.
func (in *Instance) applyLimits(view *table.View, now time.Time) {
	limits := make(map[string]allotment.Limit)
	for name, team := range view.Teams {
		if team.Allotment.Rate > 0 {
			limits[name] = allotment.Limit{Rate: team.Allotment.Rate, Burst: team.Allotment.Burst}
		}
	}
	in.Allotments.SetLimits(limits, now)
}

// forgetSiblings drops the records of siblings that are no longer known.
func (in *Instance) forgetSiblings() {
	view := in.members.View()
	in.Allotments.Forget(func(sibling string) bool {
		_, known := view.Find(sibling)
		return known
	})
}

// applySpent applies a sibling's report of what teams have used. The members of a zone send it
// to their hubs. Where there are no hubs, all instances send it to each other.
func (in *Instance) applySpent(message heartbeat.Message, now time.Time) {
	from := message.From
	if len(message.Spent) > 0 {
		in.Allotments.ApplySpent(allotment.Sender{
			Name: from.Name, Incarnation: uint64(from.Incarnation), Zone: from.Zone, SameZone: from.Zone == in.config.Zone,
		}, message.Spent, now)
	}
	digest := message.Digest
	switch {
	case digest == nil || !digest.Summed:
	case digest.Zone:
		in.Allotments.ApplyZone(allotment.Sender{
			Name: from.Name, Incarnation: uint64(from.Incarnation), Zone: from.Zone, Started: now.Add(-from.Uptime),
		}, digest.Teams, now)
	default:
		next := in.adopted.Load().next(now)
		in.adopted.Store(&next)
		update := allotment.HubUpdate{Levels: digest.Teams, Known: in.started.Add(digest.ReceiverUptime), Started: now.Add(-from.Uptime)}
		if in.followsHub() {
			update.Due = now.Add(next.pause(in.config.HubBeatEvery))
		}
		in.Allotments.ApplyHubUpdate(update, now)
	}
}

// adoption holds when an instance last adopted an update from its hub, and the longest recent
// interval between two adoptions. A hub of many members and servers sends digests less often.
// With 100 members and 3,000 servers it sends one each 0.4 s. A member that took such an
// interval for silence would alternate between the full rate and its own share.
type adoption struct {
	at      time.Time
	longest time.Duration
}

const (
	// adoptionMemory is over about how many hub digests the longest interval is remembered, since
	// urgent digests come between the others. By the mean interval the next update would seem
	// late although it is not. A team that requests 0.8 of its rate would then be served 0.94 of
	// that, and with the longest interval it is served all of it
	// (TestATeamIsServedWhereDigestsAreRare). missedDigests is how many digests may be missing,
	// since datagrams are lost now and then.
	adoptionMemory = 16
	missedDigests  = 2
	// longestAdoption bounds the interval, since the interval after an outage does not reflect
	// the usual pauses.
	longestAdoption = 400 * time.Millisecond
)

// next returns the record after an update from the hub is adopted at the given time. a is the
// previous record, or nil for the first update.
func (a *adoption) next(now time.Time) adoption {
	if a == nil {
		return adoption{at: now}
	}
	gap := min(now.Sub(a.at), longestAdoption)
	return adoption{at: now, longest: max(gap, a.longest-a.longest/adoptionMemory)}
}

// lateDigest is by which factor the next pause may exceed the longest recent one.
const lateDigest = 1.2

// pause returns the time within which the next digest should arrive. Its minimum is the pause of
// hubs with little to send.
func (a *adoption) pause(least time.Duration) time.Duration {
	return time.Duration(lateDigest * float64(max(least, a.longest)))
}

// fresh reports whether the last update of the balances from the hub is recent enough to rely on.
func (a *adoption) fresh(now time.Time, least time.Duration) bool {
	return a != nil && now.Sub(a.at) <= max(least, missedDigests*a.longest)
}

// shareAllotments sets the share of the team limits that this instance grants. Siblings that are
// known to be alive but are not in contact may meanwhile grant their own shares.
func (in *Instance) shareAllotments(now time.Time) {
	in.Allotments.SetInstances(in.budgetInstances(now))
	if in.followsHub() {
		in.Allotments.SetShare(in.followedShare(now), now)
		return
	}
	in.Allotments.DropHub(now)
	in.Allotments.SetShare(in.contactShare(now), now)
}

// followsHub reports whether this instance learns the balances of teams from a hub.
func (in *Instance) followsHub() bool { return in.usesHubs() && !in.hubs.isHub() }

// followedShare returns the share of an instance that follows a hub. It is the full limit while
// the hub's update is fresh, and the instance's own share after that.
func (in *Instance) followedShare(now time.Time) float64 {
	if in.adopted.Load().fresh(now, in.config.AllotmentMaxAge) {
		return 1
	}
	return 1 / float64(in.budgetInstances(now))
}

// contactShare returns the share of an instance that receives other instances' reports itself.
// It is the share of all instances that are in direct contact or belong to a zone whose hub is.
func (in *Instance) contactShare(now time.Time) float64 {
	hubs := in.usesHubs()
	inContact := 1
	fresh := in.hubs.zonesInContact(now)
	for _, sibling := range in.members.View().Siblings {
		switch {
		case hubs && sibling.Zone != in.config.Zone:
			if fresh[sibling.Zone] {
				inContact++
			}
		case now.Sub(sibling.LastContact) <= in.config.DirectSilence:
			inContact++
		}
	}
	return min(float64(inContact)/float64(in.budgetInstances(now)), 1)
}
