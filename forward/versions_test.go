package forward

import (
	"maps"
	"testing"
	"time"
)

// setVersions changes the versions of the software of servers.
func (b *bench) setVersions(versions map[string]string) {
	next := *b.View.Servers()
	next.ByRun, next.ByID = maps.Clone(next.ByRun), maps.Clone(next.ByID)
	for id, version := range versions {
		entry := *next.ByRun[id]
		entry.Release = version
		next.ByRun[id], next.ByID[id] = &entry, &entry
	}
	b.setServers(&next)
}

var twoVersions = map[string]string{"p1": "v1", "d1": "v1", "p2": "v2", "d2": "v2"}

func TestBrokenStreamDoesNotContinueAtAnotherVersion(t *testing.T) {
	withBench(t, func(b *bench) {
		b.setVersions(twoVersions)
		ran := b.breakOnce(2, errCrashed)
		if _, body, err := b.read(b.resumable("a")); err == nil || len(ran()) != 1 {
			t.Errorf("error %v, ran at %v, body %q", err, ran(), body)
		}
		b.checkNothingHeld()
	})
}

func TestSilentStreamDoesNotContinueAtAnotherVersion(t *testing.T) {
	withBench(t, func(b *bench) {
		b.setVersions(twoVersions)
		ran := b.breakOnce(2, nil)
		if _, body, err := b.read(b.resumable("a")); err == nil || len(ran()) != 1 {
			t.Errorf("error %v, ran at %v, body %q", err, ran(), body)
		}
		b.checkNothingHeld()
	})
}

func TestStreamDoesNotMoveToAnotherVersion(t *testing.T) {
	withBench(t, func(b *bench) {
		m := newMovingBench(b)
		b.setVersions(twoVersions)
		m.drainAfter(300 * time.Millisecond)
		if _, body, err := b.read(m.longRequest("a")); err != nil || body != wholeMovable() || len(m.runs) != 1 || b.callCount("copy") != 0 {
			t.Errorf("error %v, ran at %s, calls %v", err, m.engineNames(), b.engines.calls)
		}
		b.checkNothingHeld()
	})
}
