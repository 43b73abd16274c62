package edge

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/operation"
)

// ledger numbers the changes of siblings' states, so that each subscriber of a hub is
// sent the ones that it lacks, and only those: 295 whole accounts are 30 KB, too much
// for each beat.
type ledger struct {
	version uint64
	states  map[string]siblingState
	// changes names each sibling with the version of its last change, by version.
	changes []stateChange
}

// siblingState is what digests say of a sibling.
type siblingState struct {
	incarnation operation.Incarnation
	peer        string
	state       member.State
}

type stateChange struct {
	name    string
	version uint64
}

func newLedger() *ledger { return &ledger{states: make(map[string]siblingState)} }

// update takes the states of siblings in: of all, or of those that live.
func (l *ledger) update(siblings []*member.Sibling, all bool) {
	changed := make(map[string]bool)
	for _, sibling := range siblings {
		now := siblingState{incarnation: sibling.Incarnation, peer: sibling.Peer, state: sibling.State}
		lives := sibling.State == member.Alive || sibling.State == member.Leaving
		if sibling.Peer == "" || l.states[sibling.Name] == now || (!all && !lives) {
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

// since returns some states that changed behind a version, and the version that they
// lead to. Siblings for which keep is false are passed over.
func (l *ledger) since(version uint64, view *member.View, keep func(member.Sibling) bool, most int, now time.Time) (states []heartbeat.Observation, upto uint64) {
	first, _ := slices.BinarySearchFunc(l.changes, version+1, func(c stateChange, v uint64) int { return int(c.version) - int(v) })
	upto = version
	for _, change := range l.changes[first:] {
		if len(states) == most {
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

// repetition repeats the states of siblings in turn, whether they have changed or not, without
// what does not change. A subscriber may have believed somebody else meanwhile, whose word is
// not taken back.
type repetition struct {
	zone string
	most int
	now  time.Time
	// all and near are the siblings, and those of the own zone.
	all, near []*member.Sibling
}

func newRepetition(view *member.View, zone string, most int, now time.Time) *repetition {
	r := &repetition{zone: zone, most: most, now: now, all: make([]*member.Sibling, 0, len(view.Siblings))}
	for _, sibling := range view.Siblings {
		r.all = append(r.all, sibling)
		if sibling.Zone == zone {
			r.near = append(r.near, sibling)
		}
	}
	return r
}

// keep says which siblings a subscriber is told of: one of another zone of those of this zone.
func (r *repetition) keep(nearOnly bool) func(member.Sibling) bool {
	return func(sibling member.Sibling) bool { return !nearOnly || sibling.Zone == r.zone }
}

// next returns the states that are due, and moves the turn on.
func (r *repetition) next(nearOnly bool, turn *int) []heartbeat.Observation {
	kept := r.all
	if nearOnly {
		kept = r.near
	}
	states := make([]heartbeat.Observation, 0, r.most)
	for i := range min(r.most, len(kept)) {
		sibling := kept[(*turn+i)%len(kept)]
		info := member.Info{Name: sibling.Name, Incarnation: sibling.Incarnation, Uptime: sibling.Uptime}
		states = append(states, observationOf(info, *sibling, r.now))
	}
	*turn += r.most
	return states
}

// observationOf is what digests say of a sibling.
func observationOf(info member.Info, sibling member.Sibling, now time.Time) heartbeat.Observation {
	return heartbeat.Observation{Info: info, State: sibling.State, Age: max(now.Sub(sibling.Observed), 0)}
}
