package backpressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// passOn has one tracker hear what another sends, as it arrives.
func passOn(t *testing.T, from, to *Tracker, sent, arrives time.Time) {
	t.Helper()
	data, err := cbor.Marshal(from.Update(sent))
	if err != nil {
		t.Fatal(err)
	}
	var update *Update
	if err := cbor.Unmarshal(data, &update); err != nil {
		t.Fatal(err)
	}
	to.Merge(update, "sibling", true, arrives)
}

// trackers returns so many that know of each other.
func trackers(count int) []*Tracker {
	all := make([]*Tracker, count)
	for i := range all {
		all[i] = New(rand.New(rand.NewPCG(uint64(i), 5)).Float64)
	}
	return all
}

// Two that repeat each other's word with a delay make it no newer, so the end that a third
// has heard goes before it.
func TestRepetitionKeepsNoLimitAlive(t *testing.T) {
	a, b, c := trackers(3)[0], trackers(3)[1], trackers(3)[2]
	start := time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	a.Server("s").Heard(named(5), at(0), at(0))
	passOn(t, a, c, at(0), at(1))
	for millis := 0; millis < 5000; millis += 100 {
		passOn(t, a, b, at(millis), at(millis+90))
		passOn(t, b, a, at(millis+5), at(millis+95))
	}
	c.Server("s").Heard(silent, at(400), at(500))
	passOn(t, a, c, at(5000), at(5050))
	if c.Limited() != 0 {
		t.Fatal("an older word came back")
	}
	passOn(t, c, a, at(5050), at(5060))
	passOn(t, a, b, at(5070), at(5080))
	if a.Limited()+b.Limited() != 0 {
		t.Error("the end is not heard")
	}
}

func TestWhoeverLeavesIsKnownToLeaveOnce(t *testing.T) {
	all := trackers(2)
	now := time.Now()
	told := 0
	all[1].OnChange(func(Change) { told++ }, nil)
	all[0].Server("s").Heard(Statement{Leaving: true}, now, now)
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		passOn(t, all[0], all[1], now, now)
	}
	if told != 1 || !all[1].Server("s").IsLeaving() || all[1].Leaving() != 1 {
		t.Errorf("told %d times", told)
	}
}

// Of servers that are gone instances would remind each other for ever.
func TestNobodyIsToldOfServersThatAreNotListed(t *testing.T) {
	tracker, now := alone(), time.Now()
	tracker.Merge(&Update{Drains: []DrainSaid{{Server: IDOf("s")}}}, "sibling", true, now)
	if tracker.Update(now) != nil || tracker.Whole(now) != nil {
		t.Error("told before it is on the list")
	}
	tracker.Server("s")
	if tracker.Update(now) == nil {
		t.Error("not told though it is on the list")
	}
	tracker.Keep(func(string) bool { return false }, now)
	if tracker.Update(now) != nil {
		t.Error("told though it has left the list")
	}
}

// Rest is asked of the one that was turned away.
func TestRestIsNobodyElses(t *testing.T) {
	all := trackers(2)
	now := time.Now()
	all[0].Server("s").Heard(turnedAway(time.Minute), now, now)
	if update := all[0].Update(now); update != nil {
		t.Errorf("%+v", update)
	}
}

func TestWhatCannotBeIsNotTakenIn(t *testing.T) {
	tracker := alone()
	tracker.Merge(&Update{
		Limits: []LimitSaid{
			{Server: 1, AgeMillis: -5, Named: true, Rate: 1},
			{Server: 2, AgeMillis: time.Hour.Milliseconds(), Named: true, Rate: 1},
			{Server: 3, Named: true, Rate: -1},
			{Server: 4, AgeMillis: 1 << 62, Named: true, Rate: 1},
		},
		Drains: []DrainSaid{{Server: 5, AgeMillis: -1}, {Server: 6, AgeMillis: 1 << 62}},
	}, "sibling", true, time.Now())
	if n := tracker.Limited() + tracker.Leaving(); n != 0 {
		t.Errorf("%d taken in", n)
	}
}

// What is known beforehand of a run holds once that is on the list.
func TestWhatIsHeardOfAnUnknownRunHoldsOnceItIsKnown(t *testing.T) {
	tracker, now := alone(), time.Now()
	tracker.Merge(&Update{Drains: []DrainSaid{{Server: IDOf("s@2")}}}, "sibling", false, now)
	if tracker.Server("s@2").Look(PlainWork, now) != Leaving || tracker.Server("s@3").Look(PlainWork, now) != Clear {
		t.Error("not by run")
	}
}
