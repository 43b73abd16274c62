package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
)

// knownEverywhereAfter is how long after a release was first listed no instance names another one as the only
// release.
const knownEverywhereAfter = listFreshFor + confirmationSlack

var standstills = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}

// noGuessAfter fails the test if an instance names a release as the only one for a time, though another was
// listed long enough ago.
func noGuessAfter(t *testing.T, in *Instance, listed time.Time, lasts time.Duration, what string) {
	t.Helper()
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if sole, ok := in.Origins.soleRelease("a", time.Now()); ok && time.Since(listed) > knownEverywhereAfter {
			t.Errorf("%s: %s names %s as the only release %v after another was listed", what, in.config.Name, sole, time.Since(listed))
			return
		}
	}
}

func TestAnswerThatWaitedDoesNotConfirmTheList(t *testing.T) {
	for _, lasts := range standstills {
		withReleases(t, originInstances, func(f *fleet) {
			// The strongest instances leave long polls waiting at the store.
			in := f.instances[7]
			f.mu.Lock()
			f.cut[in.config.SiblingAddress] = true
			f.mu.Unlock()
			goOn := f.store.standStill(in.config.Name)
			time.Sleep(10 * time.Millisecond)
			f.store.registerRelease("o", oldRelease)
			time.Sleep(10 * time.Millisecond)
			listed := time.Now()
			f.store.registerRelease("n", newRelease)
			time.Sleep(lasts)
			f.store.change(func() { f.store.refused[in.config.Name] = true })
			goOn()
			noGuessAfter(t, in, listed, 3*time.Second, fmt.Sprint("standstill of ", lasts))
		})
	}
}

// TestListIsCurrentInABusyTime guards against confirmations that count from the time of a question being too
// old for continuations where the list changes often.
func TestListIsCurrentInABusyTime(t *testing.T) {
	for _, every := range []time.Duration{300 * time.Millisecond, time.Second} {
		withReleases(t, originInstances, func(f *fleet) {
			before := f.store.called()
			missed := 0
			for i := range int(time.Minute / every) {
				f.store.registerRelease(fmt.Sprint("n", i%20), oldRelease)
				for end := time.Now().Add(every); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					for _, in := range f.instances {
						if !in.Origins.isCurrent(time.Now()) {
							missed++
						}
					}
				}
			}
			t.Logf("a change each %v: %d calls a minute, not current at %d of %d checks", every, f.store.called()-before, missed, 6000*originInstances)
			if missed > 0 {
				t.Errorf("a change each %v: the list is not current at %d checks", every, missed)
			}
		})
	}
}

func TestMessagesOfOriginsDoNotWipeLoads(t *testing.T) {
	withReleases(t, 2, func(f *fleet) {
		asked, asks := f.instances[0], f.instances[1]
		sent := asks.message(time.Now())
		sent.NoLoads, sent.Loads = false, []heartbeat.Load{{Server: 7, Memory: 100}}
		asked.handleMessage(sent)
		asks.Origins.ask(context.Background(), 1, "a")
		if got := asked.peers.sum(asked.members.View().Serving())[7].Memory; got != 100 {
			t.Errorf("%d of 100 tokens that a sibling has committed are known after its question", got)
		}
	})
}
