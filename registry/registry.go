// Package registry holds an instance's view of the backend servers that have
// registered themselves with the platform. It does no I/O and reads no clock.
// Callers pass entries and changes with the time at which they were read.
//
// An entry expires when the platform's store drops it although its server still
// runs. This can happen during an outage of the store. An expired server stays in
// use for a grace period, in which it can write its entry again.
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

// Entry is a backend server's own description of itself.
type Entry struct {
	// ID identifies the server. A restarted server may keep its ID.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Address is "ip:port".
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Release is the version of the server's software.
	Release string `cbor:"5,keyasint,omitempty"`
	// Slots is the number of requests that the server processes at the same time.
	Slots int `cbor:"6,keyasint,omitempty"`
	// Draining is set once the server accepts no new work.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Role is table.RolePrefill or table.RoleDecode for a model engine, and
	// empty for other servers.
	Role string `cbor:"8,keyasint,omitempty"`
	// Weights is the version of the model weights that the server uses.
	Weights int `cbor:"9,keyasint,omitempty"`
	// Born is the start time of this run of the server's process, in milliseconds
	// since 1970 by the server's clock. It is 0 if the server does not report it.
	Born int64 `cbor:"10,keyasint,omitempty"`
	// ColdMillis is the remaining time in milliseconds, when the server wrote the entry, in
	// which it can process only few requests because it has just started.
	ColdMillis int64 `cbor:"11,keyasint,omitempty"`
}

const (
	// RunSeparator separates the server's id from the start time in the name of a run.
	RunSeparator = "@"
	// runBase is the number base of the start time in the name of a run. It keeps the
	// name short.
	runBase = 36
)

// Run returns the name of this run of the server's process. Nothing known about a
// run, and nothing assigned to it, carries over to the next run, because a
// restarted server has lost its state.
func (e *Entry) Run() string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + RunSeparator + strconv.FormatInt(e.Born, runBase)
}

