package member

import "time"

// If there are too many members for each to receive the heartbeats of all others, some
// members receive the heartbeats of one zone and report the states of the zone's members to
// the other members.

// Report applies the state of a member as reported by another instance. The state was
// observed first-hand at observed, by the reporter or by an instance whose report it passes
// on. Older observations are ignored: otherwise two instances that pass on each other's
// reports would keep a dead member alive in each other's view. The report of a known run
// may leave out the addresses. refused is true if the member serves according to the report, and
// does not according to a newer one.
func (m *Members) Report(info Info, state State, observed, now time.Time) (refused bool) {
	if info.Name == m.self.Name {
		return false
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
			return false
		}
		uptime := info.Uptime
		info = known.Info
		info.Uptime = uptime
	}
	switch {
	case !ok || known.Incarnation < info.Incarnation:
		known = Sibling{Info: info}
	case known.Incarnation > info.Incarnation:
		return false
	case known.Reported != "" && !observed.After(known.reportObserved):
		return state.serves() && !known.Reported.serves() && !m.judgedDirectly(known)
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
	if state != Dead && observed.After(known.LastContactAnywhere) {
		known.LastContactAnywhere = observed
	}
	m.setState(&known, now)
	m.put(known)
	return false
}

// ConfirmReports records contact at now with an instance that reports the states of other
// members to this one. A member that was last reported as alive or leaving counts as in
// contact at now.
func (m *Members) ConfirmReports(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportsConfirmed = now
}

// Watch has the members of a zone judged by their direct heartbeats alone, whatever other
// instances report of them. With an empty zone, no members are judged that way.
func (m *Members) Watch(zone string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchedZone = zone
}
