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

// List is the stand-in of the platform's list of instances. What it shows
// lags behind what was set.
type List struct {
	// Lag is how late a change shows.
	Lag time.Duration

	mu      sync.Mutex
	entries map[string]instancelist.Entry
}

// NewList returns an empty list with that lag.
func NewList(lag time.Duration) *List {
	return &List{Lag: lag, entries: make(map[string]instancelist.Entry)}
}

// Set shows an instance after the lag.
func (l *List) Set(entry instancelist.Entry) {
	l.later(func() { l.entries[entry.Name] = entry })
}

// Leaving shows an instance as leaving after the lag.
func (l *List) Leaving(name string) {
	l.later(func() {
		if entry, shown := l.entries[name]; shown {
			entry.State = instancelist.Leaving
			l.entries[name] = entry
		}
	})
}

// Remove drops an instance after the lag.
func (l *List) Remove(name string) {
	l.later(func() { delete(l.entries, name) })
}

func (l *List) later(change func()) {
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
