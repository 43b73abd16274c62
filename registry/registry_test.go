package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/oplog"
)

var start = time.Unix(1_000, 0)

func makeEntries(count int) []Entry {
	var all []Entry
	for i := range count {
		all = append(all, Entry{ID: fmt.Sprintf("s%d", i), Service: "a", Address: "127.0.0.1:1"})
	}
	return all
}

func registryWith(count int) *Registry {
	r := New(DefaultConfig())
	r.Reset(Snapshot{Entries: makeEntries(count), Position: 10}, start)
	return r
}

func TestRemovedServerIsDroppedAtOnce(t *testing.T) {
	r := registryWith(10)
	r.Apply([]Change{{ID: "s3"}}, 11, start.Add(time.Second))
	if r.View().Find("s3") != nil {
		t.Fatal("the removed server is still listed")
	}
}

func TestExpiredServerIsKeptForGracePeriod(t *testing.T) {
	r := registryWith(10)
	back := start.Add(5 * time.Second)
	r.StoreReturned(back)
	r.Apply([]Change{{ID: "s3"}}, 11, back)
	if found := r.View().Find("s3"); found == nil || !found.Expired {
		t.Fatal("a server whose entry may have expired was dropped at once")
	}
	r.Tick(back.Add(1900 * time.Millisecond))
	if r.View().Find("s3") == nil {
		t.Fatal("the expired server was dropped before the end of its grace period")
	}
	r.Tick(back.Add(2 * time.Second))
	if r.View().Find("s3") != nil {
		t.Fatal("the expired server is still listed after its grace period")
	}
}

// TestGracePeriodStartsAtStoreReturn covers a server whose entry is removed a second
// after the store's return. It may have left just then, so its grace period counts
// from the return and not from the removal.
func TestGracePeriodStartsAtStoreReturn(t *testing.T) {
	r := registryWith(10)
	r.StoreReturned(start)
	r.Apply([]Change{{ID: "s3"}}, 11, start.Add(time.Second))
	if found := r.View().Find("s3"); found == nil || !found.Expired {
		t.Fatal("a server whose entry may have expired was dropped at once")
	}
	r.Tick(start.Add(2 * time.Second))
	if r.View().Find("s3") != nil {
		t.Fatal("the server is still in use two seconds after the store's return")
	}
	r.Apply([]Change{{ID: "s4"}}, 12, start.Add(2*time.Second))
	if r.View().Find("s4") != nil {
		t.Fatal("a removal after the grace period is treated as expiry")
	}
}

func TestExpiredServerReturns(t *testing.T) {
	r := registryWith(10)
	r.StoreReturned(start)
	r.Apply([]Change{{ID: "s3"}}, 11, start)
	again := Entry{ID: "s3", Service: "a", Address: "127.0.0.1:1"}
	r.Apply([]Change{{ID: "s3", Entry: &again}}, 12, start.Add(time.Second))
	r.Tick(start.Add(time.Minute))
	if found := r.View().Find("s3"); found == nil || found.Expired {
		t.Fatal("an entry that returned was not accepted")
	}
}

func TestDrainingServerIsDroppedAtOnce(t *testing.T) {
	r := registryWith(10)
	draining := Entry{ID: "s3", Service: "a", Draining: true}
	r.Apply([]Change{{ID: "s3", Entry: &draining}}, 11, start)
	r.StoreReturned(start)
	r.Apply([]Change{{ID: "s3"}}, 12, start)
	if r.View().Find("s3") != nil {
		t.Fatal("a removed draining server is still listed")
	}
}

func TestManyRemovalsAtOnceCountAsExpiry(t *testing.T) {
	r := registryWith(10)
	r.Apply([]Change{{ID: "s1"}, {ID: "s2"}, {ID: "s3"}, {ID: "s4"}}, 14, start)
	if found := r.View().Find("s1"); found == nil || !found.Expired {
		t.Fatal("four of ten servers were removed at once and dropped without a grace period")
	}
}

// TestRemovedDrainingServersDoNotCountAsExpiry covers several draining servers that
// are removed together with one server that was not draining. This is no mass expiry,
// so that server must be dropped immediately, not two seconds later.
func TestRemovedDrainingServersDoNotCountAsExpiry(t *testing.T) {
	r := registryWith(10)
	var leaving, gone []Change
	for _, id := range []string{"s1", "s2", "s3"} {
		leaving = append(leaving, Change{ID: id, Entry: &Entry{ID: id, Service: "a", Draining: true}})
		gone = append(gone, Change{ID: id})
	}
	r.Apply(leaving, 13, start)
	r.Apply(append(gone, Change{ID: "s4"}), 17, start.Add(3*time.Second))
	if found := r.View().Find("s4"); found != nil {
		t.Fatalf("the removed server is still in use: %+v", found)
	}
}

func TestOlderListIsIgnored(t *testing.T) {
	r := registryWith(10)
	r.Reset(Snapshot{Entries: makeEntries(2), Position: 9}, start)
	r.Apply([]Change{{ID: "s3"}}, 9, start)
	if len(r.View().Servers) != 10 {
		t.Fatalf("%d servers", len(r.View().Servers))
	}
}

