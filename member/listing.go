package member

import "time"

// listing is what the platform's list last said. The list lags, so it only
// ever adds to what heartbeats say: it can mark a member as leaving, and it
// can confirm that a silent one is gone.
type listing struct {
	// shown holds every instance that the list ever showed; true while it does.
	shown   map[string]bool
	leaving map[string]bool
	// read is set once the list was read.
	read bool
}

func newListing() listing {
	return listing{shown: make(map[string]bool), leaving: make(map[string]bool)}
}

// isGone says whether the list no longer shows the instance. One that was
// heard must have been shown once, since a new instance is shown late; one
// that was only introduced by others need not.
func (l listing) isGone(name string, introduced bool) bool {
	shows, ever := l.shown[name]
	return l.read && !shows && (ever || introduced)
}

// Listed takes in the platform's list: the names that it shows, each true
// when it is leaving.
func (m *Members) Listed(names map[string]bool, now time.Time) {
	m.mu.Lock()
	for name := range m.listed.shown {
		m.listed.shown[name] = false
	}
	m.listed.read = true
	m.listed.leaving = names
	for name := range names {
		m.listed.shown[name] = true
	}
	m.forgetListed()
	m.mu.Unlock()
	m.Tick(now)
}

// forgetListed drops names that neither the list nor a heartbeat knows.
func (m *Members) forgetListed() {
	for name, shows := range m.listed.shown {
		if _, known := m.siblings[name]; !shows && !known {
			delete(m.listed.shown, name)
		}
	}
}
