// Package allotment decides whether a team may have one more request served. Each team has a
// rate and a burst over all instances together. The package does no I/O and reads no clock.
//
// Every instance keeps a token bucket for each team, with the team's full rate. It subtracts
// what it admits itself and what other instances report that they have admitted. These reports
// arrive some 40 to 160 ms later, so a team may once exceed its limit by what all instances
// admit in that time. Its long-term rate is exact, since the excess becomes a debt. An
// instance that does not receive messages from all others uses only its share of the rate.
//
// Fixed shares of the rate would need no messages, but with 60 instances each of the smallest
// teams of the reference workload (the load that the service is designed for) would have a
// sixteenth of a request a second at each instance (TestFixedSharesStarveSmallTeams).
package allotment

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what a team may use, in units of its own: requests or tokens.
type Limit struct {
	// Rate is in units a second. Burst is what may be used in addition at any one moment.
	Rate  float64
	Burst float64
}

// Config configures a Ledger.
type Config struct {
	// Slack is what a team may use beyond its burst at any one moment, in units, if no Bounds are
	// set. It avoids refusals for teams that keep to their rate on average when some of their
	// requests arrive together.
	Slack float64
	// RepeatFor is how long a change of a total is repeated to other instances. It is longer
	// than several lost datagrams in a row.
	RepeatFor time.Duration
	// RememberFor is how long the history of this instance's own total is kept. It is longer
	// than the total takes to come back in a message of a hub (an instance that exchanges
	// messages with other zones for its zone).
	RememberFor time.Duration
}

// DefaultConfig suits some hundreds of instances that gossip several times a second. Slack is
// set separately (SetSlack).
func DefaultConfig() Config {
	return Config{RepeatFor: 1500 * time.Millisecond, RememberFor: 3 * time.Second}
}

// ID is a hash that identifies a team in messages between siblings. Where two teams have the
// same hash, what either spends is subtracted from both. By chance that happens in one of 40
// tables with 15,000 teams.
type ID uint32

// IDOf returns a team's ID.
func IDOf(team string) ID { return ID(xxhash.Sum64String(team)) }

// Decision is whether a request is admitted, and the figures that decided it.
type Decision struct {
	Admitted bool
	// Team is the team whose bucket was checked. Cost is what the request counts as, and Balance
	// is the balance before it, both in units. A negative balance is a debt.
	Team    string
	Cost    float64
	Balance float64
	// Class is the request's class. Probability is the probability with which requests of this
	// class are admitted at this balance.
	Class       Class
	Probability float64
	// Used is the fraction used of what the team may use at one moment, from 0 to 1.
	Used float64
	// Share is the share of the team's rate that this instance could use. Known is the time
	// since the last message from other instances, or 0 if there was none.
	Share float64
	Known time.Duration
	// Wait is how long it takes until requests of this class are admitted, if no other request is
	// admitted meanwhile. With Bounds it is the time at which a refused caller should come back.
	Wait time.Duration
	// Scheduling is set if Wait comes from the schedule of returns.
	Scheduling bool
	// Scheduled is set if tokens will be available for the caller after Wait. Otherwise Wait is
	// Request.MaxWait.
	Scheduled bool
	// Source is where the balance comes from. Age is the time since it was last brought up to date
	// from there.
	Source Source
	Age    time.Duration
	// First is set for the first decision on the team since this instance started.
	First bool
}

// Source is where an instance's balance of a team comes from.
type Source string

const (
	// SourceStart is the balance with which the instance started.
	SourceStart Source = "start"
	// SourceOwn is the instance's own account, of its share or of all reports that it receives.
	SourceOwn Source = "own"
	// SourceHub is the balance that the instance's hub sent.
	SourceHub Source = "hub"
)

// Ledger holds one instance's token buckets of all teams. It is safe for concurrent use.
type Ledger struct {
	config Config
	random func() float64

	mu     sync.Mutex
	bounds Bounds
	share  float64
	// instances is the number of instances.
	instances int
	// nextUpdateDue is when the next message of the hub is expected. It is zero for an
	// instance that follows no hub.
	nextUpdateDue time.Time
	// lastContact is when the last message from other instances arrived.
	lastContact time.Time
	teams       map[string]*bucket
	byID        map[ID][]*bucket
	sources     map[sourceKey]*source
}

// sourceKey identifies totals that a sibling sends: its own, or those of the zone whose hub it
// is.
type sourceKey struct {
	sibling string
	zone    bool
}

// source is the last totals received from one run of a sibling.
type source struct {
	incarnation uint64
	totals      map[ID]int64
}

