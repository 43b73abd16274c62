package registry

import (
	"time"

	"github.com/mastwheel/mastwheel/oplog"
)

// The platform's store may come back from a copy that is some seconds old: what servers
// wrote since is gone until they write it again. What was known of them before stays true:
// a run that has ended, or that leaves, does so also while its entry says otherwise.

// departure is the end of a server's run, as it was read in an era of the store.
type departure struct {
	id   string
	born int64
	at   time.Time
	era  uint64
	// leaving is set if it had said that it leaves.
	leaving bool
}

// depart notes that a run is gone. The caller holds the lock.
func (r *Registry) depart(server Server, now time.Time) {
	r.departed[server.Run()] = departure{id: server.ID, born: server.Born, at: now, era: r.view.Load().Position.Era(), leaving: server.Draining}
}

// corrected returns a list without what is known to be over. The caller holds the lock.
func (r *Registry) corrected(snapshot Snapshot) Snapshot {
	era := snapshot.Position.Era()
	entries := make([]Entry, 0, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		gone, departed := r.departed[entry.Run()]
		if (departed && gone.era < era) || r.earlierRun(entry) {
			continue
		}
		entries = append(entries, r.stillLeaving(entry))
	}
	snapshot.Entries = entries
	return snapshot
}

// earlierRun says whether a server has started again since the run of an entry.
func (r *Registry) earlierRun(entry Entry) bool {
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

// stillLeaving returns an entry with what its run has said before.
func (r *Registry) stillLeaving(entry Entry) Entry {
	known, ok := r.servers[entry.ID]
	entry.Draining = entry.Draining || (ok && known.Run() == entry.Run() && known.Draining) || r.departed[entry.Run()].leaving
	return entry
}

// list takes an entry for what its server is now.
func (r *Registry) list(entry Entry, now time.Time) {
	delete(r.departed, entry.Run())
	server := Server{Entry: entry}
	if known := r.servers[entry.ID]; known.Entry == entry {
		server.ColdUntil = known.ColdUntil
	} else if entry.ColdMillis > 0 {
		server.ColdUntil = now.Add(time.Duration(entry.ColdMillis) * time.Millisecond)
	}
	r.servers[entry.ID] = server
}

// take takes in an entry that was written at a position. In a later era than the first it
// may be one that was written before, and comes again.
func (r *Registry) take(entry Entry, position oplog.Position, now time.Time) {
	if position.Era() > 0 {
		if r.earlierRun(entry) {
			return
		}
		entry = r.stillLeaving(entry)
	}
	r.list(entry, now)
}
