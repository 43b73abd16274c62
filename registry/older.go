package registry

import (
	"time"

	"github.com/mastwheel/mastwheel/oplog"
)

// The platform's store may be restored from a copy that is some seconds old. Entries that
// servers wrote after the copy was made are missing until the servers write them again. What
// the registry already knows remains valid: a run that is gone or draining stays so even if
// an older entry contradicts it.

// departure records that a run of a server (one start of its process) is gone, and the era
// of the store in which this was read (the era increases by one each time the store is
// restored from an older copy).
type departure struct {
	id        string
	born      int64
	removedAt time.Time
	era       uint64
	// draining is set if the run was draining before.
	draining bool
}

// recordDeparture records that the server's run is gone. The caller holds the lock.
func (r *Registry) recordDeparture(server Server, now time.Time) {
	r.departed[server.Run()] = departure{id: server.ID, born: server.Born, removedAt: now, era: r.view.Load().Position.Era(), draining: server.Draining}
}

// withoutStaleState returns the list of backend servers without runs that were found to be
// gone in an earlier era or that a later run has replaced. Runs that were draining stay
// draining. The caller holds the lock.
func (r *Registry) withoutStaleState(snapshot Snapshot) Snapshot {
	era := snapshot.Position.Era()
	entries := make([]Entry, 0, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		gone, departed := r.departed[entry.Run()]
		if (departed && gone.era < era) || r.isEarlierRun(entry) {
			continue
		}
		entries = append(entries, r.keepDraining(entry))
	}
	snapshot.Entries = entries
	return snapshot
}

// isEarlierRun reports whether a later run of the entry's server is known.
func (r *Registry) isEarlierRun(entry Entry) bool {
	if known, ok := r.servers[entry.ID]; ok {
		return entry.Born < known.Born
	}
	for _, gone := range r.departed {
		if gone.id == entry.ID && entry.Born < gone.born {
			return true
		}
	}
	return false
}

// keepDraining returns the entry with Draining set if its run was draining before.
func (r *Registry) keepDraining(entry Entry) Entry {
	known, ok := r.servers[entry.ID]
	entry.Draining = entry.Draining || (ok && known.Run() == entry.Run() && known.Draining) || r.departed[entry.Run()].draining
	return entry
}

// storeEntry makes an entry the current state of its server.
func (r *Registry) storeEntry(entry Entry, now time.Time) {
	delete(r.departed, entry.Run())
	server := Server{Entry: entry}
	if known := r.servers[entry.ID]; known.Entry == entry {
		server.ColdUntil = known.ColdUntil
	} else if entry.ColdMillis > 0 {
		server.ColdUntil = now.Add(time.Duration(entry.ColdMillis) * time.Millisecond)
	}
	r.servers[entry.ID] = server
}

// applyEntry applies an entry that was read with changes up to a position. If the store has
// eras, the entry may be an older one that reappeared when the store was restored.
func (r *Registry) applyEntry(entry Entry, position oplog.Position, now time.Time) {
	if position.Era() > 0 {
		if r.isEarlierRun(entry) {
			return
		}
		entry = r.keepDraining(entry)
	}
	r.storeEntry(entry, now)
}
