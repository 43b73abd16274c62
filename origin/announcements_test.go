package origin

import (
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
