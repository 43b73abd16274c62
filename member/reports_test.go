package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Hubs had fallen silent. One who watches them said so; others, who had heard one of them a
// moment later than the former and had not yet been told, said that it lives, to each
// other and to the former's subscribers. That was believed for as long as anybody was
// heard, and who asked that hub again lost the account of the others: seen on a virtual
// clock with 58 and 120 instances in one run of three, by 22 to 42 of them at a time.
func TestAnOlderObservationChangesNothing(t *testing.T) {
	m := newMembers()
	now := start.Add(10 * time.Second)
	m.Report(beat(other, time.Second), Alive, now.Add(-3*time.Second), now)
	m.Report(beat(other, time.Second), Suspect, now.Add(-time.Second), now)
	m.ConfirmReports(now)
	if got := stateOf(m, "other"); got != Suspect {
		t.Fatalf("told that it is silent, it is %s", got)
	}
	for range 30 {
		m.Report(beat(other, 1100*time.Millisecond), Alive, now.Add(-2900*time.Millisecond), now)
		m.ConfirmReports(now)
		m.Tick(now)
		if got := stateOf(m, "other"); got != Suspect {
			t.Fatalf("by an older word it is %s", got)
		}
	}
	m.Report(beat(other, 5*time.Second), Alive, now.Add(-time.Millisecond), now)
	if got := stateOf(m, "other"); got != Alive {
		t.Errorf("it is back, and %s", got)
	}
}

// What is told of a member that was heard directly counts too: it is no longer heard so
// when hubs take over.
func TestWhatIsToldCountsBesideWhatIsHeard(t *testing.T) {
	m := newMembers()
	m.Heard(beat(other, time.Second), start)
	m.Report(beat(other, time.Second), Alive, start.Add(-10*time.Millisecond), start)
	now := start.Add(time.Minute)
	m.ConfirmReports(now)
	m.Tick(now)
	if got := stateOf(m, "other"); got != Alive {
		t.Errorf("told that it lives, it is %s", got)
	}
}

// Whoever hears whom: when all have told each other, all believe what was observed last.
func TestTheLatestObservationIsBelievedByAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []*Members{newMembers(), newMembers(), newMembers(), newMembers()}
		now := start
		var latest time.Time
		seen := make(map[time.Time]bool)
		want := State("")
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			from := rapid.IntRange(0, len(all)-1).Draw(t, "from")
			if rapid.Bool().Draw(t, "observes") {
				state := rapid.SampledFrom([]State{Alive, Suspect, Leaving}).Draw(t, "state")
				observed := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond)
				if seen[observed] {
					// Of two at the same moment either may be believed.
					continue
				}
				seen[observed] = true
				if observed.After(latest) {
					latest, want = observed, state
				}
				all[from].Report(beat(other, time.Second), state, observed, now)
				continue
			}
			repeat(all[from], all[rapid.IntRange(0, len(all)-1).Draw(t, "to")], now)
		}
		if want == "" {
			return
		}
		for range len(all) {
			for _, from := range all {
				for _, to := range all {
					repeat(from, to, now)
				}
			}
		}
		for i, m := range all {
			if sibling, _ := m.Find("other"); sibling.Reported != want {
				t.Fatalf("%d believes %s, %s was observed last", i, sibling.Reported, want)
			}
		}
	})
}

// repeat has one tell another what it believes.
func repeat(from, to *Members, now time.Time) {
	if sibling, known := from.Find("other"); known {
		to.Report(sibling.Info, sibling.Reported, sibling.Observed, now)
	}
}
