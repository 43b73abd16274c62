// Package registry holds what an instance believes of the backend servers that
// have registered themselves with the platform. It does no I/O and reads no
// clock: entries and changes come in with the time at which they were read.
package registry

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/oplog"
)

// Entry is what a backend server says about itself.
type Entry struct {
	// ID names the server. One that starts again may keep it.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Address is "ip:port".
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Release is the version of the server's software.
	Release string `cbor:"5,keyasint,omitempty"`
	// Slots is how many requests it works on at once.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Draining is set once it takes no new work.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Role is table.RolePrefill or table.RoleDecode for a model engine, and
	// empty for others.
	Role string `cbor:"8,keyasint,omitempty"`
	// Weights is the version of the model's weights that it serves.
	Weights int `cbor:"9,keyasint,omitempty"`
	// Born is when this run of the server started, in milliseconds since 1970 on
	// its own clock; 0 for servers that do not say.
	Born int64 `cbor:"10,keyasint,omitempty"`
	// ColdMillis is for how much longer, as it wrote the entry, it bears few requests, in
	// milliseconds.
	ColdMillis int64 `cbor:"11,keyasint,omitempty"`
}

const (
	// RunMark stands between a server's id and the start in the name of a run.
	RunMark = "@"
	// runBase writes the start of a run with few digits.
	runBase = 36
)

// Run names one run of the server. Whatever is believed of a run, or was given to
// it, ends with it: a server that starts again knows nothing of before.
func (e *Entry) Run() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + RunMark + strconv.FormatInt(e.Born, runBase)
}

// Change is a new entry of a server, or its removal.
type Change struct {
	ID string `cbor:"1,keyasint"`
	// Entry is nil when the server's entry was removed.
	Entry *Entry `cbor:"2,keyasint,omitempty"`
	// Unusable is set when the newest entry names no server that could be used.
	// That is no lapse: the entry before it is not coming back.
	Unusable bool `cbor:"3,keyasint,omitempty"`
}

// Snapshot is a whole list, as read at one position of the platform's log.
type Snapshot struct {
	Entries []Entry `cbor:"1,keyasint"`
	// Position is the place in the log that comes next.
	Position oplog.Position `cbor:"2,keyasint"`
	// Unusable lists the ids whose entry names no server that could be used.
	Unusable []string `cbor:"3,keyasint,omitempty"`
}

// Config tunes what a removed entry means.
type Config struct {
	// LapseGrace is how long a server stays in use after its entry went while
	// the platform's store was away: entries lapse then though their servers
	// live, and come back within this time (source: the users' letter, "about
	// two seconds of its return").
	LapseGrace time.Duration
	// ManyAtOnce is the share of all entries whose removal in one read is taken
	// for a lapse even where the store was not seen to be away: planned work
	// takes fewer servers away at a time that had not said they leave.
	ManyAtOnce float64
	// DepartedFor is how long it is remembered that a run of a server is gone: longer
	// than an older copy, from which the store may come back, is old (source: the users'
	// letter, some seconds).
	DepartedFor time.Duration
}

// DefaultConfig follows the users' letter.
func DefaultConfig() Config {
	return Config{LapseGrace: 2 * time.Second, ManyAtOnce: 0.3, DepartedFor: 5 * time.Minute}
}

// Server is one backend server as this instance sees it.
type Server struct {
	Entry
	// Lapsed is set while the entry is gone and may come back.
	Lapsed bool
	// Gone is when a lapsed server counts as gone.
	Gone time.Time
	// ColdUntil is until when it bears few requests, by when its entry was read.
	ColdUntil time.Time
}

// View is an immutable picture of all servers, sorted by id.
type View struct {
	Servers []Server
	// Position is the place in the log up to which changes are in it.
	Position oplog.Position
	// Read is when changes were last taken in.
	Read time.Time
	// Part is set if only some of the servers on the list are kept.
	Part bool
}

