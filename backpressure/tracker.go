// Package backpressure holds what backend servers say of themselves in their answers:
// how many requests a second they take from all instances together. It does no I/O and
// reads no clock.
package backpressure

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is a short stand-in for the name of a server's run.
type ID uint64

// IDOf returns the ID of a run.
func IDOf(run string) ID { return ID(xxhash.Sum64String(run)) }

// Change is a change of what is known of a server.
type Change struct {
	// Server is the name of its run.
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
	// changed, if set, is told of changes.
	changed func(Change)

	mu      sync.Mutex
	servers map[ID]*Server
}

// New returns a tracker that knows nothing.
func New() *Tracker { return &Tracker{servers: make(map[ID]*Server)} }

// OnChange has a function called for each change. It must be called before anything else.
func (t *Tracker) OnChange(changed func(Change)) { t.changed = changed }

// Server returns what is known of a run of a server.
func (t *Tracker) Server(run string, now time.Time) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	server := t.servers[IDOf(run)]
	if server == nil {
		server = &Server{tracker: t, name: run, known: now}
		t.servers[IDOf(run)] = server
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
		if known(server.name) {
			server.known = now
		} else if now.Sub(server.known) > forgetAfter {
			delete(t.servers, id)
		}
	}
}

// Limited counts the servers that name a rate limit.
func (t *Tracker) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, server := range t.servers {
		if _, named := server.Limit(); named {
			count++
		}
	}
	return count
}
