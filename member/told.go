package member

import "time"

// Where there are too many members for each to hear all others, some hear those of
// a zone and tell the rest how they are.

// Told takes in what another says of a member, which was observed first-hand then, by
// itself or by one who told it. An older observation changes nothing: else two that repeat
// each other's word would keep a member alive for as long as they do. Of a run that is known
// it may leave out the addresses.
func (m *Members) Told(info Info, state State, observed, now time.Time) {
	if info.Name == m.self.Name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.siblings[info.Name]
	if info.Peer == "" {
		if !ok || known.Incarnation != info.Incarnation {
			return
		}
		uptime := info.Uptime
		info = known.Info
		info.Uptime = uptime
	}
	switch {
	case !ok || known.Incarnation < info.Incarnation:
		known = Sibling{Info: info}
	case known.Incarnation > info.Incarnation || (known.Told != "" && !observed.After(known.toldObserved)):
		return
	case known.Uptime < info.Uptime:
		known.Info = info
		if state == Alive {
			known.Vouched = observed
		}
	}
	known.Told, known.toldObserved = state, observed
	if observed.After(known.Observed) {
		known.Observed = observed
	}
	if state != Dead && observed.After(known.HeardAnywhere) {
		known.HeardAnywhere = observed
	}
	known.State = m.stateAt(known, now)
	m.siblings[info.Name] = known
	m.publish()
}

// ToldOn notes that one who tells states was heard: what was told of members that
// live still holds.
func (m *Members) ToldOn(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.toldAt = now
}

// Watch has the members of a zone judged by what is heard of them directly, whatever
// was told; an empty zone ends that.
func (m *Members) Watch(zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched = zone
}