// Find returns the server of that id, or nil.
func (v *View) Find(id string) *Server {
	i, found := slices.BinarySearchFunc(v.Servers, id, func(s Server, id string) int {
		if s.ID < id {
			return -1
		}
		if s.ID > id {
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &v.Servers[i]
}

// Snapshot returns what siblings need to hold the same belief. Servers that
// have lapsed are left out: each instance gives them its own time.
func (v *View) Snapshot() Snapshot {
	snapshot := Snapshot{Position: v.Position}
	for _, server := range v.Servers {
		if !server.Lapsed {
			snapshot.Entries = append(snapshot.Entries, server.Entry)
		}
	}
	return snapshot
}

// Registry is the belief itself. Writers hold a lock and swap a new View in;
// readers load it without one.
type Registry struct {
	config Config

	mu      sync.Mutex
	servers map[string]Server
	// returned is when the store last answered again after it had been away from
	// all instances; zero when it never was.
	returned time.Time
	// lapsing is set while there may be lapsed servers.
	lapsing bool
	// keep says which entries are kept; nil keeps all.
	keep func(*Entry) bool
	// departed holds the runs that are gone for good, with when they went.
	departed map[string]departure
	view     atomic.Pointer[View]
}

// New returns an empty registry.
func New(config Config) *Registry {
	r := &Registry{config: config, servers: make(map[string]Server), departed: make(map[string]departure)}
	r.view.Store(&View{})
	return r
}

// View returns the current picture.
func (r *Registry) View() *View { return r.view.Load() }

// StoreReturned notes when the platform's store answered again, after no instance
// had an answer for so long that entries may have lapsed. That it turns a single
// instance away is no reason for a lapse: the servers reach it.
func (r *Registry) StoreReturned(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned = at
}

// Keep drops all servers but some, and takes no others in until the next Take.
func (r *Registry) Keep(keep func(*Entry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep = keep
	r.drop()
	view := r.view.Load()
	r.publish(view.Position, view.Read)
}

// drop drops the servers that are not kept. They may live on: nothing of them is remembered.
// The caller holds the lock.
func (r *Registry) drop() {
	maps.DeleteFunc(r.servers, func(_ string, server Server) bool { return !r.keeps(&server.Entry) })
}

// keeps says whether an entry is kept. The caller holds the lock.
func (r *Registry) keeps(entry *Entry) bool { return r.keep == nil || r.keep(entry) }

// Reset takes a whole list in, or what is kept of it. One that is older than what is known
// is ignored.
func (r *Registry) Reset(snapshot Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(snapshot, now)
}

// Take is Reset for a list that holds all that is to be kept from now on; nil keeps all. It
// returns whether the list counted.
func (r *Registry) Take(snapshot Snapshot, keep func(*Entry) bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.Position < r.view.Load().Position {
		return false
	}
	r.keep = keep
	r.drop()
	r.reset(snapshot, now)
	return true
}

// reset takes a list in. The caller holds the lock.
func (r *Registry) reset(snapshot Snapshot, now time.Time) {
	before := r.view.Load().Position
	if snapshot.Position < before {
		return
	}
	if before > 0 && snapshot.Position.Era() > before.Era() {
		// Entries that the older copy lacks come back as those that lapsed do.
		r.returned = now
	}
	if snapshot.Position.Era() > 0 {
		snapshot = r.corrected(snapshot)
	}
	for _, id := range snapshot.Unusable {
		delete(r.servers, id)
	}
	listed := make(map[string]bool, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		if !r.keeps(&entry) {
			continue
		}
		listed[entry.ID] = true
		r.list(entry, now)
	}
	var removed []string
	for id := range r.servers {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	r.remove(removed, now)
	r.publish(snapshot.Position, now)
}

// Apply takes changes in that lead to a position of the log.
func (r *Registry) Apply(changes []Change, position oplog.Position, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position < r.view.Load().Position {
		return
	}
	gone := make(map[string]bool)
	for _, change := range changes {
		gone[change.ID] = change.Entry == nil
		switch {
		case change.Entry != nil && !r.keeps(change.Entry):
			delete(r.servers, change.ID)
		case change.Entry != nil:
			r.take(*change.Entry, position, now)
		case change.Unusable:
			delete(r.servers, change.ID)
		}
	}
	if len(changes) == 0 && position == r.view.Load().Position {
		// An equal view would have everything that follows from it made anew, about
		// once a second somewhere: that is how often the store is asked.
		return
	}
	maps.DeleteFunc(gone, func(_ string, removed bool) bool { return !removed })
	r.remove(slices.Collect(maps.Keys(gone)), now)
	r.publish(position, now)
}

// remove drops servers, or gives them time when their entries may have lapsed
// while the store was away.
func (r *Registry) remove(ids []string, now time.Time) {
	unsaid := 0
	for _, id := range ids {
		if server, known := r.servers[id]; known && !server.Draining && !server.Lapsed {
			unsaid++
		}
	}
	gone := r.lapsesUntil(unsaid, now)
	for _, id := range ids {
		server, known := r.servers[id]
		if !known || server.Lapsed {
			continue
		}
		if server.Draining || !now.Before(gone) {
			delete(r.servers, id)
			r.depart(server, now)
			continue
		}
		server.Lapsed = true
		r.lapsing = true
		server.Gone = gone
		r.servers[id] = server
	}
}

// lapsesUntil is until when so many servers that are removed at once, and had not
// said that they leave, may come back. Lapsed entries are back within a time of the store's return, whenever the
// removal is read: counted from the removal, a server that left just after the
// return would get work for longer than it may.
func (r *Registry) lapsesUntil(removed int, now time.Time) time.Time {
	many := float64(removed) >= r.config.ManyAtOnce*float64(len(r.servers))
	if many {
		return now.Add(r.config.LapseGrace)
	}
	return r.returned.Add(r.config.LapseGrace)
}

// Tick drops the lapsed servers whose time is up.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.at) > r.config.DepartedFor })
	if !r.lapsing {
		return
	}
	before := len(r.servers)
	maps.DeleteFunc(r.servers, func(_ string, server Server) bool {
		gone := server.Lapsed && !now.Before(server.Gone)
		if gone {
			r.depart(server, now)
		}
		return gone
	})
	r.lapsing = false
	for _, server := range r.servers {
		r.lapsing = r.lapsing || server.Lapsed
	}
	if len(r.servers) != before {
		view := r.view.Load()
		r.publish(view.Position, view.Read)
	}
}

func (r *Registry) publish(position oplog.Position, read time.Time) {
	next := &View{Servers: make([]Server, 0, len(r.servers)), Position: position, Read: read, Part: r.keep != nil}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		next.Servers = append(next.Servers, r.servers[id])
	}
	r.view.Store(next)
}
