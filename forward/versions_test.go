package forward

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
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

// takeUp returns a request that takes up the stream of another request behind its second event.
func (b *bench) takeUp(id, first string) *Request {
	r := b.resumable(id)
	r.LastEvent, r.Resumes = "2", first
	return r
}

// setOrigins makes the given streams known, and none else.
func (b *bench) setOrigins(began map[string]origin.Origin) {
	known := b.Origins.(*testOrigins)
	known.began, known.sole = began, nil
}

func TestTakenUpStreamContinuesOnlyWhereItsVersionIsKnownAndServes(t *testing.T) {
	for name, test := range map[string]struct {
		began      map[string]origin.Origin
		refused    reason.Reason
		retryAfter bool
		at         string
	}{
		"known":           {began: map[string]origin.Origin{"a": {Service: "llm", Release: "v2"}}, at: "d2"},
		"unknown":         {refused: reason.VersionUnknown, retryAfter: true},
		"gone":            {began: map[string]origin.Origin{"a": {Service: "llm", Release: "v3"}}, refused: reason.VersionGone},
		"another service": {began: map[string]origin.Origin{"a": {Service: "web", Release: "v1"}}, refused: reason.VersionGone},
	} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.setVersions(twoVersions)
				b.setOrigins(test.began)
				ran := b.breakRuns(0, 0, nil)
				reply, body, err := b.read(b.takeUp("b", "a"))
				if test.refused != reason.None {
					if reply.Status != statusUnavailable || reply.Reason != test.refused || (reply.RetryAfter > 0) != test.retryAfter || len(b.engines.calls) > 0 {
						t.Errorf("%+v, calls %v", reply, b.engines.calls)
					}
					return
				}
				if err != nil || len(ran()) != 1 || ran()[0] != test.at || !strings.HasPrefix(body, "id: 3\n") || b.callCount("prefill p1") > 0 {
					t.Errorf("error %v, ran at %v, body %q, calls %v", err, ran(), body, b.engines.calls)
				}
			})
		})
	}
}

// A caller whose stream is taken up and breaks off again names the first request once more.
func TestStreamThatIsTakenUpTwiceStaysAtItsVersion(t *testing.T) {
	withBench(t, func(b *bench) {
		b.setVersions(twoVersions)
		b.setOrigins(map[string]origin.Origin{"a": {Service: "llm", Release: "v2"}})
		ran := b.breakRuns(1, 1, errCrashed)
		if _, _, err := b.read(b.takeUp("b", "a")); err == nil {
			t.Error("the stream continued, though no other engine has its version")
		}
		again := b.takeUp("c", "a")
		again.LastEvent = "3"
		if _, body, err := b.read(again); err != nil || !strings.HasPrefix(body, "id: 4\n") || !slices.Equal(ran(), []string{"d2", "d2"}) {
			t.Errorf("error %v, ran at %v, body %q", err, ran(), body)
		}
	})
}

func TestTakenUpStreamContinuesAtTheServiceThatBeganIt(t *testing.T) {
	withBench(t, func(b *bench) {
		view := b.View.(*testView).view
		for _, route := range view.Routes["h"] {
			if route.Path == "/resume/" {
				route.Split = []table.Share{{Service: "other", Weight: 99}, {Service: "llm", Weight: 1}}
			}
		}
		other := *view.Services["llm"]
		other.Name = "other"
		view.Services["other"] = &other
		b.setOrigins(map[string]origin.Origin{"a": {Service: "llm"}})
		ran := b.breakRuns(0, 0, nil)
		if _, body, err := b.read(b.takeUp("b", "a")); err != nil || len(ran()) != 1 || !strings.HasPrefix(body, "id: 3\n") {
			t.Errorf("error %v, ran at %v, body %q", err, ran(), body)
		}
	})
}

// The list shows another release under the id of the server that began the stream, so that the stream
// may have begun at either.
func TestStreamOfAServerThatIsBackAtAnotherVersionDoesNotContinue(t *testing.T) {
	withBench(t, func(b *bench) {
		b.setVersions(map[string]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1"})
		ran := b.breakOnce(2, errCrashed)
		var once sync.Once
		whole := b.engines.stream
		b.engines.stream = func(ctx context.Context, server, lastEvent string) io.ReadCloser {
			once.Do(func() {
				next := *b.View.Servers()
				next.ByRun, next.ByID = maps.Clone(next.ByRun), maps.Clone(next.ByID)
				again := *next.ByRun[server]
				again.Born, again.Release = 1, "v2"
				next.ByRun[again.Run()], next.ByID[server] = &again, &again
				b.setServers(&next)
			})
			return whole(ctx, server, lastEvent)
		}
		if _, body, err := b.read(b.resumable("a")); err == nil || len(ran()) != 1 {
			t.Errorf("error %v, ran at %v, body %q", err, ran(), body)
		}
	})
}
