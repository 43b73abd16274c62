package allotment

import (
	"cmp"
	"slices"
	"time"
)

// Spent is what one instance, or a hub's zone, has admitted for a team since it started,
// in units. It may fall: what never ran is given back.
type Spent struct {
	Team  ID    `cbor:"1,keyasint"`
	Total int64 `cbor:"2,keyasint"`
	// Recent is the part of it that is new within Config.RepeatFor, for those who hear of
	// the team from this instance for the first time.
	Recent int64 `cbor:"3,keyasint,omitempty"`
}

// Level is what a hub knows of a team: what it has left, and what the hub's zone has
// spent since the hub started.
type Level struct {
	Team  ID    `cbor:"1,keyasint"`
	Left  int64 `cbor:"2,keyasint"`
	Total int64 `cbor:"3,keyasint"`
}

// Spent returns the totals of this instance that others are to hear: those that have
// changed of late.
func (l *Ledger) Spent(now time.Time) []Spent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var spent []Spent
	for _, a := range l.teams {
		if len(a.spends) > 0 && now.Sub(a.spends[len(a.spends)-1].at) <= l.config.RepeatFor {
			before := a.ownAt(now.Add(-l.config.RepeatFor))
			spent = append(spent, Spent{Team: IDOf(a.team), Total: int64(a.own), Recent: int64(a.own - before)})
		}
	}
	slices.SortFunc(spent, func(a, b Spent) int { return cmp.Compare(a.Team, b.Team) })
	return spent
}

// Levels returns what a hub sends about the teams for which anybody has spent something of
// late, at most so many, those with least left first: for them it matters most.
func (l *Ledger) Levels(most int, now time.Time) []Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	var levels []Level
	for _, a := range l.teams {
		if now.Sub(a.moved) > l.config.RepeatFor {
			continue
		}
		l.settle(a, now)
		levels = append(levels, Level{Team: IDOf(a.team), Left: int64(a.level), Total: int64(a.zone)})
	}
	slices.SortFunc(levels, func(a, b Level) int { return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Team, b.Team)) })
	return levels[:min(len(levels), most)]
}

// Heard takes what a sibling has spent in all. sameZone is whether it is of this
// instance's zone.
func (l *Ledger) Heard(sibling string, incarnation uint64, spent []Spent, sameZone bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
	from := l.follow(sourceName{sibling: sibling}, incarnation)
	for _, one := range spent {
		new, known := from.advance(one.Team, one.Total)
		if !known {
			new = one.Recent
		}
		for _, a := range l.byID[one.Team] {
			l.take(a, new, now)
			if sameZone {
				a.zone += float64(new)
			}
		}
	}
}

// HeardZone takes what a hub of another zone knows.
func (l *Ledger) HeardZone(hub string, incarnation uint64, levels []Level, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
	from := l.follow(sourceName{sibling: hub, zone: true}, incarnation)
	for _, one := range levels {
		new, known := from.advance(one.Team, one.Total)
		for _, a := range l.byID[one.Team] {
			l.take(a, new, now)
			if !known {
				a.level = min(a.level, float64(one.Left))
			}
		}
	}
}

// Word is what the hub that an instance follows says of teams.
type Word struct {
	Levels []Level
	// Known is the moment up to which the hub knew what this instance had spent.
	Known time.Time
	// Due is when the next word is; zero for an instance that hears others itself.
	Due time.Time
}

// Adopt takes the word of the hub that this instance follows in place of its own account.
func (l *Ledger) Adopt(word Word, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = now
	l.due = word.Due
	for _, one := range word.Levels {
		for _, a := range l.byID[one.Team] {
			a.level = float64(one.Left) - (a.own - a.ownAt(word.Known))
			a.at, a.moved, a.ahead = now, now, false
		}
	}
}

// DropWord ends what a hub's word said of the time after it: this instance hears others
// itself by now.
func (l *Ledger) DropWord(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.due.IsZero() {
		return
	}
	for _, a := range l.teams {
		l.settle(a, now)
	}
	l.due = time.Time{}
}

// follow returns the source of a sibling's run.
func (l *Ledger) follow(name sourceName, incarnation uint64) *source {
	from := l.source[name]
	if from == nil || from.incarnation != incarnation {
		from = &source{incarnation: incarnation, totals: make(map[ID]int64)}
		l.source[name] = from
	}
	return from
}

// Forget drops siblings that are not known any more.
func (l *Ledger) Forget(known func(sibling string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.source {
		if !known(name.sibling) {
			delete(l.source, name)
		}
	}
}

// advance notes a total, and returns what is new of it; known is false for the first one
// of a team, which may be old.
func (s *source) advance(team ID, total int64) (new int64, known bool) {
	before, known := s.totals[team]
	s.totals[team] = total
	if !known {
		return 0, false
	}
	return total - before, true
}

// take takes from an account what others have spent.
func (l *Ledger) take(a *account, spent int64, now time.Time) {
	if spent == 0 {
		return
	}
	l.settle(a, now)
	a.level -= float64(spent)
	a.moved = now
}
