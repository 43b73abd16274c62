package edge

import (
	"time"

	"github.com/mastwheel/mastwheel/allotment"
	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/table"
)

// What teams may use is bounded over all instances (package allotment). Here it is
// decided whom an instance hears for that, and how much it may hand out by it.

// slackUsed is the part of what the users tolerate beyond a team's burst that teams may
// use at once. The other part is for what instances admit before they hear of each other:
// some 130,000 tokens where a team of 213,000 a second asks for four times that, beside
// which a tenth of the bound is tolerated too.
const slackUsed = 0.5

// takeLimits has the ledger go by the limits of a table.
func (in *Instance) takeLimits(view *table.View, now time.Time) {
	limits := make(map[string]allotment.Limit)
	for name, team := range view.Teams {
		if team.Allotment.Rate > 0 {
			limits[name] = allotment.Limit{Rate: team.Allotment.Rate, Burst: team.Allotment.Burst}
		}
	}
	in.Allotments.SetLimits(limits, now)
}

// forgetSiblings drops what was followed of siblings that are not known any more.
func (in *Instance) forgetSiblings() {
	view := in.members.View()
	in.Allotments.Forget(func(sibling string) bool {
		_, known := view.Find(sibling)
		return known
	})
}

// takeSpent takes in what a sibling says that teams have used. The members of a zone send
// it to their hubs, and where there are no hubs all send it to each other.
func (in *Instance) takeSpent(message heartbeat.Message, now time.Time) {
	from := message.From
	if len(message.Spent) > 0 {
		in.Allotments.Heard(from.Name, uint64(from.Incarnation), message.Spent, from.Zone == in.config.Zone, now)
	}
	digest := message.Digest
	switch {
	case digest == nil || !digest.Summed:
	case digest.Zone:
		in.Allotments.HeardZone(from.Name, uint64(from.Incarnation), digest.Teams, now)
	default:
		next := in.adopted.Load().next(now)
		in.adopted.Store(&next)
		word := allotment.Word{Levels: digest.Teams, Known: in.started.Add(digest.Echo)}
		if in.followsHub() {
			word.Due = now.Add(next.pause(in.config.HubBeatEvery))
		}
		in.Allotments.Adopt(word, now)
	}
}

// adoption is when an instance took the word of its hub last, and how long apart it did so
// at the most of late. A hub of many members and servers sends digests less often: with 100 members
// and 3,000 servers each 0.4 s, and a member that took that for silence would go back and
// forth between the whole rate and its own part.
type adoption struct {
	at      time.Time
	longest time.Duration
}

const (
	// adoptionMemory is over about how many digests the longest pause is remembered: urgent
	// ones come between the others. By the mean pause the next word seems late though it is
	// not, and a team that asks for 0.8 of its rate is served 0.94 of that, for all of it
	// (TestATeamIsServedWhereDigestsAreRare). missedDigests is how many may be missing:
	// datagrams are lost now and then.
	adoptionMemory = 16
	missedDigests  = 2
	// longestAdoption bounds that: after an outage it says nothing of the pauses.
	longestAdoption = 400 * time.Millisecond
)

// next is the adoption after one at a moment.
func (a *adoption) next(now time.Time) adoption {
	if a == nil {
		return adoption{at: now}
	}
	gap := min(now.Sub(a.at), longestAdoption)
	return adoption{at: now, longest: max(gap, a.longest-a.longest/adoptionMemory)}
}

// lateDigest is how much longer than the longest pause of late the next one may be.
const lateDigest = 1.2

// pause is until when the next digest should have come. Its least is that of hubs with
// little to send.
func (a *adoption) pause(least time.Duration) time.Duration {
	return time.Duration(lateDigest * float64(max(least, a.longest)))
}

// fresh says whether the hub's word still counts.
func (a *adoption) fresh(now time.Time, least time.Duration) bool {
	return a != nil && now.Sub(a.at) <= max(least, missedDigests*a.longest)
}

// shareAllotments sets how much of what teams may use this instance hands out by what it
// hears. Those that it does not hear, and that live as far as it knows, may hand out
// their own part meanwhile.
func (in *Instance) shareAllotments(now time.Time) {
	if in.followsHub() {
		in.Allotments.SetShare(in.followedShare(now), now)
		return
	}
	in.Allotments.DropWord(now)
	in.Allotments.SetShare(in.heardShare(now), now)
}

// followsHub says whether this instance learns from a hub what teams have left.
func (in *Instance) followsHub() bool { return in.usesHubs() && !in.hubs.isHub() }

// followedShare is the share of an instance that goes by its hub's word: all of it while
// that counts, its own part later.
func (in *Instance) followedShare(now time.Time) float64 {
	if in.adopted.Load().fresh(now, in.config.AllotmentFresh) {
		return 1
	}
	return 1 / float64(in.sharing(now))
}

// heardShare is the share of an instance that hears others itself: the part of all
// instances that it hears, or whose zone's hub it does.
func (in *Instance) heardShare(now time.Time) float64 {
	hubs := in.usesHubs()
	heard := 1
	fresh := in.hubs.heardZones(now)
	for _, sibling := range in.members.View().Siblings {
		switch {
		case hubs && sibling.Zone != in.config.Zone:
			if fresh[sibling.Zone] {
				heard++
			}
		case now.Sub(sibling.Heard) <= in.config.DirectSilence:
			heard++
		}
	}
	return min(float64(heard)/float64(in.sharing(now)), 1)
}
