// Package backpressure holds what backend servers say of themselves in their answers, and
// what this instance may send them by that: a server in need names how many requests a
// second it takes from all instances together, one that leaves says so, and one that turns
// a request away may ask to be left alone. It does no I/O and reads no clock.
//
// Each instance keeps to its part of a limit. The parts hold by themselves, whatever
// instances send each other: what one of them sends another cannot be late for them. What
// instances send each other is which servers are limited (Update, Merge).
package backpressure

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is a short stand-in for the name of a server's run.
type ID uint64

// IDOf returns the ID of a run.
func IDOf(run string) ID { return ID(xxhash.Sum64String(run)) }

// Change is a change of what is known of a server.
type Change struct {
	// Server is the name of its run; empty if it is not known here yet.
	Server string
	// Before and Now say what is known of it, for the log.
	Before, Now string
	// By names the sibling by whose word it is known; empty for the server's own.
	By string
	// Age is how long before that the server said it.
	Age time.Duration
}

// Tracker holds what is known of all servers. Safe for concurrent use.
type Tracker struct {
	random func() float64
	// changed and hurried, if set, are told of changes, and that siblings should hear of
	// one now.
	changed func(Change)
	hurried func()
	// instances is who shares limits.
	instances atomic.Pointer[Instances]
	// observations names the answers that this instance has had.
	observations atomic.Uint64

	// holds is set once any server has said something that holds calls back, or was cold.
	holds atomic.Bool

	mu      sync.Mutex
	servers map[ID]*Server
	// speaking holds those of them that have said something.
	speaking map[ID]*Server
	// turn is whose state is sent next without being fresh.
	turn int
}

// New returns a tracker that knows nothing. random returns a number in [0,1).
func New(random func() float64) *Tracker {
	t := &Tracker{random: random, servers: make(map[ID]*Server), speaking: make(map[ID]*Server)}
	t.instances.Store(&Instances{})
	t.observations.Store(uint64(random()*(1<<53)) << 11)
	return t
}

// OnChange has functions called for each change, and whenever siblings should hear of one
// now. It must be called before anything else.
func (t *Tracker) OnChange(changed func(Change), hurried func()) {
	t.changed, t.hurried = changed, hurried
}

func (t *Tracker) tell(change Change) {
	if t.changed != nil {
		t.changed(change)
	}
}

func (t *Tracker) hurry() {
	if t.hurried != nil {
		t.hurried()
	}
}

// nextObservation names an answer; no other instance gives that name.
func (t *Tracker) nextObservation() uint64 { return t.observations.Add(1) }

// SetInstances says who shares what limited servers take.
func (t *Tracker) SetInstances(instances Instances) {
	if !t.instances.Load().equal(&instances) {
		t.instances.Store(&instances)
	}
}

// Server returns what is known of a run of a server.
func (t *Tracker) Server(run string) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	server := t.find(IDOf(run))
	if server.name == "" {
		server.name, server.listed = run, true
	}
	return server
}

// find returns what is known of a server, which may be nothing. The caller holds the lock.
func (t *Tracker) find(id ID) *Server {
	server := t.servers[id]
	if server == nil {
		server = &Server{tracker: t, id: id}
		t.servers[id] = server
	}
	return server
}

// forgetAfter is how long what a server has said is kept once it is not on the list of
// servers any more: its entry may lapse while the platform's store is away, and come back.
const forgetAfter = 2 * time.Minute

// Keep forgets the servers that have not been known for long.
func (t *Tracker) Keep(known func(run string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, server := range t.servers {
		server.listed = known(server.name)
		if server.listed {
			server.known = now
		} else if now.Sub(server.known) > forgetAfter {
			delete(t.servers, id)
			delete(t.speaking, id)
		}
	}
}

// Holds says whether any server has said something, or was cold: only then does it matter
// who shares what such servers take.
func (t *Tracker) Holds() bool { return t.holds.Load() }

// Count counts the servers of which something holds.
func (t *Tracker) Count(holds func(*Server) bool) int {
	count := 0
	for _, server := range t.speakingServers() {
		if holds(server) {
			count++
		}
	}
	return count
}

// Limited counts the servers that name a rate limit.
func (t *Tracker) Limited() int {
	return t.Count(func(server *Server) bool {
		_, named := server.Limit()
		return named
	})
}

// Leaving counts the servers that have said that they leave.
func (t *Tracker) Leaving() int { return t.Count((*Server).IsLeaving) }

// Resting counts the servers that have asked this instance to leave them alone.
func (t *Tracker) Resting(now time.Time) int {
	return t.Count(func(server *Server) bool { return server.IsResting(now) })
}

// Cold counts the servers that bear few requests since they have just started.
func (t *Tracker) Cold(now time.Time) int {
	t.mu.Lock()
	all := slices.Collect(maps.Values(t.servers))
	t.mu.Unlock()
	count := 0
	for _, server := range all {
		if server.IsCold(now) {
			count++
		}
	}
	return count
}

// addSpeaking notes that a server has said something.
func (t *Tracker) addSpeaking(server *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speaking[server.id] = server
}

// speakingServers returns the servers that have said something.
func (t *Tracker) speakingServers() []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.speaking))
}

// isListed says whether a server is on the list of servers.
func (t *Tracker) isListed(server *Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return server.listed
}
