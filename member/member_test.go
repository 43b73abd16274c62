package member

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mastwheel/mastwheel/operation"
)

var (
	start = time.Unix(1000, 0)
	other = operation.Member{Name: "other", Incarnation: 5}
)

func newMembers() *Members {
	return New(operation.Member{Name: "self", Incarnation: 1}, DefaultRegion())
}

func beat(member operation.Member, uptime time.Duration) Info {
	return Info{Name: member.Name, Incarnation: member.Incarnation, Uptime: uptime, Peer: "p"}
}

func stateOf(m *Members, name string) State {
	sibling, _ := m.View().Find(name)
	return sibling.State
}

func TestSuspicionBeforeDeath(t *testing.T) {
	Convey("Given a member that was heard and is on the list", t, func() {
		m := newMembers()
		m.Listed(map[string]bool{"other": false}, start)
		m.Heard(beat(other, time.Second), start)
		So(stateOf(m, "other"), ShouldEqual, Alive)

		Convey("silence makes it a suspect, and not a dead one while the list shows it", func() {
			m.Tick(start.Add(3 * time.Second))
			So(stateOf(m, "other"), ShouldEqual, Suspect)
			m.Tick(start.Add(30 * time.Second))
			So(stateOf(m, "other"), ShouldEqual, Suspect)
			So(m.View().IsDead(other), ShouldBeFalse)
		})
		Convey("silence and the list together make it dead", func() {
			m.Listed(nil, start.Add(6*time.Second))
			So(m.View().IsDead(other), ShouldBeTrue)
		})
		Convey("a sibling's word keeps it from being dead, but not from being a suspect", func() {
			m.Vouch(other, start.Add(5*time.Second), start.Add(6*time.Second))
			m.Listed(nil, start.Add(6*time.Second))
			So(stateOf(m, "other"), ShouldEqual, Suspect)
		})
		Convey("very long silence makes it dead whatever the list shows", func() {
			m.Tick(start.Add(2 * time.Minute))
			So(m.View().IsDead(other), ShouldBeTrue)
		})
		Convey("a later run means that this one is dead, and its old heartbeats change nothing", func() {
			later := operation.Member{Name: "other", Incarnation: 6}
			m.Heard(beat(later, 0), start)
			m.Heard(beat(other, 2*time.Second), start)
			So(m.View().IsDead(other), ShouldBeTrue)
			So(m.View().IsDead(later), ShouldBeFalse)
		})
		Convey("it leaves when the list says so first, or its own heartbeat", func() {
			m.Listed(map[string]bool{"other": true}, start)
			So(stateOf(m, "other"), ShouldEqual, Leaving)
		})
	})
	Convey("An earlier run of this instance itself is dead", t, func() {
		m := New(operation.Member{Name: "self", Incarnation: 9}, DefaultRegion())
		So(m.View().IsDead(operation.Member{Name: "self", Incarnation: 8}), ShouldBeTrue)
		So(m.View().IsDead(operation.Member{Name: "self", Incarnation: 9}), ShouldBeFalse)
	})
	Convey("A home that was never heard dies once the list does not show it", t, func() {
		m := newMembers()
		m.Introduce(other, start)
		m.Tick(start.Add(6 * time.Second))
		So(m.View().IsDead(other), ShouldBeFalse)
		m.Listed(nil, start.Add(6*time.Second))
		So(m.View().IsDead(other), ShouldBeTrue)
	})
	Convey("A new member that the list does not show yet is not taken for gone", t, func() {
		m := newMembers()
		m.Listed(nil, start)
		m.Heard(beat(other, time.Second), start)
		m.Tick(start.Add(10 * time.Second))
		So(m.View().IsDead(other), ShouldBeFalse)
	})
}
