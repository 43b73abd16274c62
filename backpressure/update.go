package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Update holds the reports of servers that an instance sends to its siblings.
type Update struct {
	Limits []LimitReport `cbor:"1,keyasint,omitempty"`
	Drains []DrainReport `cbor:"2,keyasint,omitempty"`
}

// DrainReport is the report that a server is draining.
type DrainReport struct {
	_      struct{} `cbor:",toarray"`
	Server ID
	// AgeMillis is how long ago the server first reported it, in milliseconds.
	AgeMillis int64
}

// LimitReport is what a server reported of its limit in one answer.
type LimitReport struct {
	_      struct{} `cbor:",toarray"`
	Server ID
	// Observation identifies the answer. AgeMillis is how long ago the answer arrived, in
	// milliseconds.
	Observation uint64
	AgeMillis   int64
	// Kinds are the kinds of calls in whose answers the server has reported the limit.
	Kinds Kinds
	// Named is false if the answer ended a limit.
	Named bool
	Rate  float64
}

const (
	// freshFor is how long a change is sent with each message. That is several messages, since
	// datagrams are sometimes lost.
	freshFor = 400 * time.Millisecond
	// endSentFor is how long the end of a limit is sent, for siblings that missed it.
	endSentFor = 10 * time.Second
	// maxFreshServers bounds the recently changed servers in one update, at some 30 bytes
	// each. repeatsPerUpdate is the number of other servers that an update repeats.
	maxFreshServers  = 64
	repeatsPerUpdate = 2
	// maxReportAge is the age beyond which the report of a limit is not accepted.
	maxReportAge = 2 * time.Minute
	// maxReportedRate is above the number of requests a second that any server takes.
	maxReportedRate = 1e9
	// maxServers bounds the number of servers whose state is kept.
	maxServers = 20_000
)

// Update returns what siblings should be sent now, or nil if there is nothing to send.
func (t *Tracker) Update(now time.Time) *Update {
	servers := t.serversToSend(now)
	if len(servers) == 0 {
		return nil
	}
	update := &Update{}
	var others []*Server
	for _, server := range servers {
		if server.isFresh(now) && update.size() < maxFreshServers {
			update.add(server, now)
		} else {
			others = append(others, server)
		}
	}
	for _, server := range t.takeRepeats(others) {
		update.add(server, now)
	}
	return update
}

// FullUpdate returns all that should be sent to an instance that has just started or was cut off,
// in as many updates as needed.
func (t *Tracker) FullUpdate(now time.Time) []*Update {
	var updates []*Update
	for chunk := range slices.Chunk(t.serversToSend(now), maxFreshServers) {
		update := &Update{}
		for _, server := range chunk {
			update.add(server, now)
		}
		updates = append(updates, update)
	}
	return updates
}

// serversToSend returns the servers whose state is sent to siblings, sorted by ID. Only servers
// on the list of backend servers are sent: instances would repeat the state of unlisted servers
// to each other for ever.
func (t *Tracker) serversToSend(now time.Time) []*Server {
	all := slices.DeleteFunc(t.reportingServers(), func(server *Server) bool { return !t.isListed(server) || !server.shouldSend(now) })
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.id, b.id) })
	return all
}

// takeRepeats returns the servers whose turn it is to be repeated.
func (t *Tracker) takeRepeats(servers []*Server) []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := make([]*Server, 0, repeatsPerUpdate)
	for i := range min(repeatsPerUpdate, len(servers)) {
		selected = append(selected, servers[(t.nextRepeat+i)%len(servers)])
	}
	t.nextRepeat += len(selected)
	return selected
}

// size returns the number of reports in an update.
func (u *Update) size() int { return len(u.Limits) + len(u.Drains) }

func (u *Update) add(server *Server, now time.Time) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if d := &server.drain; d.shouldSend(now) {
		u.Drains = append(u.Drains, DrainReport{Server: server.id, AgeMillis: now.Sub(d.at).Milliseconds()})
	}
	l := &server.limit
	if !l.shouldSend(now) {
		return
	}
	u.Limits = append(u.Limits, LimitReport{
		Server: server.id, Observation: l.observation, AgeMillis: now.Sub(l.at).Milliseconds(), Kinds: l.kinds, Named: l.named, Rate: l.rate,
	})
}

