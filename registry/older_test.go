package registry

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/oplog"
)

func TestOlderListDoesNotReviveDepartedRuns(t *testing.T) {
	r := New(DefaultConfig())
	entry := func(id string, born int64, draining bool) Entry { return Entry{ID: id, Born: born, Draining: draining} }
	old := Snapshot{Position: oplog.NewPosition(1, 10), Entries: []Entry{
		entry("stays", 1, false), entry("leaves", 1, false), entry("left", 1, false), entry("again", 1, false), entry("expires", 1, false),
	}}
	r.Reset(old, start)
	changes := []Change{
		{ID: "leaves", Entry: &Entry{ID: "leaves", Born: 1, Draining: true}},
		{ID: "left", Entry: &Entry{ID: "left", Born: 1, Draining: true}},
		{ID: "left"},
		{ID: "again", Entry: &Entry{ID: "again", Born: 2}},
		{ID: "came", Entry: &Entry{ID: "came", Born: 1}},
	}
	r.Apply(changes, oplog.NewPosition(1, 15), start.Add(time.Second))
	// The store is restored from a copy made before these changes.
	now := start.Add(2 * time.Second)
	older := old
	older.Position = oplog.NewPosition(2, 10)
	r.Reset(older, now)
	check := func(id string, want bool, draining bool) {
		t.Helper()
		server := r.View().Find(id)
		if (server != nil) != want || (server != nil && server.Draining != draining) {
			t.Errorf("%s: %+v", id, server)
		}
	}
	check("stays", true, false)
	check("leaves", true, true)
	check("left", false, false)
	check("again", true, false)
	check("came", true, false)
	if again, came := r.View().Find("again"), r.View().Find("came"); again.Born != 2 || !again.Expired || !came.Expired {
		t.Errorf("%+v %+v", again, came)
	}
	// A list that a sibling read a moment later leads to the same view.
	older.Position = oplog.NewPosition(2, 11)
	r.Reset(older, now.Add(100*time.Millisecond))
	check("left", false, false)
	check("leaves", true, true)
	// Entries that are written again are accepted. The other servers are dropped after the
	// grace period.
	r.Apply([]Change{
		{ID: "came", Entry: &Entry{ID: "came", Born: 1}},
		{ID: "again", Entry: &Entry{ID: "again", Born: 1}},
		{ID: "leaves", Entry: &Entry{ID: "leaves", Born: 1}},
		{ID: "left", Entry: &Entry{ID: "left", Born: 1}},
	}, oplog.NewPosition(2, 15), now.Add(time.Second))
	r.Tick(now.Add(DefaultConfig().ExpiryGrace + time.Second))
	check("came", true, false)
	check("again", false, false)
	check("leaves", true, true)
	check("left", true, true)
	// A run that starts later is a new run, which is not draining.
	r.Apply([]Change{{ID: "leaves", Entry: &Entry{ID: "leaves", Born: 3}}}, oplog.NewPosition(2, 16), now.Add(4*time.Second))
	check("leaves", true, false)
}

// TestWithoutErasReappearingEntryIsAccepted checks that an entry that reappears is accepted
// if the store reports no eras.
func TestWithoutErasReappearingEntryIsAccepted(t *testing.T) {
	r := New(DefaultConfig())
	r.Reset(Snapshot{Position: 10, Entries: []Entry{{ID: "a"}}}, start)
	r.Apply([]Change{{ID: "a"}}, 11, start)
	r.Apply([]Change{{ID: "a", Entry: &Entry{ID: "a"}}}, 12, start)
	if server := r.View().Find("a"); server == nil || server.Expired {
		t.Errorf("%+v", server)
	}
}

// TestEarlierRunStaysGoneAfterLaterRunLeft covers a server that restarted and then left after
// a copy of the store was made. The copy still lists the first run, which must not be used.
func TestEarlierRunStaysGoneAfterLaterRunLeft(t *testing.T) {
	r := New(DefaultConfig())
	first := Snapshot{Position: oplog.NewPosition(1, 10), Entries: []Entry{{ID: "a", Born: 1}}}
	r.Reset(first, start)
	r.Apply([]Change{{ID: "a", Entry: &Entry{ID: "a", Born: 2, Draining: true}}, {ID: "a"}}, oplog.NewPosition(1, 12), start)
	first.Position = oplog.NewPosition(2, 10)
	r.Reset(first, start.Add(time.Second))
	if server := r.View().Find("a"); server != nil {
		t.Errorf("%+v", server)
	}
}

// TestDeparturesAreForgotten checks that records of departed runs do not accumulate.
func TestDeparturesAreForgotten(t *testing.T) {
	r := New(DefaultConfig())
	r.Reset(Snapshot{Position: oplog.NewPosition(1, 1), Entries: []Entry{{ID: "a", Born: 1, Draining: true}}}, start)
	r.Apply([]Change{{ID: "a"}}, oplog.NewPosition(1, 2), start)
	r.Tick(start.Add(DefaultConfig().DepartedFor + time.Second))
	if len(r.departed) != 0 {
		t.Errorf("%d departures are kept, want none", len(r.departed))
	}
}
