// Package allotment decides whether a team may have one more request served: each has a
// rate and a burst over all instances together. It does no I/O and reads no clock.
//
// Every instance keeps a token bucket for each team, of the team's whole rate, and takes
// from it what it admits itself and what it hears that others have. What others admit is
// known some 40 to 160 ms later, so a team may get ahead by what all instances admit
// meanwhile, once; its rate in the long run is exact, since what was too much is a debt.
// An instance that does not hear all others takes only its part of the rate.
//
// Fixed parts of the rate would need no messages, but 60 instances leave each of the
// smallest teams of the users' sheets a sixteenth of a request a second
// (TestPartsStarveSmallTeams).
package allotment

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what a team may use, in units of its own: requests, or tokens.
type Limit struct {
	// Rate is a second, and Burst at once beside it.
	Rate  float64
	Burst float64
}

// Config tunes a Ledger.
type Config struct {
	// Slack is what a team may use at once beyond its burst, in units. It spares teams
	// that keep to their rate in the mean refusals when some of their requests come
	// together.
	Slack float64
	// RepeatFor is how long it is repeated to others what was spent: longer than some
	// datagrams in a row are lost.
	RepeatFor time.Duration
	// RememberFor is how long it is remembered when this instance spent what: longer
	// than it takes until others' word that holds it arrives.
	RememberFor time.Duration
}

// DefaultConfig suits some hundreds of instances that gossip several times a
// second. The slack is the deployment's own figure.
func DefaultConfig() Config {
	return Config{RepeatFor: 1500 * time.Millisecond, RememberFor: 3 * time.Second}
}

// ID is a short stand-in for a team's name in messages between siblings. Where two teams
// share one, what is spent by either counts for both: by chance in one of 40 tables with
// 15,000 teams.
type ID uint32

// IDOf returns a team's ID.
func IDOf(team string) ID { return ID(xxhash.Sum64String(team)) }

// Decision says whether a request is admitted, and by what.
type Decision struct {
	Admitted bool
	// Team is whose allotment was looked at, Cost what the request counts, and Left
	// what the team had left before, both in units; less than nothing is a debt.
	Team string
	Cost float64
	Left float64
	// Used is the part that is used up of what the team may use at once, from 0 to 1.
	Used float64
	// Share is the part of the team's rate that the instance decided by; Known how long
	// before the decision others had said so last, 0 if nobody has.
	Share float64
	Known time.Duration
	// Wait is when there will be something left, if nobody else takes it.
	Wait time.Duration
}

// Ledger holds one instance's accounts of all teams. Safe for concurrent use.
type Ledger struct {
	config Config
	random func() float64

	mu    sync.Mutex
	share float64
	// due is when the next word of a hub is; zero for an instance that follows none.
	due time.Time
	// heard is when others were heard last.
	heard  time.Time
	teams  map[string]*account
	byID   map[ID][]*account
	source map[sourceName]*source
}

// sourceName names what is followed of a sibling: what it spends itself, or what the
// zone does of which it is a hub.
type sourceName struct {
	sibling string
	zone    bool
}

// source is totals that are followed.
type source struct {
	incarnation uint64
	totals      map[ID]int64
}

// New returns a ledger without teams, of an instance that knows nothing of others yet.
func New(config Config, random func() float64) *Ledger {
	return &Ledger{
		config: config, random: random, share: 1,
		teams: make(map[string]*account), byID: make(map[ID][]*account), source: make(map[sourceName]*source),
	}
}

// Bounds says whether any team is limited.
func (l *Ledger) Bounds() bool {
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

// SetLimits takes the limits of a new table. Teams that have none are not limited. Of the
// teams of the first table nothing is known: they may have spent all that they had a
// moment ago, at instances that are gone. Teams that come later have spent nothing.
func (l *Ledger) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := len(l.teams) == 0
	next := make(map[string]*account, len(limits))
	byID := make(map[ID][]*account, len(limits))
	for team, limit := range limits {
		a := l.teams[team]
		if a == nil {
			a = &account{team: team, at: now}
			if !first {
				a.level = l.capacity(limit)
			}
		}
		l.settle(a, now)
		a.limit = limit
		a.level = min(a.level, l.capacity(limit))
		next[team] = a
		byID[IDOf(team)] = append(byID[IDOf(team)], a)
	}
	l.teams, l.byID = next, byID
}