// New returns a ledger without teams, for an instance that has received nothing from other
// instances yet.
func New(config Config, random func() float64) *Ledger {
	return &Ledger{
		config: config, random: random, share: 1, instances: 1,
		teams: make(map[string]*bucket), byID: make(map[ID][]*bucket), sources: make(map[sourceKey]*source),
	}
}

// AnyLimited reports whether any team is limited.
func (l *Ledger) AnyLimited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.teams) > 0
}

// SetSlack changes Config.Slack.
func (l *Ledger) SetSlack(units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config.Slack = units
}

// SetBounds sets the service requirements. Without them all requests of a team are one class.
func (l *Ledger) SetBounds(bounds Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = bounds
}

// SetLimits applies the limits of a new table. Teams without a limit are not limited. The
// teams of the first table start with an empty bucket, apart from a small start balance: they
// may have spent their whole burst a moment ago at instances that are gone. Teams that are added
// later have spent nothing, and start with this instance's share of a full one.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := len(l.teams) == 0
	next := make(map[string]*bucket, len(limits))
	byID := make(map[ID][]*bucket, len(limits))
	for team, limit := range limits {
		a := l.teams[team]
		if a == nil {
			a = &bucket{team: team, at: now}
			if first {
				a.emptyAt = now
				a.reserve = startReserve{at: now, whole: l.startBalance(limit), share: l.share}
				a.balance = a.reserve.whole * l.share
			} else {
				// Instances without contact may learn of the team at the same time.
				a.balance = l.capacity(limit) * l.share
			}
		}
		l.refill(a, now)
		a.limit = limit
		a.balance = min(a.balance, l.capacity(limit))
		next[team] = a
		byID[IDOf(team)] = append(byID[IDOf(team)], a)
	}
	l.teams, l.byID = next, byID
}

// SetInstances sets the number of instances among which returns are scheduled.
func (l *Ledger) SetInstances(instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(instances, 1)
}

// SetShare sets the share of each team's rate that this instance may admit by what it knows:
// all of it while it receives messages from all other instances, and only its own share while
// it receives none. When the share changes, the next message of the hub is no longer expected.
func (l *Ledger) SetShare(share float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == l.share {
		return
	}
	shrinks := share/l.share < 1
	for _, a := range l.teams {
		l.refill(a, now)
		if shrinks {
			a.balance *= share / l.share
			a.reduced = true
		}
		l.restore(a, share, now)
	}
	l.share, l.nextUpdateDue = share, time.Time{}
}

// startReserve is what a bucket left to the instances that were not in contact when this one started.
// They spend of it at most, and report what they have spent as they come into contact
// (Spent.Recent).
type startReserve struct {
	at time.Time
	// whole is the start balance of all instances together.
	whole float64
	// share is the largest share that this instance has had since then.
	share float64
}

// restore credits a bucket with what the instances that come into contact after a start had at
// their disposal: their part of the start balance, and of the rate since then. Each part is
// credited once, however often the share changes. Instances that start together thus have one
// start balance and one rate, also if they find each other one by one. After Config.RepeatFor
// nothing is credited, since the reports of what was spent do not reach back further.
func (l *Ledger) restore(a *bucket, share float64, now time.Time) {
	if !l.bounds.enabled() || a.reserve.at.IsZero() || now.Sub(a.reserve.at) > l.config.RepeatFor || share <= a.reserve.share {
		return
	}
	whole := a.reserve.whole + a.limit.Rate*now.Sub(a.reserve.at).Seconds()*(1-recoveryPart)
	a.balance = min(a.balance+whole*(share-a.reserve.share), l.capacity(a.limit)*share)
	a.reserve.share = share
}

// startBalance returns the balance with which all instances together start.
func (l *Ledger) startBalance(limit Limit) float64 {
	if !l.bounds.enabled() {
		return 0
	}
	return startPart * l.bounds.tolerance(limit)
}

