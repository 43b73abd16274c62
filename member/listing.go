package member

import "time"

// listing is the platform's last instance list. The list lags, so it only supplements
// heartbeats: it can mark a member as leaving, and it can confirm that a silent member
// is gone.
type listing struct {
	// shown holds every instance that the list ever showed. The value is true while the
	// list shows it.
	shown   map[string]bool
	leaving map[string]bool
	// received is set once a list was received.
	received bool
}

func newListing() listing {
	return listing{shown: make(map[string]bool), leaving: make(map[string]bool)}
}

// isGone reports whether the instance list no longer shows the instance. A member that has
// sent heartbeats to this instance counts as gone only if an earlier list showed it, since
// new instances appear on the list late. That is not required of a member that this
// instance has had no contact with (introduced).
func (l listing) isGone(name string, introduced bool) bool {
	shows, ever := l.shown[name]
	return l.received && !shows && (ever || introduced)
}

// ApplyInstanceList applies the platform's instance list: the names on it, each with true if the
// instance is leaving.
func (m *Members) ApplyInstanceList(names map[string]bool, now time.Time) {
	m.mu.Lock()
	for name := range m.listed.shown {
		m.listed.shown[name] = false
	}
	m.listed.received = true
	m.listed.leaving = names
	for name := range names {
		m.listed.shown[name] = true
	}
	m.forgetListed()
	m.mu.Unlock()
	m.Tick(now)
}

// forgetListed drops names that are neither on the instance list nor known members.
func (m *Members) forgetListed() {
	for name, shows := range m.listed.shown {
		if _, known := m.siblings[name]; !shows && !known {
			delete(m.listed.shown, name)
		}
	}
}