// Change is a new entry of a server, or its removal.
type Change struct {
	ID string `cbor:"1,keyasint"`
	// Entry is nil if the server's entry was removed.
	Entry *Entry `cbor:"2,keyasint,omitempty"`
	// Unusable is set if the newest entry does not describe a usable server. The server is
	// then dropped immediately and not treated as expired, because its previous entry will
	// not return.
	Unusable bool `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the full list of servers at one position of the platform's log.
type Snapshot struct {
	Entries []Entry `cbor:"1,keyasint"`
	// Position is the position of the next change in the log.
	Position oplog.Position `cbor:"2,keyasint"`
	// Unusable lists the ids whose entries do not describe a usable server.
	Unusable []string `cbor:"3,keyasint,omitempty"`
}

// Config holds the rules for removed entries.
type Config struct {
	// ExpiryGrace is the time after the return of the platform's store for which a server with
	// an expired entry stays in use. Entries expire during an outage of the store although
	// their servers run. The service requirements say that the servers write them again within
	// about two seconds of the store's return. After a mass removal, as defined by
	// MassRemovalFraction, the time counts from the removal.
	ExpiryGrace time.Duration
	// MassRemovalFraction is the fraction of all servers whose removal in one read is treated as
	// expiry, even if no outage of the store was noticed. Servers that were draining are
	// not counted as removed. Planned work removes fewer servers at a time without
	// draining them first.
	MassRemovalFraction float64
	// DepartedFor is the time for which the registry remembers that a run of a server is gone.
	// It must exceed the age of a copy from which the store may be restored, which is some
	// seconds according to the service requirements.
	DepartedFor time.Duration
}

// DefaultConfig returns the configuration that follows the service requirements.
func DefaultConfig() Config {
	return Config{ExpiryGrace: 2 * time.Second, MassRemovalFraction: 0.3, DepartedFor: 5 * time.Minute}
}

// Server is one backend server in the view of this instance.
type Server struct {
	Entry
	// Expired is set while the entry has expired and may return.
	Expired bool
	// DropAt is the time at which an expired server is dropped.
	DropAt time.Time
	// ColdUntil is the end of the time in which the server can process only few requests.
	// It is computed from the time at which the entry was read.
	ColdUntil time.Time
}

// View is an immutable list of all known servers, sorted by id.
type View struct {
	Servers []Server
	// Position is the log position up to which the view includes all changes.
	Position oplog.Position
	// Read is the time at which changes were last applied.
	Read time.Time
	// IsSubset is set if the view holds only a subset of the list of backend servers.
	IsSubset bool
}

// Find returns the server with the given id, or nil.
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

// Snapshot returns the list of backend servers that siblings need to build the same view.
// Expired servers are left out, because each instance applies its own grace period.
func (v *View) Snapshot() Snapshot {
	snapshot := Snapshot{Position: v.Position}
	for _, server := range v.Servers {
		if !server.Expired {
			snapshot.Entries = append(snapshot.Entries, server.Entry)
		}
	}
	return snapshot
}

// Registry maintains the current View. Writers hold a lock and publish a new View
// atomically. Readers load it without a lock.
type Registry struct {
	config Config

	mu      sync.Mutex
	servers map[string]Server
	// storeReturnedAt is the time at which the store last answered again after an outage for
	// all instances, or was found to be restored from an older copy. It is zero if neither
	// has happened.
	storeReturnedAt time.Time
	// hasExpired is set while there may be expired servers.
	hasExpired bool
	// keep selects the entries that the registry holds. Nil selects all.
	keep func(*Entry) bool
	// departed holds the runs that are gone permanently, by the name of the run.
	departed map[string]departure
	view     atomic.Pointer[View]
}

// New returns an empty registry.
func New(config Config) *Registry {
	r := &Registry{config: config, servers: make(map[string]Server), departed: make(map[string]departure)}
	r.view.Store(&View{})
	return r
}

// View returns the current view.
func (r *Registry) View() *View { return r.view.Load() }

// StoreReturned records the time at which the platform's store answered again after
// an outage in which no instance got an answer for so long that entries may have
// expired. It must not be called when the store only rejected a single instance,
// since the servers could reach the store then.
func (r *Registry) StoreReturned(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeReturnedAt = at
}

// SetFilter drops all servers whose entries do not satisfy keep, and ignores such entries
// until the next ResetWithFilter.
func (r *Registry) SetFilter(keep func(*Entry) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep = keep
	r.dropFiltered()
	view := r.view.Load()
	r.publish(view.Position, view.Read)
}

// dropFiltered drops the servers that r.keep does not select. They may still run, so they
// are not recorded as departed. The caller holds the lock.
func (r *Registry) dropFiltered() {
	maps.DeleteFunc(r.servers, func(_ string, server Server) bool { return !r.keeps(&server.Entry) })
}

// keeps reports whether r.keep selects an entry. The caller holds the lock.
func (r *Registry) keeps(entry *Entry) bool { return r.keep == nil || r.keep(entry) }

// Reset replaces the servers with those of a full list of backend servers, limited to the
// entries that the registry keeps. A list that is older than the current view is ignored.
func (r *Registry) Reset(snapshot Snapshot, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(snapshot, now)
}

// ResetWithFilter is like Reset, but first changes which entries the registry keeps. The
// list must hold all entries that satisfy keep.  A nil keep selects all. ResetWithFilter
// reports whether the list was applied.
func (r *Registry) ResetWithFilter(snapshot Snapshot, keep func(*Entry) bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.Position < r.view.Load().Position {
		return false
	}
	r.keep = keep
	r.dropFiltered()
	r.reset(snapshot, now)
	return true
}

// reset applies a full list of backend servers. The caller holds the lock.
func (r *Registry) reset(snapshot Snapshot, now time.Time) {
	before := r.view.Load().Position
	if snapshot.Position < before {
		return
	}
	if before > 0 && snapshot.Position.Era() > before.Era() {
		// The store was restored from an older copy. Servers whose entries the copy lacks
		// write them again, as after expiry.
		r.storeReturnedAt = now
	}
	if snapshot.Position.Era() > 0 {
		snapshot = r.withoutStaleState(snapshot)
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
		r.storeEntry(entry, now)
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

// Apply applies the changes up to a position of the log.
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
			r.applyEntry(*change.Entry, position, now)
		case change.Unusable:
			delete(r.servers, change.ID)
		}
	}
	if len(changes) == 0 && position == r.view.Load().Position {
		// Publishing an equal view would rebuild everything derived from it about once a
		// second, which is how often the store is queried.
		return
	}
	maps.DeleteFunc(gone, func(_ string, removed bool) bool { return !removed })
	r.remove(slices.Collect(maps.Keys(gone)), now)
	r.publish(position, now)
}

// remove drops servers. Servers whose entries may have expired during an outage of
// the store get a grace period first.
func (r *Registry) remove(ids []string, now time.Time) {
	notDraining := 0
	for _, id := range ids {
		if server, known := r.servers[id]; known && !server.Draining && !server.Expired {
			notDraining++
		}
	}
	gone := r.expiryDeadline(notDraining, now)
	for _, id := range ids {
		server, known := r.servers[id]
		if !known || server.Expired {
			continue
		}
		if server.Draining || !now.Before(gone) {
			delete(r.servers, id)
			r.recordDeparture(server, now)
			continue
		}
		server.Expired = true
		r.hasExpired = true
		server.DropAt = gone
		r.servers[id] = server
	}
}

// expiryDeadline returns the end of the grace period for servers that were removed in one
// read without draining. removed is their number. Expired entries return within a fixed
// time of the store's return, whenever their removal is read. If the grace period counted
// from the removal, a server that left just after the store's return would get work for too
// long.
func (r *Registry) expiryDeadline(removed int, now time.Time) time.Time {
	many := float64(removed) >= r.config.MassRemovalFraction*float64(len(r.servers))
	if many {
		return now.Add(r.config.ExpiryGrace)
	}
	return r.storeReturnedAt.Add(r.config.ExpiryGrace)
}

// Tick drops the expired servers whose grace period has ended, and forgets departed runs
// after Config.DepartedFor.
func (r *Registry) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.removedAt) > r.config.DepartedFor })
	if !r.hasExpired {
		return
	}
	before := len(r.servers)
	maps.DeleteFunc(r.servers, func(_ string, server Server) bool {
		gone := server.Expired && !now.Before(server.DropAt)
		if gone {
			r.recordDeparture(server, now)
		}
		return gone
	})
	r.hasExpired = false
	for _, server := range r.servers {
		r.hasExpired = r.hasExpired || server.Expired
	}
	if len(r.servers) != before {
		view := r.view.Load()
		r.publish(view.Position, view.Read)
	}
}

func (r *Registry) publish(position oplog.Position, read time.Time) {
	next := &View{Servers: make([]Server, 0, len(r.servers)), Position: position, Read: read, IsSubset: r.keep != nil}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		next.Servers = append(next.Servers, r.servers[id])
	}
	r.view.Store(next)
}
