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

// A bounded search of every order in which a server starts again, leaves and writes, the
// store comes back from an older copy, and an instance reads. It plays the registry's own
// code against a small model of the store.

// modelStore is the store's list of one server: what its topic holds, by offset.
type modelStore struct {
	era     uint64
	records []Change
	copies  [][]Change
}

// newest is the entry in the list; nil without one.
func (s *modelStore) newest() *Entry {
	if len(s.records) == 0 {
		return nil
	}
	return s.records[len(s.records)-1].Entry
}

func (s *modelStore) end() oplog.Position { return oplog.At(s.era, uint64(len(s.records))) }

// listWorld is one order of steps as far as it was played.
type listWorld struct {
	store    modelStore
	registry *Registry
	now      time.Time
	// born is the server's run, and leaves is set once that has said so.
	born   int64
	leaves bool
	// newestBorn is the latest run that the instance knew, leaving the runs that it knew to
	// leave, and gone those that it knew to be gone, each with the era.
	newestBorn int64
	leaving    map[int64]bool
	gone       map[int64]uint64
	// again is the era in which a run was read again as a change.
	again map[int64]uint64
}

const modelServer = "a"

func newListWorld() *listWorld {
	w := &listWorld{
		store: modelStore{era: 1}, registry: New(DefaultConfig()), now: time.Unix(1000, 0), born: 1,
		leaving: map[int64]bool{}, gone: map[int64]uint64{}, again: map[int64]uint64{},
	}
	w.write(false)
	w.readWhole()
	return w
}

func (w *listWorld) write(draining bool) {
	w.store.records = append(slices.Clone(w.store.records), Change{ID: modelServer, Entry: &Entry{ID: modelServer, Born: w.born, Draining: draining}})
}

// readWhole has the instance read the list as it is.
func (w *listWorld) readWhole() {
	snapshot := Snapshot{Position: w.store.end()}
	if entry := w.store.newest(); entry != nil {
		snapshot.Entries = []Entry{*entry}
	}
	w.registry.Reset(snapshot, w.now)
}

// readOn has the instance read what is new; in another era that is the whole list.
func (w *listWorld) readOn() {
	from := w.registry.View().Position
	if from.Era() != w.store.era || from.Offset() > uint64(len(w.store.records)) {
		w.readWhole()
		return
	}
	changes := w.store.records[from.Offset():]
	for _, change := range changes {
		if change.Entry != nil {
			w.again[change.Entry.Born] = w.store.era
		}
	}
	w.registry.Apply(changes, w.store.end(), w.now)
}

// listSteps are what can happen; a step that cannot happen now changes nothing. The second
// of two of the same in a row would not either.
var listSteps = []struct {
	name string
	do   func(w *listWorld)
}{
	{"the server says that it leaves", func(w *listWorld) { w.leaves = true; w.write(true) }},
	{"the server's entry is removed", func(w *listWorld) {
		w.store.records = append(slices.Clone(w.store.records), Change{ID: modelServer})
	}},
	{"the server starts again", func(w *listWorld) { w.born++; w.leaves = false; w.write(false) }},
	{"the server's first write is carried out late", func(w *listWorld) {
		w.store.records = append(slices.Clone(w.store.records), Change{ID: modelServer, Entry: &Entry{ID: modelServer, Born: 1}})
	}},
	{"the store is copied", func(w *listWorld) { w.store.copies = [][]Change{w.store.records} }},
	{"the store comes back from the copy", func(w *listWorld) {
		if len(w.store.copies) > 0 {
			w.store.records = w.store.copies[0]
			w.store.copies = nil
			w.store.era++
		}
	}},
	{"the instance reads on", (*listWorld).readOn},
	{"three seconds pass", func(w *listWorld) { w.now = w.now.Add(3 * time.Second); w.registry.Tick(w.now) }},
}

// broken says which promise the instance's picture breaks.
func (w *listWorld) broken() string {
	server := w.registry.View().Find(modelServer)
	era := w.registry.View().Position.Era()
	if server == nil {
		w.gone[w.newestBorn] = era
		return ""
	}
	born := server.Born
	departed, wasGone := w.gone[born]
	switch {
	case born < w.newestBorn:
		return "an earlier run is listed again"
	case w.leaving[born] && !server.Draining:
		return "a run that leaves no longer does"
	case wasGone && departed < era && w.again[born] < era:
		return "a run that is gone is listed again for an older copy"
	}
	w.newestBorn = born
	w.leaving[born] = w.leaving[born] || server.Draining
	delete(w.gone, born)
	return ""
}

// playList plays an order of steps, and says which promise it breaks.
func playList(order []int) string {
	w := newListWorld()
	w.broken()
	for _, step := range order {
		listSteps[step].do(w)
		if broken := w.broken(); broken != "" {
			return broken
		}
	}
	return ""
}

// Whatever happens in which order, a run that has left or ended is not used again for an
// older copy.
func TestEveryOrderOfStepsKeepsWhatIsOver(t *testing.T) {
	depth := 7
	if racedetector.On {
		depth = 5 // One goroutine plays it all.
	}
	orders := 0
	var search func(order []int)
	search = func(order []int) {
		if t.Failed() {
			return
		}
		if len(order) == depth {
			orders++
			if broken := playList(order); broken != "" {
				var names []string
				for _, step := range order {
					names = append(names, listSteps[step].name)
				}
				t.Errorf("%s: %s", broken, strings.Join(names, ", "))
			}
			return
		}
		for step := range listSteps {
			if len(order) > 0 && order[len(order)-1] == step {
				continue
			}
			search(append(order[:len(order):len(order)], step))
		}
	}
	search(nil)
	t.Log(fmt.Sprint(orders, " orders"))
}