// TestChangesMatchFullList checks that applying all changes leads to the same view as
// reading the full list at the end.
func TestChangesMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower, truth := New(DefaultConfig()), make(map[string]Entry)
		now, position := start, oplog.Position(1)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "away") {
				follower.StoreReturned(now)
			}
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
			change := Change{ID: id}
			delete(truth, id)
			if rapid.Bool().Draw(t, "there") {
				entry := Entry{ID: id, Draining: rapid.Bool().Draw(t, "draining")}
				change.Entry = &entry
				truth[id] = entry
			}
			position++
			follower.Apply([]Change{change}, position, now)
			follower.Tick(now)
		}
		follower.Tick(now.Add(time.Hour))
		if len(follower.View().Servers) != len(truth) {
			t.Fatalf("%d servers in the view, %d in the list", len(follower.View().Servers), len(truth))
		}
		for _, server := range follower.View().Servers {
			if truth[server.ID] != server.Entry {
				t.Fatalf("view has %+v, list has %+v", server.Entry, truth[server.ID])
			}
		}
	})
}

func TestServerWithUnusableEntryIsDroppedAtOnce(t *testing.T) {
	r := registryWith(10)
	r.StoreReturned(start)
	r.Apply([]Change{{ID: "s3", Unusable: true}}, 11, start)
	snapshot := r.View().Snapshot()
	snapshot.Entries, snapshot.Unusable = snapshot.Entries[1:], []string{snapshot.Entries[0].ID}
	r.Reset(snapshot, start)
	if r.View().Find("s3") != nil || r.View().Find("s0") != nil || r.View().Find("s1") == nil {
		t.Fatalf("%+v", r.View().Servers)
	}
}

func TestRestartedServerIsAnotherRun(t *testing.T) {
	first := Entry{ID: "s3", Born: 1764720000123}
	second := Entry{ID: "s3", Born: 1764720000124}
	if first.Run() == second.Run() || first.Run() != (&Entry{ID: "s3", Born: first.Born, Draining: true}).Run() {
		t.Fatalf("%s, %s", first.Run(), second.Run())
	}
}

func TestAnswerWithoutChangesPublishesNothing(t *testing.T) {
	r := registryWith(10)
	before := r.View()
	r.Apply(nil, before.Position, start.Add(time.Second))
	if r.View() != before {
		t.Fatal("an equal view was published")
	}
}

func TestColdUntilCountsFromReadTime(t *testing.T) {
	r := New(DefaultConfig())
	entry := Entry{ID: "a", Born: 1, ColdMillis: 3000}
	until := func() time.Duration { return r.View().Find("a").ColdUntil.Sub(start) }
	r.Reset(Snapshot{Position: 1, Entries: []Entry{entry}}, start)
	if until() != 3*time.Second {
		t.Errorf("cold for %v", until())
	}
	// The same entry changes nothing when it comes again, in a sibling's list or after expiry.
	r.Reset(Snapshot{Position: 2, Entries: []Entry{entry}}, start.Add(time.Second))
	if until() != 3*time.Second {
		t.Errorf("cold for %v", until())
	}
	entry.ColdMillis = 1000
	r.Apply([]Change{{ID: "a", Entry: &entry}}, 3, start.Add(1500*time.Millisecond))
	if until() != 2500*time.Millisecond {
		t.Errorf("cold for %v", until())
	}
	entry.ColdMillis = 0
	r.Apply([]Change{{ID: "a", Entry: &entry}}, 4, start.Add(2*time.Second))
	if !r.View().Find("a").ColdUntil.IsZero() {
		t.Error("the server is still cold")
	}
}

// evenID selects the servers whose id ends in an even digit.
func evenID(entry *Entry) bool { return (entry.ID[len(entry.ID)-1]-'0')%2 == 0 }

func TestFilterLimitsEntries(t *testing.T) {
	r := registryWith(10)
	r.SetFilter(evenID)
	if n := len(r.View().Servers); n != 5 || r.View().Find("s3") != nil {
		t.Fatalf("%d servers are kept, want the 5 with even ids", n)
	}
	position := r.View().Position
	odd, more := Entry{ID: "s3"}, Entry{ID: "t2"}
	r.Apply([]Change{{ID: "s3", Entry: &odd}, {ID: "t2", Entry: &more}, {ID: "s5"}, {ID: "s4"}}, position+4, start)
	if r.View().Find("s3") != nil || r.View().Find("t2") == nil || r.View().Find("s4") != nil || r.View().Position != position+4 {
		t.Errorf("%+v", r.View())
	}
	// A server whose changed entry is no longer selected is dropped.
	r.SetFilter(func(entry *Entry) bool { return entry.Zone == "" })
	moved := Entry{ID: "s2", Zone: "far"}
	r.Apply([]Change{{ID: "s2", Entry: &moved}}, position+5, start)
	if r.View().Find("s2") != nil {
		t.Error("a server that the filter excludes is still listed")
	}
	whole := Snapshot{Entries: makeEntries(10), Position: position + 5}
	if !r.ResetWithFilter(whole, nil, start) || len(r.View().Servers) != 10 {
		t.Errorf("%d servers after the filter was removed", len(r.View().Servers))
	}
	whole.Position = position
	if r.ResetWithFilter(whole, evenID, start) || len(r.View().Servers) != 10 {
		t.Error("an older list changed the filter")
	}
}

// TestFilteredServerIsNotDeparted checks that a server dropped by the filter is not treated
// as departed. It is listed again, and not as expired, once the filter selects it.
func TestFilteredServerIsNotDeparted(t *testing.T) {
	r := New(DefaultConfig())
	r.Reset(Snapshot{Position: oplog.NewPosition(1, 1), Entries: []Entry{{ID: "s1", Born: 1}, {ID: "s2", Born: 1}}}, start)
	r.SetFilter(evenID)
	r.ResetWithFilter(Snapshot{Position: oplog.NewPosition(2, 1), Entries: []Entry{{ID: "s1", Born: 1}, {ID: "s2", Born: 1}}}, nil, start)
	if server := r.View().Find("s1"); server == nil || server.Expired {
		t.Errorf("%+v", server)
	}
}
