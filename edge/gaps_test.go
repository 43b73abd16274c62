package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/origin"
)

// TestReleaseThatOpenedAloneDuringAGapIsNotMissed: the first release of a service opens without the wait. It leaves
// again while an instance is out of touch, which then replaces its list instead of following the changes.
func TestReleaseThatOpenedAloneDuringAGapIsNotMissed(t *testing.T) {
	first, second := origin.Origin{Service: searchService, Release: "v1"}, origin.Origin{Service: searchService, Release: "v2"}
	for name, joinsInTheGap := range map[string]bool{"the next release joins in the gap": true, "the next release joins after it": false} {
		play := func(t *testing.T) {
			f := newFleet(t, 3, DefaultConfig())
			for _, in := range f.instances {
				in.Origins.leastWindow = searchWindow
				in.Origins.releases.SetWindow(searchWindow)
			}
			defer f.start()()
			time.Sleep(2*searchWindow + 5*time.Second)
			away := f.instances[2]
			f.setCut(away, true)
			f.store.change(func() { f.store.refused[away.config.Name] = true })
			f.store.registerRelease("n1", first)
			time.Sleep(400 * time.Millisecond)
			if !mayBegin(f.instances[0], first) {
				t.Fatal("the first release of the service has not opened")
			}
			f.store.remove("n1")
			if joinsInTheGap {
				f.store.registerRelease("n2", second)
			}
			f.store.change(func() { delete(f.store.refused, away.config.Name) })
			if _, err := away.readServers(context.Background(), false, 0); err != nil {
				t.Fatal(err)
			}
			if !joinsInTheGap {
				f.store.registerRelease("n2", second)
			}
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if release, sole := away.Origins.soleRelease(searchService, time.Now()); sole {
					t.Fatalf("%s is taken for the only release", release)
				}
				if mayBegin(away, second) {
					t.Fatal("streams begin at a release at once that is not the only one")
				}
			}
			// The other service has had servers all the time.
			if _, sole := away.Origins.soleRelease("a", time.Now()); !sole {
				t.Error("the only release of another service is not known")
			}
			time.Sleep(searchWindow + origin.AnnounceWait)
			if release, _ := away.Origins.soleRelease(searchService, time.Now()); release != second.Release {
				t.Errorf("%q is taken for the only release long after the gap", release)
			}
		}
		t.Run(name, func(t *testing.T) { synctest.Test(t, play) })
	}
}