// SetShare sets the part of each team's rate that this instance may hand out by what it
// knows: all of it while it hears everybody, its own part while it hears nobody. Where it
// changes, the word that was due says nothing any more.
func (l *Ledger) SetShare(share float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == l.share {
		return
	}
	shrinks := share/l.share < 1
	for _, a := range l.teams {
		l.settle(a, now)
		if shrinks {
			a.level *= share / l.share
			a.ahead = true
		}
	}
	l.share, l.due = share, time.Time{}
}

// Admit decides on a request of a team, and counts it if it is admitted. A team that is
// not limited has every request admitted.
func (l *Ledger) Admit(team string, cost float64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.teams[team]
	if a == nil {
		return Decision{Admitted: true, Team: team, Cost: cost}
	}
	l.settle(a, now)
	if a.ahead {
		// All instances that are alone each have a part that is less than a request.
		// If each admitted its first one, 60 would admit 60 at once.
		a.level -= l.random() * cost * (1 - l.share)
		a.ahead = false
	}
	decision := Decision{Admitted: a.level > 0, Team: team, Cost: cost, Left: a.level, Share: l.share}
	if most := l.capacity(a.limit) * l.share; most > 0 {
		decision.Used = min(max(1-a.level/most, 0), 1)
	}
	if !l.heard.IsZero() {
		decision.Known = now.Sub(l.heard)
	}
	if decision.Admitted {
		a.spend(cost, now, l.config.RememberFor)
	} else {
		decision.Wait = time.Duration(-a.level / (a.limit.Rate * l.share) * float64(time.Second))
	}
	return decision
}

// Return gives back what a request was counted that never ran.
func (l *Ledger) Return(team string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.teams[team]; a != nil {
		l.settle(a, now)
		a.spend(-cost, now, l.config.RememberFor)
		a.level = min(a.level, l.capacity(a.limit)*l.share)
	}
}

// capacity is the most that a team may have left.
func (l *Ledger) capacity(limit Limit) float64 { return limit.Burst + l.config.Slack }

// settle adds to an account what has come since it was looked at last.
func (l *Ledger) settle(a *account, now time.Time) {
	if now.After(a.at) {
		most := max(l.capacity(a.limit)*l.share, a.level)
		a.level = min(a.level+a.limit.Rate*l.refilled(a.at, now).Seconds(), most)
		a.at = now
	}
}

// refilled is for how long the whole rate would have to flow for what comes to an account
// between two moments; less than nothing if more is taken from it.
func (l *Ledger) refilled(from, to time.Time) time.Duration {
	passed := to.Sub(from)
	overdue := time.Duration(0)
	if !l.due.IsZero() {
		overdue = min(max(to.Sub(l.due), 0), passed)
	}
	return time.Duration(float64(passed-overdue)*l.share - float64(overdue)*unheard)
}

// unheard is what others are taken to spend of a team, as a multiple of its rate, while
// the next word of the hub is overdue. All members have the same word: where it left a hot
// team a little, each of 119 handed that out once its hubs had fallen silent, in all 1.10
// of what is tolerated (TestATeamIsKeptToItsRateWithoutHubs); a team that has asked for
// less than its rate has enough left to be served meanwhile.
const unheard = 4.0

// account is what one instance knows of one team.
type account struct {
	team  string
	limit Limit
	// level is what the team has left at the time at, in units; less than nothing is a
	// debt.
	level float64
	at    time.Time
	// ahead is set when the level was cut down to the instance's own part and no request
	// has come since.
	ahead bool
	// own is what this instance has admitted in all, and zone what the instances of its
	// zone have, as far as it has heard.
	own  float64
	zone float64
	// moved is when anybody spent something last.
	moved time.Time
	// spends is when this instance spent what, the oldest first.
	spends []spend
}

// spend is what an instance had admitted in all at a moment.
type spend struct {
	at    time.Time
	total float64
}

func (a *account) spend(cost float64, now time.Time, remember time.Duration) {
	a.level -= cost
	a.own += cost
	a.zone += cost
	a.moved = now
	// The newest of those that are too old is kept: it is the total before the others.
	for len(a.spends) > 1 && now.Sub(a.spends[1].at) > remember {
		a.spends = a.spends[1:]
	}
	a.spends = append(a.spends, spend{at: now, total: a.own})
}

// ownAt is what this instance had admitted in all at a moment.
func (a *account) ownAt(at time.Time) float64 {
	for i := len(a.spends) - 1; i >= 0; i-- {
		if !a.spends[i].at.After(at) {
			return a.spends[i].total
		}
	}
	if len(a.spends) == 0 {
		return a.own
	}
	return 0
}
