package member

import "time"

// Where there are too many members for each to hear all others, some hear those of
// a zone and report to the rest how they are.

// Report takes in what another says of a member, which was observed first-hand then, by
// itself or by one who reported it. An older observation changes nothing: else two that repeat
// each other's word would keep a member alive for as long as they do. Of a run that is known
// it may leave out the addresses.
func (m *Members) Report(info Info, state State, observed, now time.Time) {
	if info.Name == m.self.Name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before, ok := m.siblings[info.Name]
	var known Sibling
	if ok {
		known = *before
	}
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
	case known.Incarnation > info.Incarnation || (known.Reported != "" && !observed.After(known.reportObserved)):
		return
	case known.Uptime < info.Uptime:
		known.Info = info
		if state == Alive {
			known.Vouched = observed
		}
	}
	known.Reported, known.reportObserved = state, observed
	if observed.After(known.Observed) {
		known.Observed = observed
	}
	if state != Dead && observed.After(known.HeardAnywhere) {
		known.HeardAnywhere = observed
	}
	known.State = m.stateAt(known, now)
	m.put(known)
}

// ConfirmReports notes that one who reports states was heard: what was reported of members that
// live still holds.
func (m *Members) ConfirmReports(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportsConfirmed = now
}

// Watch has the members of a zone judged by what is heard of them directly, whatever
// was reported; an empty zone ends that.
func (m *Members) Watch(zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched = zone
}
