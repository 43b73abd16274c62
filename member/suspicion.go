package member

import (
	"time"

	"github.com/mastwheel/mastwheel/operation"
)

// A silent member is not yet a dead one: it may be paused, or only the path
// between the two of us may be cut. As in SWIM (Das, Gupta and Motivala,
// 2002), a suspect gets a second chance through others: siblings are asked
// when they heard it last. Unlike there, nobody's word makes a member dead:
// silence towards everybody asked must be joined by the platform's list no
// longer showing it, so that a parted instance that still streams to its
// callers is not taken for a dead one.

// isDead says whether a silent member counts as dead.
func (m *Members) isDead(s Sibling, now time.Time) bool {
	silence := now.Sub(s.HeardAnywhere)
	if silence > m.config.AbandonAfter {
		return true
	}
	return silence > m.config.DeadAfter && m.listed.isGone(s.Name, s.introduced())
}

// introduced says whether the member was only ever named by others.
func (s Sibling) introduced() bool { return s.Heard.IsZero() }

// Introduce notes a member that this instance has not heard itself, as when
// an engine holds a request of a home that died before this instance started.
// It is a suspect, to be asked about, and dies like any other.
func (m *Members) Introduce(member operation.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.siblings[member.Name]
	if member.Name == m.self.Name || (ok && known.Incarnation >= member.Incarnation) {
		return
	}
	m.put(Sibling{
		Info:          Info{Name: member.Name, Incarnation: member.Incarnation},
		HeardAnywhere: now,
		State:         Suspect,
	})
}

// Suspects returns the members that others should be asked about.
func (v *View) Suspects() []*Sibling {
	var suspects []*Sibling
	for _, sibling := range v.Siblings {
		if sibling.State == Suspect {
			suspects = append(suspects, sibling)
		}
	}
	return suspects
}

// Silence returns how long ago a run of an instance was last heard here, and
// whether it ever was.
func (v *View) Silence(member operation.Member, now time.Time) (time.Duration, bool) {
	sibling, known := v.Find(member.Name)
	if !known || sibling.Incarnation != member.Incarnation {
		return 0, false
	}
	return now.Sub(sibling.Heard), true
}

// Vouch takes a sibling's word that it heard a member at that time.
func (m *Members) Vouch(member operation.Member, heard, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.siblings[member.Name]
	if known == nil || known.Incarnation != member.Incarnation || !heard.After(known.HeardAnywhere) {
		return
	}
	sibling := *known
	sibling.HeardAnywhere = heard
	sibling.State = m.stateAt(sibling, now)
	m.put(sibling)
}
