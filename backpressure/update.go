package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Update is what an instance sends its siblings of what servers say.
type Update struct {
	Limits []LimitSaid `cbor:"1,keyasint,omitempty"`
	Drains []DrainSaid `cbor:"2,keyasint,omitempty"`
}

// DrainSaid is that a server has said that it leaves.
type DrainSaid struct {
	_      struct{} `cbor:",toarray"`
	Server ID
	// AgeMillis is how long ago it first did, in milliseconds.
	AgeMillis int64
}

// LimitSaid is what a server said of its limit in one answer.
type LimitSaid struct {
	_      struct{} `cbor:",toarray"`
	Server ID
	// Observation names the answer, and AgeMillis is how long ago it came, in milliseconds.
	Observation uint64
	AgeMillis   int64
	// Kinds are the kinds of calls in whose answers the server has named the limit.
	Kinds Kinds
	// Named is unset if the answer ended a limit.
	Named bool
	Rate  float64
}

const (
	// freshFor is how long a change is sent with each message: several of them, since
	// datagrams are lost now and then.
	freshFor = 400 * time.Millisecond
	// endedFor is how long the end of a limit is sent, for those that missed it.
	endedFor = 10 * time.Second
	// freshAtOnce bounds the servers in one update whose limit has just changed, some 30
	// bytes each, and inTurn is how many it repeats of the others.
	freshAtOnce = 64
	inTurn      = 2
	// memory is how old a statement may be that is taken in.
	memory = 2 * time.Minute
	// mostServers bounds the servers of which something is known.
	mostServers = 20_000
)

// Update returns what siblings should be sent now; nil if nothing.
func (t *Tracker) Update(now time.Time) *Update {
	known := t.telling(now)
	if len(known) == 0 {
		return nil
	}
	update := &Update{}
	var rest []*Server
	for _, server := range known {
		if server.isFresh(now) && update.size() < freshAtOnce {
			update.add(server, now)
		} else {
			rest = append(rest, server)
		}
	}
	for _, server := range t.nextOf(rest) {
		update.add(server, now)
	}
	return update
}

// Whole returns all that is known, in as many updates as it takes, for an instance that
// has just started or was cut off.
func (t *Tracker) Whole(now time.Time) []*Update {
	var updates []*Update
	for some := range slices.Chunk(t.telling(now), freshAtOnce) {
		update := &Update{}
		for _, server := range some {
			update.add(server, now)
		}
		updates = append(updates, update)
	}
	return updates
}

// telling returns the servers of which siblings are told, by id: those on the list. Of
// others instances would remind each other for ever.
func (t *Tracker) telling(now time.Time) []*Server {
	all := slices.DeleteFunc(t.speakingServers(), func(server *Server) bool { return !t.isListed(server) || !server.isTold(now) })
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.id, b.id) })
	return all
}

// nextOf returns some servers, in turn.
func (t *Tracker) nextOf(servers []*Server) []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	picked := make([]*Server, 0, inTurn)
	for i := range min(inTurn, len(servers)) {
		picked = append(picked, servers[(t.turn+i)%len(servers)])
	}
	t.turn += len(picked)
	return picked
}

// size counts the statements in an update.
func (u *Update) size() int { return len(u.Limits) + len(u.Drains) }

func (u *Update) add(server *Server, now time.Time) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if d := &server.drain; d.isTold(now) {
		u.Drains = append(u.Drains, DrainSaid{Server: server.id, AgeMillis: now.Sub(d.at).Milliseconds()})
	}
	l := &server.limit
	if !l.isTold(now) {
		return
	}
	u.Limits = append(u.Limits, LimitSaid{
		Server: server.id, Observation: l.observation, AgeMillis: now.Sub(l.at).Milliseconds(), Kinds: l.kinds, Named: l.named, Rate: l.rate,
	})
}

// isTold says whether siblings are told of the limit.
func (l *limit) isTold(now time.Time) bool {
	return now.Sub(l.at) < memory && (l.named || now.Sub(l.at) < endedFor)
}

// isTold says whether siblings are told of the server.
func (s *Server) isTold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.isTold(now) || s.drain.isTold(now)
}

// isFresh says whether what is known of the server has just changed.
func (s *Server) isFresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.limit.freshUntil) || now.Before(s.drain.freshUntil)
}

// Merge takes in what a sibling sends. With relay set, what is new is sent on at once.
func (t *Tracker) Merge(update *Update, by string, relay bool, now time.Time) {
	if update == nil {
		return
	}
	hurry := false
	for _, said := range update.Limits {
		hurry = t.mergeLimit(said, by, relay, now) || hurry
	}
	for _, said := range update.Drains {
		hurry = t.mergeDrain(said, by, relay, now) || hurry
	}
	if hurry && relay {
		t.hurry()
	}
}

func (t *Tracker) mergeLimit(said LimitSaid, by string, relay bool, now time.Time) (changed bool) {
	age := time.Duration(said.AgeMillis) * time.Millisecond
	if said.AgeMillis < 0 || said.AgeMillis > memory.Milliseconds() || !(said.Rate >= 0) {
		return false
	}
	server := t.toldOf(said.Server, now)
	if server == nil {
		return false
	}
	next := limit{named: said.Named, rate: said.Rate, kinds: said.Kinds, at: now.Add(-age), observation: said.Observation}
	server.mu.Lock()
	if !server.takes(&next) {
		server.mu.Unlock()
		return false
	}
	before := server.state
	next.freshUntil = server.limit.freshUntil
	changed = next.differs(&server.limit)
	if changed && relay {
		next.freshUntil = now.Add(freshFor)
	}
	server.adopt(next, now)
	after := server.state
	server.mu.Unlock()
	if changed {
		t.tell(Change{Server: t.nameOf(server), Before: before.describe(now), Now: after.describe(now), By: by, Age: age})
	}
	return changed
}

func (t *Tracker) mergeDrain(said DrainSaid, by string, relay bool, now time.Time) (isNew bool) {
	age := time.Duration(said.AgeMillis) * time.Millisecond
	if said.AgeMillis < 0 || said.AgeMillis > drainKept.Milliseconds() {
		return false
	}
	server := t.toldOf(said.Server, now)
	if server == nil {
		return false
	}
	freshUntil := time.Time{}
	if relay {
		freshUntil = now.Add(freshFor)
	}
	server.mu.Lock()
	before := server.state
	isNew = server.drain.begin(now.Add(-age), freshUntil)
	server.speaks()
	after := server.state
	server.mu.Unlock()
	if isNew {
		t.tell(Change{Server: t.nameOf(server), Before: before.describe(now), Now: after.describe(now), By: by, Age: age})
	}
	return isNew
}

// takes says whether a sibling's word on the limit goes before what is known. The caller
// holds the lock.
func (s *Server) takes(next *limit) bool {
	if next.observation == s.limit.observation {
		return false
	}
	return next.at.After(s.limit.at)
}

// toldOf returns the server that a sibling speaks of; nil if there are too many.
func (t *Tracker) toldOf(id ID, now time.Time) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers[id] == nil && len(t.servers) >= mostServers {
		return nil
	}
	server := t.find(id)
	if server.known.IsZero() {
		server.known = now
	}
	return server
}

func (t *Tracker) nameOf(server *Server) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return server.name
}
