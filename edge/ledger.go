package edge

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
)

// changeLog numbers the changes of siblings' states, so that a hub sends each subscriber only
// the changes that it has not received. The states of 295 siblings take 30 KB, which is too much
// for each beat.
type changeLog struct {
	version uint64
	states  map[string]siblingState
	// changes holds each sibling with the version of its last change, ordered by version.
	changes []stateChange
}

// siblingState is what hub digests report of a sibling.
type siblingState struct {
	incarnation operation.Incarnation
	peer        string
	state       member.State
}

type stateChange struct {
	name    string
	version uint64
}

func newChangeLog() *changeLog { return &changeLog{states: make(map[string]siblingState)} }

// update records the states of all siblings, or only of the live ones.
func (l *changeLog) update(siblings []*member.Sibling, includeAll bool) {
	changed := make(map[string]bool)
	for _, sibling := range siblings {
		now := siblingState{incarnation: sibling.Incarnation, peer: sibling.Peer, state: sibling.State}
		live := sibling.State == member.Alive || sibling.State == member.Leaving
		if sibling.Peer == "" || l.states[sibling.Name] == now || (!includeAll && !live) {
			continue
		}
		l.states[sibling.Name] = now
		changed[sibling.Name] = true
	}
	if len(changed) == 0 {
		return
	}
	l.changes = slices.DeleteFunc(l.changes, func(c stateChange) bool { return changed[c.name] })
	for _, sibling := range siblings {
		if changed[sibling.Name] {
			l.version++
			l.changes = append(l.changes, stateChange{name: sibling.Name, version: l.version})
		}
	}
}

// since returns at most the given number of states that changed after a version, and the version
// that they lead to. Siblings for which keep returns false are skipped.
func (l *changeLog) since(version uint64, view *member.View, keep func(member.Sibling) bool, limit int, now time.Time) (states []heartbeat.Observation, upto uint64) {
	if version > l.version {
		// No digest of this run led there, so what the subscriber has is not known.
		version = 0
	}
	first, _ := slices.BinarySearchFunc(l.changes, version+1, func(c stateChange, v uint64) int { return int(c.version) - int(v) })
	upto = version
	for _, change := range l.changes[first:] {
		if len(states) == limit {
			return states, upto
		}
		upto = change.version
		sibling, known := view.Find(change.name)
		if known && keep(sibling) {
			states = append(states, observationOf(sibling.Info, sibling, now))
		}
	}
	return states, upto
}

// repetition repeats the states of siblings in turn, whether they have changed or not. It omits
// the fields that do not change. A subscriber may meanwhile have accepted a state from another
// sibling, which is not retracted otherwise.
type repetition struct {
	zone  string
	limit int
	now   time.Time
	// all holds all siblings, and near those of the own zone.
	all, near []*member.Sibling
}

func newRepetition(view *member.View, zone string, limit int, now time.Time) *repetition {
	r := &repetition{zone: zone, limit: limit, now: now, all: make([]*member.Sibling, 0, len(view.Siblings))}
	for _, sibling := range view.Siblings {
		r.all = append(r.all, sibling)
		if sibling.Zone == zone {
			r.near = append(r.near, sibling)
		}
	}
	return r
}

// keep returns a filter for the siblings that are reported to a subscriber. A subscriber of
// another zone receives only the siblings of this zone.
func (r *repetition) keep(nearOnly bool) func(member.Sibling) bool {
	return func(sibling member.Sibling) bool { return !nearOnly || sibling.Zone == r.zone }
}

// next returns the states of the siblings whose turn it is and advances the turn.
func (r *repetition) next(nearOnly bool, turn *int) []heartbeat.Observation {
	kept := r.all
	if nearOnly {
		kept = r.near
	}
	states := make([]heartbeat.Observation, 0, r.limit)
	for i := range min(r.limit, len(kept)) {
		sibling := kept[(*turn+i)%len(kept)]
		info := member.Info{Name: sibling.Name, Incarnation: sibling.Incarnation, Uptime: sibling.Uptime}
		states = append(states, observationOf(info, *sibling, r.now))
	}
	*turn += r.limit
	return states
}

// observationOf returns the observation of a sibling for a hub digest.
func observationOf(info member.Info, sibling member.Sibling, now time.Time) heartbeat.Observation {
	return heartbeat.Observation{Info: info, State: sibling.State, Age: max(now.Sub(sibling.Observed), 0)}
}
