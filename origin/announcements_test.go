package origin

import (
	"strconv"
	"testing"
	"time"
)

const testWindow = time.Minute

var (
	both    = map[Origin]bool{old: true, next: true}
	oldOnly = map[Origin]bool{old: true}
)

// openReleases returns the releases of an instance that has known both for long.
func openReleases(now time.Time) *Releases {
	r := NewReleases(testWindow)
	r.Extend(now.Add(-time.Hour), nil, now)
	r.SetListed(both, true, now)
	r.SetStored(Announced{old: false, next: false}, now)
	r.SetOpen([]Origin{old, next}, now)
	return r
}

func TestForgottenReleaseIsNotOpen(t *testing.T) {
	began := time.Now()
	r := openReleases(began)
	gone := began.Add(10 * time.Second)
	r.SetListed(oldOnly, true, gone)
	now := gone.Add(90 * time.Second)
	fresh := NewReleases(testWindow)
	fresh.SetListed(both, true, now)
	fresh.SetStored(r.Announcements(now), now)
	if _, ok := fresh.MayBegin(next, now.Add(50*time.Millisecond)); ok {
		t.Error("an instance that starts uses a release at once that others have forgotten")
	}
	if _, ok := r.MayBegin(next, now); ok {
		t.Error("a release counts as open that has been gone for long")
	}
}

func TestReleaseWhoseEndWasNoticedLateIsAnnouncedAnew(t *testing.T) {
	began := time.Now()
	r := openReleases(began)
	gone := began.Add(10 * time.Second)
	r.SetListedSince(oldOnly, true, gone, gone.Add(20*time.Second))
	back := gone.Add(70 * time.Second)
	r.SetListed(both, true, back)
	if _, ok := r.MayBegin(next, back); ok {
		t.Error("a release is used at once that others have forgotten")
	}
}

// TestGapHidesOnlyServicesWithoutAnyRelease: a release that came and left in a gap can have been used only if it was
// the only one of its service.
func TestGapHidesOnlyServicesWithoutAnyRelease(t *testing.T) {
	unused := Origin{Service: "b", Release: "v1"}
	began := time.Now()
	r := NewReleases(testWindow)
	r.Extend(began.Add(-time.Hour), nil, began)
	r.SetListed(oldOnly, true, began)
	// The second gap must not span the service, though a release of it has been listed since the first.
	r.Gap(began)
	r.SetListed(map[Origin]bool{old: true, unused: true}, true, began.Add(time.Second))
	r.Gap(began.Add(2 * time.Second))
	r.SetStored(Announced{unused: false}, began.Add(2*time.Second))
	for _, test := range []struct {
		after time.Duration
		known bool
	}{{2 * time.Second, false}, {testWindow, false}, {testWindow + 3*time.Second, true}} {
		now := began.Add(test.after)
		if _, known := r.Sole("b", now); known != test.known {
			t.Errorf("after %v the only release of the service is known: %v", test.after, known)
		}
		if _, known := r.Sole("a", now); !known {
			t.Errorf("after %v the only release of the service that served before is not known", test.after)
		}
	}
	if _, ok := r.MayBegin(unused, began.Add(2*time.Second)); ok {
		t.Error("a release opens without the wait that may not be the only one")
	}
	r.SetListed(oldOnly, true, began.Add(2*testWindow))
	r.Gap(began.Add(2*testWindow + time.Second))
	r.SetListed(map[Origin]bool{old: true, unused: true}, true, began.Add(2*testWindow+2*time.Second))
	if _, known := r.Sole("b", began.Add(2*testWindow+2*time.Second)); !known {
		t.Error("a gap just after a release left hides it")
	}
}

// TestGapIsNotHiddenFromReceiversOfTheHistory guards against a receiver that takes a release for the only one whose
// sender does not, because another one of the service may have come and left in a gap.
func TestGapIsNotHiddenFromReceiversOfTheHistory(t *testing.T) {
	unused := Origin{Service: "b", Release: "v1"}
	began := time.Now()
	sender := NewReleases(testWindow)
	sender.Extend(began.Add(-time.Hour), nil, began)
	sender.SetListed(oldOnly, true, began)
	sender.Gap(began)
	received := func(listed map[Origin]bool, now time.Time) *Releases {
		sender.SetListed(listed, true, now)
		receiver := NewReleases(testWindow)
		receiver.SetListed(listed, true, now)
		since, lastListed, ok := sender.HistoryMessage(0, now).Times(now)
		if !ok {
			t.Fatal("the history is not usable")
		}
		receiver.ExtendFrom(since, now, lastListed, now)
		return receiver
	}
	now := began.Add(time.Second)
	if _, known := received(oldOnly, now).Sole("a", now); !known {
		t.Error("a gap that hides no listed service makes the history unusable")
	}
	both := map[Origin]bool{old: true, unused: true}
	if release, known := received(both, now).Sole("b", now); known {
		t.Errorf("%s is taken for the only release", release)
	}
	now = began.Add(testWindow + time.Second)
	if _, known := received(both, now).Sole("b", now); !known {
		t.Error("the only release is not known a window after the gap")
	}
}

// TestLongHistoryIsNotSent guards against a history that is sent in part: a receiver would miss the other releases.
func TestLongHistoryIsNotSent(t *testing.T) {
	now := time.Now()
	for count, sent := range map[int]bool{MaxReleases: true, MaxReleases + 1: false} {
		listed := make(map[Origin]bool)
		for i := range count {
			listed[Origin{Service: "a", Release: strconv.Itoa(i)}] = true
		}
		r := NewReleases(testWindow)
		r.SetListed(listed, true, now)
		message := r.HistoryMessage(0, now)
		if (message != nil) != sent || (sent && len(message.History.Listed) != count) {
			t.Errorf("a history of %d releases: %v", count, message)
		}
	}
}
