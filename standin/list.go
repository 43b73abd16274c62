package standin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mastwheel/mastwheel/instancelist"
)

// List is a stand-in for the platform's list of instances. Changes become visible
// with a delay.
type List struct {
	// Lag is the delay until a change is visible.
	Lag time.Duration

	mu      sync.Mutex
	entries map[string]instancelist.Entry
}

// NewList returns an empty list with the given lag.
func NewList(lag time.Duration) *List {
	return &List{Lag: lag, entries: make(map[string]instancelist.Entry)}
}

// Set adds or replaces an instance after the lag.
func (l *List) Set(entry instancelist.Entry) {
	l.afterLag(func() { l.entries[entry.Name] = entry })
}

// MarkDraining marks an instance as draining after the lag.
func (l *List) MarkDraining(name string) {
	l.afterLag(func() {
		if entry, listed := l.entries[name]; listed {
			entry.State = instancelist.Draining
			l.entries[name] = entry
		}
	})
}

// Remove removes an instance after the lag.
func (l *List) Remove(name string) {
	l.afterLag(func() { delete(l.entries, name) })
}

// afterLag applies a change under the lock after the lag.
func (l *List) afterLag(change func()) {
	locked := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		change()
	}
	if l.Lag == 0 {
		locked()
		return
	}
	time.AfterFunc(l.Lag, locked)
}

// List implements instancelist.Client.
func (l *List) List(_ context.Context, zone string) ([]instancelist.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]instancelist.Entry, 0, len(l.entries))
	for _, entry := range l.entries {
		if zone == "" || entry.Zone == zone {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b instancelist.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return entries, nil
}

// Zones implements instancelist.Client.
func (l *List) Zones(context.Context) ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	zones := make(map[string]bool)
	for _, entry := range l.entries {
		zones[entry.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones)), nil
}
