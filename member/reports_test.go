package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An older report must not replace a newer one. Hubs had gone silent, and an instance
// that watches them reported it. Other instances had contact with one of these hubs a
// moment later than that instance and had not received its report. They reported the
// hub as alive to each other and to the subscribers of that instance. The reports
// were accepted as long as there was contact with any reporter, and instances that
// queried the hub again lost the change log of the others. This was seen on a virtual
// clock with 58 and 120 instances in one run of three, on 22 to 42 of them at a time.
func TestOlderObservationIsIgnored(t *testing.T) {
	m := newMembers()
	now := start.Add(10 * time.Second)
	m.Report(heartbeat(other, time.Second), Alive, now.Add(-3*time.Second), now)
	m.Report(heartbeat(other, time.Second), Suspect, now.Add(-time.Second), now)
	m.ConfirmReports(now)
	if got := stateOf(m, "other"); got != Suspect {
		t.Fatalf("after a report that the member is silent it is %s, want suspect", got)
	}
	for range 30 {
		m.Report(heartbeat(other, 1100*time.Millisecond), Alive, now.Add(-2900*time.Millisecond), now)
		m.ConfirmReports(now)
		m.Tick(now)
		if got := stateOf(m, "other"); got != Suspect {
			t.Fatalf("after an older report the member is %s, want suspect", got)
		}
	}
	m.Report(heartbeat(other, 5*time.Second), Alive, now.Add(-time.Millisecond), now)
	if got := stateOf(m, "other"); got != Alive {
		t.Errorf("after a newer report the member is %s, want alive", got)
	}
}

// Reports of a member that was in direct contact count too, since direct contact ends
// when hubs take over.
func TestReportsCountAfterDirectContact(t *testing.T) {
	m := newMembers()
	m.ApplyHeartbeat(heartbeat(other, time.Second), start)
	m.Report(heartbeat(other, time.Second), Alive, start.Add(-10*time.Millisecond), start)
	now := start.Add(time.Minute)
	m.ConfirmReports(now)
	m.Tick(now)
	if got := stateOf(m, "other"); got != Alive {
		t.Errorf("after a report that the member is alive it is %s, want alive", got)
	}
}

// Whatever the order of contacts, all instances hold the latest observation once all
// have reported to each other.
func TestInstancesConvergeOnLatestObservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []*Members{newMembers(), newMembers(), newMembers(), newMembers()}
		now := start
		var latest time.Time
		seen := make(map[time.Time]bool)
		want := State("")
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			from := rapid.IntRange(0, len(all)-1).Draw(t, "from")
			if rapid.Bool().Draw(t, "observes") {
				state := rapid.SampledFrom([]State{Alive, Suspect, Leaving}).Draw(t, "state")
				observed := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond)
				if seen[observed] {
					// Of two observations at the same time either may be held.
					continue
				}
				seen[observed] = true
				if observed.After(latest) {
					latest, want = observed, state
				}
				all[from].Report(heartbeat(other, time.Second), state, observed, now)
				continue
			}
			forwardReport(all[from], all[rapid.IntRange(0, len(all)-1).Draw(t, "to")], now)
		}
		if want == "" {
			return
		}
		for range len(all) {
			for _, from := range all {
				for _, to := range all {
					forwardReport(from, to, now)
				}
			}
		}
		for i, m := range all {
			if sibling, _ := m.Find("other"); sibling.Reported != want {
				t.Fatalf("instance %d holds state %s, but %s was observed last", i, sibling.Reported, want)
			}
		}
	})
}

// forwardReport has one instance report its view of the member to another.
func forwardReport(from, to *Members, now time.Time) {
	if sibling, known := from.Find("other"); known {
		to.Report(sibling.Info, sibling.Reported, sibling.Observed, now)
	}
}
