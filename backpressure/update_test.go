package backpressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// deliverUpdate merges one tracker's update into another, as it is after encoding and
// decoding.
func deliverUpdate(t *testing.T, from, to *Tracker, sent, arrives time.Time) {
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

// trackers returns as many trackers as requested.
func trackers(count int) []*Tracker {
	all := make([]*Tracker, count)
	for i := range all {
		all[i] = New(rand.New(rand.NewPCG(uint64(i), 5)).Float64)
	}
	return all
}

// Two instances that repeat each other's reports with a delay must not make them newer.
// Otherwise the end of the limit that a third instance has received would not replace them.
func TestRepeatedReportsDoNotKeepLimit(t *testing.T) {
	a, b, c := trackers(3)[0], trackers(3)[1], trackers(3)[2]
	start := time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	a.Server("s").Observe(limitOf(5), at(0), at(0))
	deliverUpdate(t, a, c, at(0), at(1))
	for millis := 0; millis < 5000; millis += 100 {
		deliverUpdate(t, a, b, at(millis), at(millis+90))
		deliverUpdate(t, b, a, at(millis+5), at(millis+95))
	}
	c.Server("s").Observe(noLimit, at(400), at(500))
	deliverUpdate(t, a, c, at(5000), at(5050))
	if c.Limited() != 0 {
		t.Fatal("an older report was accepted")
	}
	deliverUpdate(t, c, a, at(5050), at(5060))
	deliverUpdate(t, a, b, at(5070), at(5080))
	if a.Limited()+b.Limited() != 0 {
		t.Error("the end of the limit was not received")
	}
}

func TestDrainIsNotifiedOnce(t *testing.T) {
	all := trackers(2)
	now := time.Now()
	notified := 0
	all[1].OnChange(func(Change) { notified++ }, nil)
	all[0].Server("s").Observe(StatusReport{Leaving: true}, now, now)
	for range 5 {
		now = now.Add(300 * time.Millisecond)
		deliverUpdate(t, all[0], all[1], now, now)
	}
	if notified != 1 || !all[1].Server("s").IsLeaving() || all[1].Leaving() != 1 {
		t.Errorf("drain notified %d times", notified)
	}
}

// Instances would repeat the state of unlisted servers to each other for ever.
func TestUnlistedServersAreNotSent(t *testing.T) {
	tracker, now := singleInstance(), time.Now()
	tracker.Merge(&Update{Drains: []DrainReport{{Server: IDOf("s")}}}, "sibling", true, now)
	if tracker.Update(now) != nil || tracker.FullUpdate(now) != nil {
		t.Error("unlisted server was sent")
	}
	tracker.Server("s")
	if tracker.Update(now) == nil {
		t.Error("listed server was not sent")
	}
	tracker.Prune(func(string) bool { return false }, now)
	if tracker.Update(now) != nil {
		t.Error("server was sent after it left the list")
	}
}

// A backoff applies only to the instance that was rejected.
func TestBackoffIsNotSentToSiblings(t *testing.T) {
	all := trackers(2)
	now := time.Now()
	all[0].Server("s").Observe(rejectedWithBackoff(time.Minute), now, now)
	if update := all[0].Update(now); update != nil {
		t.Errorf("update = %+v, want none", update)
	}
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	tracker := singleInstance()
	tracker.Merge(&Update{
		Limits: []LimitReport{
			{Server: 1, AgeMillis: -5, Named: true, Rate: 1},
			{Server: 2, AgeMillis: time.Hour.Milliseconds(), Named: true, Rate: 1},
			{Server: 3, Named: true, Rate: -1},
			{Server: 4, AgeMillis: 1 << 62, Named: true, Rate: 1},
		},
		Drains: []DrainReport{{Server: 5, AgeMillis: -1}, {Server: 6, AgeMillis: 1 << 62}},
	}, "sibling", true, time.Now())
	if n := tracker.Limited() + tracker.Leaving(); n != 0 {
		t.Errorf("%d invalid reports were applied", n)
	}
}

// A report that arrives before its server run is on the list of backend servers applies once
// the run is on it.
func TestReportOfUnknownRunAppliesOnceListed(t *testing.T) {
	tracker, now := singleInstance(), time.Now()
	tracker.Merge(&Update{Drains: []DrainReport{{Server: IDOf("s@2")}}}, "sibling", false, now)
	if tracker.Server("s@2").Check(PlainWork, now) != Leaving || tracker.Server("s@3").Check(PlainWork, now) != Clear {
		t.Error("report was not applied to its run only")
	}
}