// shouldSend reports whether the limit is sent to siblings.
func (l *limit) shouldSend(now time.Time) bool {
	return now.Sub(l.at) < maxReportAge && (l.named || now.Sub(l.at) < endSentFor)
}

// shouldSend reports whether the state of the server is sent to siblings.
func (s *Server) shouldSend(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.shouldSend(now) || s.drain.shouldSend(now)
}

// isFresh reports whether the state of the server has just changed.
func (s *Server) isFresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.limit.freshUntil) || now.Before(s.drain.freshUntil)
}

// Merge applies an update from a sibling. With relay set, new reports are sent on to siblings
// immediately.
func (t *Tracker) Merge(update *Update, by string, relay bool, now time.Time) {
	if update == nil {
		return
	}
	urgent := false
	for _, report := range update.Limits {
		urgent = t.mergeLimit(report, by, relay, now) || urgent
	}
	for _, report := range update.Drains {
		urgent = t.mergeDrain(report, by, relay, now) || urgent
	}
	if urgent && relay {
		t.notifyUrgent()
	}
}

func (t *Tracker) mergeLimit(report LimitReport, by string, relay bool, now time.Time) (changed bool) {
	age := time.Duration(report.AgeMillis) * time.Millisecond
	if report.AgeMillis < 0 || report.AgeMillis > maxReportAge.Milliseconds() || !(report.Rate >= 0 && report.Rate <= maxReportedRate) {
		return false
	}
	server := t.reportedServer(report.Server, now)
	if server == nil {
		return false
	}
	next := limit{named: report.Named, rate: report.Rate, kinds: report.Kinds, at: now.Add(-age), observation: report.Observation}
	server.mu.Lock()
	if !server.isNewer(&next) {
		server.mu.Unlock()
		return false
	}
	before := server.state
	next.freshUntil = server.limit.freshUntil
	changed = next.differsSignificantly(&server.limit)
	if changed && relay {
		next.freshUntil = now.Add(freshFor)
	}
	server.setLimit(next, now)
	after := server.state
	server.mu.Unlock()
	if changed {
		t.notifyChange(Change{Server: t.nameOf(server), Before: before.describe(now), Now: after.describe(now), By: by, Age: age})
	}
	return changed
}

func (t *Tracker) mergeDrain(report DrainReport, by string, relay bool, now time.Time) (isNew bool) {
	age := time.Duration(report.AgeMillis) * time.Millisecond
	if report.AgeMillis < 0 || report.AgeMillis > drainSentFor.Milliseconds() {
		return false
	}
	server := t.reportedServer(report.Server, now)
	if server == nil {
		return false
	}
	freshUntil := time.Time{}
	if relay {
		freshUntil = now.Add(freshFor)
	}
	server.mu.Lock()
	before := server.state
	isNew = server.drain.start(now.Add(-age), freshUntil)
	server.markReported()
	after := server.state
	server.mu.Unlock()
	if isNew {
		t.notifyChange(Change{Server: t.nameOf(server), Before: before.describe(now), Now: after.describe(now), By: by, Age: age})
	}
	return isNew
}

// isNewer reports whether a limit that a sibling sent replaces the known one. The caller holds
// the lock.
func (s *Server) isNewer(next *limit) bool {
	if next.observation == s.limit.observation {
		return false
	}
	return next.at.After(s.limit.at)
}

// reportedServer returns the state of a server that a sibling reported, or nil if there are
// too many servers.
func (t *Tracker) reportedServer(id ID, now time.Time) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers[id] == nil && len(t.servers) >= maxServers {
		return nil
	}
	server := t.getOrCreate(id)
	if server.lastKnown.IsZero() {
		server.lastKnown = now
	}
	return server
}

func (t *Tracker) nameOf(server *Server) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return server.name
}
