package member

import (
	"time"

	"github.com/mastwheel/mastwheel/operation"
)

// A silent member is not necessarily dead: it may be paused, or only the path to this
// instance may be cut. As in SWIM (Das, Gupta and Motivala, 2002), a suspect gets a
// second chance through others: siblings are queried for their last contact with it.
// Unlike in SWIM, no report alone makes a member dead. It must be silent towards every
// sibling that was queried, and the platform's instance list must no longer show it, so
// that a partitioned instance which still streams to its callers is not treated as
// dead.

// isDead reports whether a silent member counts as dead.
func (m *Members) isDead(s Sibling, now time.Time) bool {
	silence := now.Sub(s.LastContactAnywhere)
	if silence > m.config.AbandonAfter {
		return true
	}
	return silence > m.config.DeadAfter && m.listed.isGone(s.Name, s.introduced())
}

// introduced reports whether this instance has had no contact with the member.
func (s Sibling) introduced() bool { return s.LastContact.IsZero() }

// Introduce adds a member that this instance has had no contact with, for example if an
// engine holds a request whose home (the instance that the caller was connected to) died
// before this instance started. The member starts as a suspect that siblings are queried
// about, and counts as dead under the same conditions as any other member.
func (m *Members) Introduce(member operation.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.siblings[member.Name]
	if member.Name == m.self.Name || (ok && known.Incarnation >= member.Incarnation) {
		return
	}
	m.put(Sibling{
		Info:                Info{Name: member.Name, Incarnation: member.Incarnation},
		LastContactAnywhere: now,
		State:               Suspect,
	})
}

// Suspects returns the members that siblings should be queried about.
func (v *View) Suspects() []*Sibling {
	var suspects []*Sibling
	for _, sibling := range v.Siblings {
		if sibling.State == Suspect {
			suspects = append(suspects, sibling)
		}
	}
	return suspects
}

// Silence returns the time since the last direct contact with a run of an instance, and
// whether there was any such run.
func (v *View) Silence(member operation.Member, now time.Time) (time.Duration, bool) {
	sibling, known := v.Find(member.Name)
	if !known || sibling.Incarnation != member.Incarnation {
		return 0, false
	}
	return now.Sub(sibling.LastContact), true
}

// Vouch applies a sibling's report of its last contact with a member.
func (m *Members) Vouch(member operation.Member, heard, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.siblings[member.Name]
	if known == nil || known.Incarnation != member.Incarnation || !heard.After(known.LastContactAnywhere) {
		return
	}
	sibling := *known
	sibling.LastContactAnywhere = heard
	m.setState(&sibling, now)
	m.put(sibling)
}
