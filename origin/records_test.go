package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	old  = Origin{Service: "a", Release: "v1"}
	next = Origin{Service: "a", Release: "v2"}
)

func TestRecordsAreBounded(t *testing.T) {
	const most = 100
	records, now := NewRecords(most), time.Now()
	for i := range 10 * most {
		records.Put(Key(i), old, now.Add(time.Minute), now)
		if records.Len() > most || len(records.order)-records.first > most+1 {
			t.Fatalf("%d records, %d keys", records.Len(), len(records.order)-records.first)
		}
	}
	if _, known := records.Find(Key(10*most-1), now); !known {
		t.Error("the newest record is missing")
	}
	if _, known := records.Find(Key(10*most-1), now.Add(time.Minute)); known {
		t.Error("an expired record was found")
	}
	later := now.Add(2 * time.Minute)
	records.Put(Key(1), next, later.Add(time.Minute), later)
	if records.Len() != 1 || len(records.origins) != 1 {
		t.Errorf("%d records and %d origins are left of expired ones", records.Len(), len(records.origins))
	}
}

// A stream that is taken up again keeps its record for the later deadline.
func TestRecordIsKeptUntilTheLatestDeadline(t *testing.T) {
	records, now := NewRecords(10), time.Now()
	records.Put(1, old, now.Add(10*time.Second), now)
	records.Put(1, old, now.Add(5*time.Second), now)
	if at, known := records.Find(1, now.Add(7*time.Second)); !known || at != old {
		t.Errorf("%v, %v", at, known)
	}
}

// The records of a stream reach a keeper, or are read from the store, in any order and more than once.
func TestOlderRecordDoesNotReplaceADoubt(t *testing.T) {
	records, now := NewRecords(10), time.Now()
	find := func(after time.Duration) string {
		at, known := records.Find(1, now.Add(after))
		return fmt.Sprint(at.Release, known)
	}
	records.Put(1, old, now.Add(10*time.Second), now)
	records.Put(1, Origin{}, now.Add(5*time.Second), now)
	if got := find(7 * time.Second); got != "true" {
		t.Errorf("%s after a doubt, expected an unknown release", got)
	}
	records.Put(1, old, now.Add(20*time.Second), now)
	records.PutOwn(1, next, "s@1", now.Add(20*time.Second), now)
	if got := find(15 * time.Second); got != "true" {
		t.Errorf("%s after a doubt and older records, expected an unknown release", got)
	}
	later := now.Add(30 * time.Second)
	records.Put(1, old, later.Add(10*time.Second), later)
	if got := find(35 * time.Second); got != "v1true" {
		t.Errorf("%s long after the doubt expired", got)
	}
}

func TestKeepersStayWhenOthersLeave(t *testing.T) {
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("i", i))
	}
	for key := range Key(200) {
		before := Keepers(key, names, 3)
		left := slices.Delete(slices.Clone(names), before[1], before[1]+1)
		after := Keepers(key, left, 3)
		if len(after) != 3 || left[after[0]] != names[before[0]] || left[after[1]] != names[before[2]] {
			t.Fatalf("keepers %v, and %v without the second", before, after)
		}
	}
}

func TestSoleReleaseNeedsAWholeWindow(t *testing.T) {
	const window = time.Minute
	start := time.Now()
	r := NewReleases(window)
	sole := func(at time.Duration) string {
		release, ok := r.Sole("a", start.Add(at))
		if !ok {
			return "unknown"
		}
		return release
	}
	check := func(at time.Duration, expected string) {
		t.Helper()
		if got := sole(at); got != expected {
			t.Errorf("%s after %v, expected %s", got, at, expected)
		}
	}
	r.SetListed(map[Origin]bool{old: true}, true, start)
	check(window/2, "unknown")
	check(window, "v1")
	r.SetListed(map[Origin]bool{old: true, next: true}, true, start.Add(2*window))
	check(2*window, "unknown")
	r.SetListed(map[Origin]bool{next: true}, true, start.Add(3*window))
	check(3*window+window/2, "unknown")
	check(4*window+time.Second, "v2")
	r.Extend(start.Add(3*window), map[Origin]time.Time{old: start.Add(5 * window)}, start.Add(5*window))
	check(5*window, "unknown")
	// The window grows over the time for which the history is complete.
	check(8*window, "v2")
	r.SetListed(map[Origin]bool{next: true, {Service: "b"}: true}, true, start.Add(8*window))
	r.SetWindow(4 * window)
	check(8*window, "unknown")
	r.SetWindow(window)
	r.Restart(start.Add(9*window), start.Add(9*window))
	check(9*window, "unknown")
}

func TestHistoryWithValuesThatNoInstanceSendsIsIgnored(t *testing.T) {
	for _, message := range []*Message{
		{},
		{History: &History{CompleteMillis: -1}},
		{History: &History{ListAgeMillis: -1}},
		{History: &History{Listed: []Listed{{At: 0}}}},
		{Origins: []Origin{old}, History: &History{Listed: []Listed{{At: -1}}}},
		{Origins: []Origin{old}, History: &History{Listed: []Listed{{AgeMillis: -1}}}},
	} {
		if _, _, ok := message.Times(time.Now()); ok {
			t.Errorf("accepted %+v", message)
		}
	}
}