// Admit decides on a request of a team, and counts it if it is admitted. All requests of a
// team without a limit are admitted.
func (l *Ledger) Admit(request Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.teams[request.Team]
	if a == nil {
		return Decision{Admitted: true, Team: request.Team, Cost: request.Cost, Class: request.Class, Probability: 1}
	}
	l.refill(a, now)
	if a.reduced {
		// When all instances are cut off from each other, each has a share that is less than
		// one request. If each of them admitted its first request, 60 instances would admit 60
		// requests together.
		a.balance -= l.random() * request.Cost * (1 - l.share)
		a.reduced = false
	}
	ramp := l.rampOf(a, request.Class, now)
	decision := Decision{
		Team: request.Team, Cost: request.Cost, Class: request.Class, Balance: a.balance, Share: l.share,
		Probability: ramp.probability(a.balance),
	}
	decision.Admitted = l.draw(decision.Probability)
	decision.Source, decision.Age = l.balanceSource(a, now)
	decision.First, a.decided = !a.decided, true
	if most := l.capacity(a.limit) * l.share; most > 0 {
		decision.Used = min(max(1-a.balance/most, 0), 1)
	}
	if !l.lastContact.IsZero() {
		decision.Known = now.Sub(l.lastContact)
	}
	if decision.Admitted {
		a.consume(request.Cost, now, l.config.RememberFor)
	} else {
		decision.Wait = boundedSeconds(max(ramp.high-a.balance, 0) / (a.limit.Rate * l.share))
		if l.bounds.enabled() {
			decision.Scheduling = true
			decision.Wait, decision.Scheduled = l.schedule(a, request, decision.Wait, now)
		}
	}
	return decision
}

// longestDelay bounds the delays that are computed from rates. A team's rate may be so low that a delay is longer than a
// time.Duration can hold. No caller waits for that long.
const longestDelay = 24 * time.Hour

// boundedSeconds converts a number of seconds to a delay of at most longestDelay.
func boundedSeconds(seconds float64) time.Duration {
	return time.Duration(min(seconds, longestDelay.Seconds()) * float64(time.Second))
}

// schedule returns the time after which a refused caller should come back, by virtual scheduling
// (generic cell rate algorithm): each refusal advances the theoretical arrival time by the request's
// cost at this instance's part of the team's rate. free is the time until requests of the class are
// admitted. A caller that cannot be served within Request.MaxWait gets that delay and takes no
// place in the schedule. The schedule holds no tokens, so a caller that does not come back blocks
// nobody. Plain calls have a schedule of their own, since they do not wait for streams.
func (l *Ledger) schedule(a *bucket, request Request, free time.Duration, now time.Time) (wait time.Duration, scheduled bool) {
	arrival := &a.plainArrival
	if request.Class.Stream {
		arrival = &a.streamArrival
	}
	cost := boundedSeconds(request.Cost * float64(l.instances) / a.limit.Rate)
	at := now.Add(free)
	if arrival.After(at) {
		at = *arrival
	} else {
		// Instances that refuse requests at the same time know the same balance, so their schedules
		// begin at different times.
		at = at.Add(time.Duration(l.random() * float64(cost)))
	}
	wait = at.Sub(now)
	if wait > request.MaxWait {
		return request.MaxWait, false
	}
	*arrival = at.Add(cost)
	return wait, true
}

// balanceSource returns where the balance of a bucket comes from, and its age.
func (l *Ledger) balanceSource(a *bucket, now time.Time) (Source, time.Duration) {
	switch {
	case !l.nextUpdateDue.IsZero() && !a.adoptedAt.IsZero():
		return SourceHub, now.Sub(a.adoptedAt)
	case !a.reserve.at.IsZero() && now.Sub(a.reserve.at) <= l.config.RepeatFor:
		return SourceStart, now.Sub(a.reserve.at)
	case l.lastContact.IsZero():
		return SourceOwn, 0
	}
	return SourceOwn, now.Sub(l.lastContact)
}

// draw returns true with the given probability.
func (l *Ledger) draw(probability float64) bool {
	return probability >= 1 || (probability > 0 && l.random() < probability)
}

// rampOf returns the range of balances over which a class is admitted with a rising probability.
// Without bounds every class is admitted while the balance is positive.
func (l *Ledger) rampOf(a *bucket, class Class, now time.Time) ramp {
	if !l.bounds.enabled() {
		return ramp{low: 0, high: math.SmallestNonzeroFloat64}
	}
	debt := debtPart * l.bounds.tolerance(a.limit)
	return rampOf(class, l.capacity(a.limit), debt, l.share, now.Sub(a.emptyAt))
}

// Refund returns the cost of a request that never ran to its team's balance.
func (l *Ledger) Refund(team string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.teams[team]; a != nil {
		l.refill(a, now)
		a.consume(-cost, now, l.config.RememberFor)
		a.balance = min(a.balance, l.capacity(a.limit)*l.share)
	}
}

// capacity returns the largest balance that a team may have.
func (l *Ledger) capacity(limit Limit) float64 {
	if l.bounds.enabled() {
		return limit.Burst + capacityPart*l.bounds.tolerance(limit)
	}
	return limit.Burst + l.config.Slack
}

