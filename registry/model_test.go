package registry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/racedetector"
)

// This file explores every order, up to a bounded length, of these steps: a server restarts,
// leaves or writes, the store is restored from an older copy, and an instance reads. It runs
// the real registry against a small model of the store.

// modelStore models the store's list of a single server. records holds the records of the
// topic by offset.
type modelStore struct {
	era     uint64
	records []Change
	copies  [][]Change
}

// newest returns the current entry of the list, or nil.
func (s *modelStore) newest() *Entry {
	if len(s.records) == 0 {
		return nil
	}
	return s.records[len(s.records)-1].Entry
}

func (s *modelStore) end() oplog.Position { return oplog.NewPosition(s.era, uint64(len(s.records))) }

// scenario is the state after some steps of one order.
type scenario struct {
	store    modelStore
	registry *Registry
	now      time.Time
	// born is the current run of the server. draining is set once the run is draining.
	born     int64
	draining bool
	// newestBorn is the latest run that the instance has known. leaving holds the runs that it
	// knew to be draining. goneIn maps the runs that it knew to be gone to the era of the
	// store in which it learned this (the era increases by one each time the store is restored
	// from an older copy).
	newestBorn int64
	leaving    map[int64]bool
	goneIn     map[int64]uint64
	// rereadIn maps runs to the last era in which they were read as a change.
	rereadIn map[int64]uint64
}

const modelServer = "a"

func newScenario() *scenario {
	w := &scenario{
		store: modelStore{era: 1}, registry: New(DefaultConfig()), now: time.Unix(1000, 0), born: 1,
		leaving: map[int64]bool{}, goneIn: map[int64]uint64{}, rereadIn: map[int64]uint64{},
	}
	w.write(false)
	w.readFullList()
	return w
}

func (w *scenario) write(draining bool) {
	w.store.records = append(slices.Clone(w.store.records), Change{ID: modelServer, Entry: &Entry{ID: modelServer, Born: w.born, Draining: draining}})
}

// readFullList makes the instance read the full list.
func (w *scenario) readFullList() {
	snapshot := Snapshot{Position: w.store.end()}
	if entry := w.store.newest(); entry != nil {
		snapshot.Entries = []Entry{*entry}
	}
	w.registry.Reset(snapshot, w.now)
}

// readChanges makes the instance read new changes. In a new era it reads the full list.
func (w *scenario) readChanges() {
	from := w.registry.View().Position
	if from.Era() != w.store.era || from.Offset() > uint64(len(w.store.records)) {
		w.readFullList()
		return
	}
	changes := w.store.records[from.Offset():]
	for _, change := range changes {
		if change.Entry != nil {
			w.rereadIn[change.Entry.Born] = w.store.era
		}
	}
	w.registry.Apply(changes, w.store.end(), w.now)
}

// scenarioSteps holds the possible steps. A step that is impossible in the current state
// changes nothing, and neither does a step that repeats the previous one.
var scenarioSteps = []struct {
	name string
	do   func(w *scenario)
}{
	{"the server starts draining", func(w *scenario) { w.draining = true; w.write(true) }},
	{"the server's entry is removed", func(w *scenario) {
		w.store.records = append(slices.Clone(w.store.records), Change{ID: modelServer})
	}},
	{"the server restarts", func(w *scenario) { w.born++; w.draining = false; w.write(false) }},
	{"the server's first write takes effect late", func(w *scenario) {
		w.store.records = append(slices.Clone(w.store.records), Change{ID: modelServer, Entry: &Entry{ID: modelServer, Born: 1}})
	}},
	{"the store is copied", func(w *scenario) { w.store.copies = [][]Change{w.store.records} }},
	{"the store is restored from the copy", func(w *scenario) {
		if len(w.store.copies) > 0 {
			w.store.records = w.store.copies[0]
			w.store.copies = nil
			w.store.era++
		}
	}},
	{"the instance reads new changes", (*scenario).readChanges},
	{"three seconds pass", func(w *scenario) { w.now = w.now.Add(3 * time.Second); w.registry.Tick(w.now) }},
}

// violation returns the invariant that the instance's view violates, or "".
func (w *scenario) violation() string {
	server := w.registry.View().Find(modelServer)
	era := w.registry.View().Position.Era()
	if server == nil {
		w.goneIn[w.newestBorn] = era
		return ""
	}
	born := server.Born
	departed, wasGone := w.goneIn[born]
	switch {
	case born < w.newestBorn:
		return "an earlier run is listed again"
	case w.leaving[born] && !server.Draining:
		return "a draining run is no longer draining"
	case wasGone && departed < era && w.rereadIn[born] < era:
		return "a run that is gone is listed again because of an older copy"
	}
	w.newestBorn = born
	w.leaving[born] = w.leaving[born] || server.Draining
	delete(w.goneIn, born)
	return ""
}

// playSteps runs an order of steps and returns the first violation, or "".
func playSteps(order []int) string {
	w := newScenario()
	w.violation()
	for _, step := range order {
		scenarioSteps[step].do(w)
		if broken := w.violation(); broken != "" {
			return broken
		}
	}
	return ""
}

// TestNoOrderOfStepsRevivesDepartedRuns checks that no order of steps makes an instance use a
// run again that is gone, or treat a draining run as active, because the store was restored
// from an older copy.
func TestNoOrderOfStepsRevivesDepartedRuns(t *testing.T) {
	depth := 7
	if racedetector.Enabled {
		depth = 5 // The search runs in a single goroutine, so the race detector only slows it down.
	}
	orders := 0
	var search func(order []int)
	search = func(order []int) {
		if t.Failed() {
			return
		}
		if len(order) == depth {
			orders++
			if broken := playSteps(order); broken != "" {
				var names []string
				for _, step := range order {
					names = append(names, scenarioSteps[step].name)
				}
				t.Errorf("%s: %s", broken, strings.Join(names, ", "))
			}
			return
		}
		for step := range scenarioSteps {
			if len(order) > 0 && order[len(order)-1] == step {
				continue
			}
			search(append(order[:len(order):len(order)], step))
		}
	}
	search(nil)
	t.Log(fmt.Sprint(orders, " orders"))
}
