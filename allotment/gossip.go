package allotment

import (
	"cmp"
	"slices"
	"time"
)

// Spent is the total that one instance, or the zone of a hub (an instance that exchanges
// messages with other zones for its zone), has admitted for a team since it started, in units.
// It can fall: the cost of requests that never ran is released.
type Spent struct {
	Team  ID    `cbor:"1,keyasint"`
	Total int64 `cbor:"2,keyasint"`
	// Recent is the amount of the total that was added within Config.RepeatFor. A receiver
	// uses it when it receives this instance's total for the team for the first time.
	Recent int64 `cbor:"3,keyasint,omitempty"`
}

// Balance is what a hub knows of a team: the balance of its token bucket, and what the hub's
// zone has spent since the hub started.
type Balance struct {
	Team  ID    `cbor:"1,keyasint"`
	Units int64 `cbor:"2,keyasint"`
	Total int64 `cbor:"3,keyasint"`
}

// Spent returns the totals of this instance that are sent to other instances: those that have
// changed within Config.RepeatFor.
func (l *Ledger) Spent(now time.Time) []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var spent []Spent
	for _, a := range l.teams {
		if len(a.history) > 0 && now.Sub(a.history[len(a.history)-1].at) <= l.config.RepeatFor {
			before := a.ownTotalAt(now.Add(-l.config.RepeatFor))
			spent = append(spent, Spent{Team: IDOf(a.team), Total: int64(a.ownTotal), Recent: int64(a.ownTotal - before)})
		}
	}
	slices.SortFunc(spent, func(a, b Spent) int { return cmp.Compare(a.Team, b.Team) })
	return spent
}

// Balances returns what a hub sends about teams that have spent something within
// Config.RepeatFor at any instance. It returns at most the given number of teams, those with
// the lowest balances first, since for them a current balance matters most.
func (l *Ledger) Balances(most int, now time.Time) []Balance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var balances []Balance
	for _, a := range l.teams {
		if now.Sub(a.lastSpent) > l.config.RepeatFor {
			continue
		}
		l.refill(a, now)
		balances = append(balances, Balance{Team: IDOf(a.team), Units: int64(a.balance), Total: int64(a.zoneTotal)})
	}
	slices.SortFunc(balances, func(a, b Balance) int { return cmp.Or(cmp.Compare(a.Units, b.Units), cmp.Compare(a.Team, b.Team)) })
	return balances[:min(len(balances), most)]
}

// Sender is one run of a sibling that sent totals.
type Sender struct {
	Name        string
	Incarnation uint64
	Zone        string
	// SameZone is set if Zone is that of this instance.
	SameZone bool
	// Started is when the run started.
	Started time.Time
}

// maxUnits bounds the totals and balances that are accepted, in units. It is exact as a float64, and the difference of
// two of them does not overflow.
const maxUnits = 1 << 53

func isBounded(units ...int64) bool {
	return !slices.ContainsFunc(units, func(n int64) bool { return n < -maxUnits || n > maxUnits })
}

// ApplySpent applies the totals that a sibling has spent.
func (l *Ledger) ApplySpent(sibling Sender, spent []Spent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact = now
	from := l.sourceOf(sourceKey{sibling: sibling.Name}, sibling.Incarnation)
	for _, entry := range spent {
		if len(l.byID[entry.Team]) == 0 || !isBounded(entry.Total, entry.Recent) {
			// Once the table names the team, its first total counts by what was spent recently.
			continue
		}
		added, known := from.advance(entry.Team, entry.Total)
		if !known {
			added = entry.Recent
		}
		for _, a := range l.byID[entry.Team] {
			l.deduct(a, added, now)
			if sibling.SameZone {
				a.zoneTotal += float64(added)
			} else {
				a.countZone(sibling.Zone, added)
			}
		}
	}
}

// ApplyZone applies the balances and totals that a hub of another zone sent. The first balances of
// a hub replace higher ones. Those of a hub that has just started are of the share that it has found
// so far. If this instance has just started too, its totals hold all that its zone has spent, of which
// this instance may have received a part from the members themselves.
func (l *Ledger) ApplyZone(hub Sender, balances []Balance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact = now
	from := l.sourceOf(sourceKey{sibling: hub.Name, zone: true}, hub.Incarnation)
	young := l.bounds.enabled() && now.Sub(hub.Started) <= l.config.RepeatFor
	for _, entry := range balances {
		if !isBounded(entry.Total, entry.Units) {
			continue
		}
		added, known := from.advance(entry.Team, entry.Total)
		for _, a := range l.byID[entry.Team] {
			spent := added
			switch {
			case known:
			case young && now.Sub(a.emptyAt) <= l.config.RepeatFor:
				spent = max(entry.Total-a.byZone[hub.Zone], 0)
			default:
				a.balance = min(a.balance, float64(entry.Units))
			}
			a.countZone(hub.Zone, spent)
			l.deduct(a, spent, now)
		}
	}
}

// HubUpdate is what a member receives from its hub about teams.
type HubUpdate struct {
	Levels []Balance
	// Started is when the hub started. The balances of one that has just started are low although
	// the teams may have used little.
	Started time.Time
	// Known is the time up to which the hub knew what this instance had spent.
	Known time.Time
	// Due is when the next message is expected. It is zero for an instance that receives
	// messages from all other instances itself.
	Due time.Time
}

// ApplyHubUpdate replaces the balances of this instance by those that its hub sent, less what this
// instance has admitted since HubUpdate.Known.
func (l *Ledger) ApplyHubUpdate(update HubUpdate, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact = now
	l.nextUpdateDue = update.Due
	for _, entry := range update.Levels {
		for _, a := range l.byID[entry.Team] {
			if !isBounded(entry.Units) {
				continue
			}
			a.balance = float64(entry.Units) - (a.ownTotal - a.ownTotalAt(update.Known))
			a.at, a.lastSpent, a.reduced, a.adoptedAt = now, now, false, now
			// The hub's balance includes what other instances had at their disposal.
			a.reserve = startReserve{}
			if update.Started.After(a.emptyAt) {
				a.emptyAt = update.Started
			}
		}
	}
}

// DropHub ends the expectation of a next message from a hub, once this instance receives
// messages from the other instances itself.
func (l *Ledger) DropHub(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextUpdateDue.IsZero() {
		return
	}
	for _, a := range l.teams {
		l.refill(a, now)
	}
	l.nextUpdateDue = time.Time{}
}

// sourceOf returns the source for one run of a sibling.
func (l *Ledger) sourceOf(key sourceKey, incarnation uint64) *source {
	from := l.sources[key]
	if from == nil || from.incarnation != incarnation {
		from = &source{incarnation: incarnation, totals: make(map[ID]int64)}
		l.sources[key] = from
	}
	return from
}

// Forget drops siblings that are not known any more.
func (l *Ledger) Forget(known func(sibling string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.sources {
		if !known(key.sibling) {
			delete(l.sources, key)
		}
	}
}

// advance records a total and returns the amount added to the previous one. known is false for
// the first total of a team, which may be old.
func (s *source) advance(team ID, total int64) (added int64, known bool) {
	previous, known := s.totals[team]
	s.totals[team] = total
	if !known {
		return 0, false
	}
	return total - previous, true
}

// deduct subtracts what other instances have spent from a bucket.
func (l *Ledger) deduct(a *bucket, spent int64, now time.Time) {
	if spent == 0 {
		return
	}
	l.refill(a, now)
	a.balance -= float64(spent)
	a.lastSpent = now
}
