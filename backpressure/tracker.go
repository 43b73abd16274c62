// Package backpressure keeps what backend servers report about themselves in their answers,
// and decides by it what this instance may send them. An overloaded server reports how many
// requests a second it accepts from all instances together. A server that is draining reports
// that. A server that rejects a request may ask the instance to back off. The package does no
// I/O and reads no clock.
//
// Each instance keeps to its share of a rate limit. The shares do not depend on messages
// between instances, so a late message cannot break a limit. Instances only send each other
// which servers are limited or draining (Update, Merge).
package backpressure

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is a hash that identifies one run of a server in messages between instances.
type ID uint64

// IDOf returns the ID of a run.
func IDOf(run string) ID { return ID(xxhash.Sum64String(run)) }

// Change is a change of a server's known state.
type Change struct {
	// Server is the name of the server's run. It is empty if this instance does not know the
	// name yet.
	Server string
	// Before and Now describe the state for the log.
	Before, Now string
	// By is the sibling that sent the change. It is empty if the server reported it to this
	// instance.
	By string
	// Age is how long ago the server reported it.
	Age time.Duration
}

// Tracker keeps the state of all servers. It is safe for concurrent use.
type Tracker struct {
	random func() float64
	// onChange, if set, is called with each change. onUrgent, if set, is called when a change
	// should be sent to siblings immediately.
	onChange func(Change)
	onUrgent func()
	// instances are the instances that share the rate limits.
	instances atomic.Pointer[Instances]
	// observations is the last number given to an answer.
	observations atomic.Uint64

	// restricted is set once any server has reported a limit, a drain or a backoff, or was cold
	// (started recently and could take few requests).
	restricted atomic.Bool

	mu      sync.Mutex
	servers map[ID]*Server
	// reporting holds the servers that have reported a limit, a drain or a backoff.
	reporting map[ID]*Server
	// nextRepeat is the position of the next server whose state is repeated to siblings though
	// it has not changed recently.
	nextRepeat int
}

// New returns an empty tracker. random returns a number in [0,1).
func New(random func() float64) *Tracker {
	t := &Tracker{random: random, servers: make(map[ID]*Server), reporting: make(map[ID]*Server)}
	t.instances.Store(&Instances{})
	t.observations.Store(uint64(random()*(1<<53)) << 11)
	return t
}

// OnChange sets the functions that are called for each change, and when a change should be sent
// to siblings immediately. It must be called before any other method.
func (t *Tracker) OnChange(onChange func(Change), onUrgent func()) {
	t.onChange, t.onUrgent = onChange, onUrgent
}

func (t *Tracker) notifyChange(change Change) {
	if t.onChange != nil {
		t.onChange(change)
	}
}

func (t *Tracker) notifyUrgent() {
	if t.onUrgent != nil {
		t.onUrgent()
	}
}

// nextObservation returns a number for an answer. The numbers start at a random point, so that
// no other instance uses the same one.
func (t *Tracker) nextObservation() uint64 { return t.observations.Add(1) }

// SetInstances sets the instances that share the rate limits.
func (t *Tracker) SetInstances(instances Instances) {
	if !t.instances.Load().equal(&instances) {
		t.instances.Store(&instances)
	}
}

// Instances returns the instances that share the rate limits. They must not be changed.
func (t *Tracker) Instances() *Instances { return t.instances.Load() }

// Server returns the state of a run of a server, which is created on first use.
func (t *Tracker) Server(run string) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	server := t.getOrCreate(IDOf(run))
	if server.name == "" {
		server.name, server.listed = run, true
	}
	return server
}

// getOrCreate returns the state of a server, which is created if needed. The caller holds the
// lock.
func (t *Tracker) getOrCreate(id ID) *Server {
	server := t.servers[id]
	if server == nil {
		server = &Server{tracker: t, id: id}
		t.servers[id] = server
	}
	return server
}

// forgetAfter is how long the state of a server is kept once the server is no longer on the
// list of backend servers. Its entry may expire while the platform's store is unreachable, and
// come back.
const forgetAfter = 2 * time.Minute

// Prune forgets the servers that have been off the list of backend servers for longer than
// forgetAfter.
func (t *Tracker) Prune(known func(run string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, server := range t.servers {
		server.listed = known(server.name)
		if server.listed {
			server.lastKnown = now
		} else if now.Sub(server.lastKnown) > forgetAfter {
			delete(t.servers, id)
			delete(t.reporting, id)
		}
	}
}

// AnyRestricted reports whether any server has reported a limit, a drain or a backoff, or was
// cold. Only then does it matter which instances share the rates of such servers.
func (t *Tracker) AnyRestricted() bool { return t.restricted.Load() }

// Count returns the number of servers that have reported a limit, a drain or a backoff and
// match a condition.
func (t *Tracker) Count(matches func(*Server) bool) int {
	count := 0
	for _, server := range t.reportingServers() {
		if matches(server) {
			count++
		}
	}
	return count
}

// Limited returns the number of servers that report a rate limit.
func (t *Tracker) Limited() int {
	return t.Count(func(server *Server) bool {
		_, named := server.Limit()
		return named
	})
}

// Leaving returns the number of servers that have reported that they are draining.
func (t *Tracker) Leaving() int { return t.Count((*Server).IsLeaving) }

// BackingOff returns the number of servers that have asked this instance to back off.
func (t *Tracker) BackingOff(now time.Time) int {
	return t.Count(func(server *Server) bool { return server.IsBackingOff(now) })
}

// Cold returns the number of servers that accept few requests because they have just started.
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

// addReporting notes that a server has reported a limit, a drain or a backoff.
func (t *Tracker) addReporting(server *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reporting[server.id] = server
}

// reportingServers returns the servers that have reported a limit, a drain or a backoff.
func (t *Tracker) reportingServers() []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.reporting))
}

// isListed reports whether a server is on the list of backend servers.
func (t *Tracker) isListed(server *Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return server.listed
}
