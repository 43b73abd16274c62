package edge

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/heartbeat"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/racedetector"
	"github.com/mastwheel/mastwheel/registry"
)

var (
	freshnessFirst = flag.Int("freshness-first", 0, "first seed of the search over standstills, cuts and delays")
	freshnessSeeds = flag.Int("freshness-seeds", 6, "seeds of that search, and six times those of the one with subsets")
)

// knownEverywhereAfter is how long after a release was first listed no instance names another one as the only
// release.
const knownEverywhereAfter = origin.AnnounceWait

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

func TestInstanceThatStoodStillDoesNotRelyOnWhatWaited(t *testing.T) {
	for _, lasts := range standstills {
		for _, joins := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond} {
			withReleases(t, originInstances, func(f *fleet) {
				in := f.instances[0]
				goOn := f.store.standStill(in.config.Name)
				time.Sleep(joins)
				listed := time.Now()
				f.store.registerRelease("n", newRelease)
				time.Sleep(lasts - joins)
				f.store.change(func() { f.store.refused[in.config.Name] = true })
				goOn()
				noGuessAfter(t, in, listed, 3*time.Second, fmt.Sprint("standstill of ", lasts))
			})
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

func TestInstanceWithDelayedDatagramsDoesNotRelyOnThem(t *testing.T) {
	for _, lag := range standstills {
		withReleases(t, originInstances, func(f *fleet) {
			in := f.instances[0]
			f.store.change(func() { f.store.refused[in.config.Name] = true })
			f.mu.Lock()
			f.lagTo[in.config.SiblingAddress] = lag
			f.mu.Unlock()
			time.Sleep(lag + time.Second)
			listed := time.Now()
			f.store.registerRelease("n", newRelease)
			noGuessAfter(t, in, listed, lag+3*time.Second, fmt.Sprint("datagrams delayed by ", lag))
		})
	}
}

// TestListThatIsBeingAppliedNamesNoRelease has the instance stand still between the list and the history of
// releases that follows from it. A sibling's message of an age is handled first afterwards.
func TestListThatIsBeingAppliedNamesNoRelease(t *testing.T) {
	withReleases(t, 1, func(f *fleet) {
		in, now := f.instances[0], time.Now()
		snapshot := in.registry.View().Snapshot()
		snapshot.Position++
		snapshot.Entries = append(snapshot.Entries, registry.Entry{ID: "n", Service: "a", Release: newRelease.Release})
		in.registry.ResetWithFilter(snapshot, nil, now)
		in.list.noteAnswer(storeAnswer{now, now}, true)
		if got, ok := in.Origins.soleRelease("a", now); ok {
			t.Errorf("%s counts as the only release while the list has another", got)
		}
		in.rebuild()
	})
}

// TestHistoryThatWaitedDoesNotHideAGap replaces the list after a standstill in which a history waited.
func TestHistoryThatWaitedDoesNotHideAGap(t *testing.T) {
	withReleases(t, 1, func(f *fleet) {
		o, sentAt := f.instances[0].Origins, time.Now()
		goesOn := sentAt.Add(5 * time.Second)
		o.applyHistory(o.historyMessage(sentAt), sentAt, goesOn)
		o.noteReplaced(sentAt.Add(-time.Second), goesOn)
		if o.releases.CoversWindow(goesOn) {
			t.Error("the history counts as complete though nothing is known of five seconds")
		}
	})
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

// freshnessSearch plays drawn standstills, cuts, delays and restarts while a release comes and goes.
type freshnessSearch struct {
	releaseSearch
	// disturbed holds a few instances, so that events meet at one.
	disturbed []int
	// still holds the instances that stand still, until when and what lets them go on.
	still map[int]standstill
	// guessed counts the checks at which an instance named the only release.
	guessed int
}

type standstill struct {
	until time.Time
	goOn  func()
}

// disturb draws one event.
func (s *freshnessSearch) disturb() {
	i := s.disturbed[s.random.IntN(len(s.disturbed))]
	in, lasts := s.instances[i], time.Duration(s.random.ExpFloat64()*float64(2500*time.Millisecond))
	event := s.random.IntN(7)
	if _, still := s.still[i]; event < 3 && !still {
		s.still[i] = standstill{time.Now().Add(lasts), s.store.standStill(in.config.Name)}
	} else if event == 3 && !still {
		s.restart([]int{i}, 0)
	}
	s.store.change(func() { s.store.refused[in.config.Name] = event == 0 || event == 4 })
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lagTo, in.config.SiblingAddress)
	if event == 4 || event == 5 {
		s.lagTo[in.config.SiblingAddress] = lasts
	}
	s.cut[in.config.SiblingAddress] = event == 6
}

// play disturbs and checks for a time. listed is when the new release was listed, zero if it is not.
func (s *freshnessSearch) play(lasts time.Duration, disturbs bool, listed time.Time) {
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, one := range s.still {
			if !time.Now().Before(one.until) {
				one.goOn()
				delete(s.still, i)
			}
		}
		if disturbs && s.random.IntN(20) == 0 {
			s.disturb()
		}
		for i, in := range s.instances {
			sole, ok := in.Origins.soleRelease("a", time.Now())
			if _, still := s.still[i]; still || !ok {
				continue
			}
			s.guessed++
			if age := time.Since(listed); !listed.IsZero() && sole != newRelease.Release && age > knownEverywhereAfter {
				s.t.Errorf("%s names %q as the only release %v after another was listed", in.config.Name, sole, age)
				return
			}
		}
	}
}

// search plays some rounds. In each a release comes and goes.
func (s *freshnessSearch) search(rounds int) {
	s.setWindows()
	for i := range s.instances {
		s.stops = append(s.stops, s.startThese(s.instances[i:i+1]))
	}
	time.Sleep(20 * time.Second)
	for round := 0; round < rounds && !s.t.Failed(); round++ {
		s.play(searchWindow+2*time.Second, false, time.Time{})
		s.play(time.Duration(s.random.IntN(4000))*time.Millisecond, true, time.Time{})
		listed := time.Now()
		s.store.registerRelease("n", newRelease)
		// No stream begins at a release that is gone sooner.
		s.play(origin.AnnounceWait+time.Duration(s.random.IntN(2000))*time.Millisecond, true, listed)
		s.store.remove("n")
		s.play(3*time.Second, true, listed)
		s.play(time.Second, false, listed)
		s.mu.Lock()
		clear(s.cut)
		clear(s.lagTo)
		s.mu.Unlock()
		s.store.change(func() { clear(s.store.refused) })
		s.play(5*time.Second, false, time.Time{})
	}
	for _, one := range s.still {
		one.goOn()
	}
	for _, stop := range s.stops {
		stop()
	}
	s.running.Wait()
}

func TestNoInstanceNamesAnotherReleaseLongAfterOneWasListed(t *testing.T) {
	for seed := *freshnessFirst; seed < *freshnessFirst+*freshnessSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			s := &freshnessSearch{releaseSearch: releaseSearch{fleet: newFleet(t, originInstances, DefaultConfig()), random: rand.New(rand.NewPCG(uint64(seed), 2))}, disturbed: []int{0, 1, 7}, still: make(map[int]standstill)}
			for i := range 10 {
				s.store.registerRelease(fmt.Sprint("s", i), oldRelease)
			}
			s.search(6)
			t.Logf("seed %d: the only release named at %d checks", seed, s.guessed)
		})
	}
}

func TestNoInstanceWithASubsetNamesAnotherReleaseLongAfterOneWasListed(t *testing.T) {
	if racedetector.Enabled {
		t.Skip("too many goroutines for the race detector")
	}
	for seed := *freshnessFirst; seed < *freshnessFirst+*freshnessSeeds/6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			// A member and two hubs.
			s := &freshnessSearch{releaseSearch: releaseSearch{fleet: newFleetWithSubsets(t), random: rand.New(rand.NewPCG(uint64(seed), 3))}, disturbed: []int{0, 7, 27}, still: make(map[int]standstill)}
			s.search(2)
			t.Logf("seed %d: the only release named at %d checks", seed, s.guessed)
		})
	}
}