// refill brings the balance of a bucket up to date.
func (l *Ledger) refill(a *bucket, now time.Time) {
	if now.After(a.at) {
		most := max(l.capacity(a.limit)*l.share, a.balance)
		a.balance = min(a.balance+a.limit.Rate*(l.refillTime(a.at, now)-l.recoveryTime(a, now)).Seconds(), most)
		a.at = now
	}
}

// refillTime returns for how long the team's full rate would have to be added to give the
// change of a balance between two moments. It is negative if the balance falls.
func (l *Ledger) refillTime(from, to time.Time) time.Duration {
	passed := to.Sub(from)
	overdue := time.Duration(0)
	if !l.nextUpdateDue.IsZero() {
		overdue = min(max(to.Sub(l.nextUpdateDue), 0), passed)
	}
	return time.Duration(float64(passed-overdue)*l.share - float64(overdue)*overdueSpendFactor)
}

// recoveryTime returns for how long the team's full rate is withheld from a bucket since its balance
// was last brought up to date, to recover what was forgotten at the start.
func (l *Ledger) recoveryTime(a *bucket, now time.Time) time.Duration {
	if !l.bounds.enabled() || a.emptyAt.IsZero() {
		return 0
	}
	until := a.emptyAt.Add(l.bounds.Window)
	if now.Before(until) {
		until = now
	}
	return time.Duration(float64(max(until.Sub(a.at), 0)) * l.share * recoveryPart)
}

// overdueSpendFactor is what other instances are assumed to spend of a team, as a multiple of
// its rate, while the next message of the hub is overdue. All members of a hub (the instances
// that receive its messages) have the same balance. When the balance of a busy team was small,
// each of 119 members admitted that much after its hubs had stopped sending, in all 1.10 of the
// tolerance (TestATeamIsKeptToItsRateWithoutHubs). A team that has used less than its rate has
// a balance large enough to be served meanwhile.
const overdueSpendFactor = 4.0

// bucket is one instance's token bucket for one team.
type bucket struct {
	team  string
	limit Limit
	// balance is what the team has left at the time at, in units. A negative balance is a
	// debt.
	balance float64
	at      time.Time
	// emptyAt is when the instance, or later the hub whose balance it has adopted, started with an
	// empty bucket. It is zero for a team that was added later.
	emptyAt time.Time
	// adoptedAt is when the balance was last replaced by that of a hub.
	adoptedAt time.Time
	// decided is set after the first decision.
	decided bool
	// plainArrival and streamArrival are the theoretical arrival times of the next refused plain
	// call and stream.
	plainArrival, streamArrival time.Time
	// reserve is what this instance left to others when it started.
	reserve startReserve
	// reduced is set when the balance was reduced to this instance's share and no request has
	// arrived since.
	reduced bool
	// ownTotal is what this instance has admitted in all. zoneTotal is what the instances of
	// its zone have, as far as this instance has received it.
	ownTotal  float64
	zoneTotal float64
	// byZone is what this instance has deducted for each other zone since it started.
	byZone map[string]int64
	// lastSpent is when any instance last admitted or refunded a request, as far as this
	// instance knows.
	lastSpent time.Time
	// history is the course of ownTotal, the oldest entry first.
	history []historyEntry
}

// historyEntry is the total that an instance had admitted at a moment.
type historyEntry struct {
	at    time.Time
	total float64
}

// countZone records that spending of another zone was deducted.
func (a *bucket) countZone(zone string, spent int64) {
	if a.byZone == nil {
		a.byZone = make(map[string]int64)
	}
	a.byZone[zone] += spent
}

func (a *bucket) consume(cost float64, now time.Time, rememberFor time.Duration) {
	a.balance -= cost
	a.ownTotal += cost
	a.zoneTotal += cost
	a.lastSpent = now
	// The newest of the expired entries is kept: it is the total before the others.
	for len(a.history) > 1 && now.Sub(a.history[1].at) > rememberFor {
		a.history = a.history[1:]
	}
	a.history = append(a.history, historyEntry{at: now, total: a.ownTotal})
}

// ownTotalAt returns what this instance had admitted in all at a moment.
func (a *bucket) ownTotalAt(at time.Time) float64 {
	for i := len(a.history) - 1; i >= 0; i-- {
		if !a.history[i].at.After(at) {
			return a.history[i].total
		}
	}
	if len(a.history) == 0 {
		return a.ownTotal
	}
	return 0
}
