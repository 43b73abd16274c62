package operation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/mastwheel/mastwheel/reason"
)

var (
	homeMember    = Member{Name: "sabana-1", Incarnation: 7}
	witnessMember = Member{Name: "heredia-1", Incarnation: 9}
	sampleID      = ID{
		Home: homeMember, Witness: witnessMember,
		HomeExpiry: time.Minute, WitnessExpiry: 2 * time.Minute, Nonce: "n-1",
	}
)

func TestID(t *testing.T) {
	Convey("An id round-trips through its text form", t, func() {
		parsed, err := ParseID(sampleID.String())
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, sampleID)
	})
	Convey("A text that is not exactly an id is rejected", t, func() {
		for _, text := range []string{
			"", "abc", sampleID.Prefix(), sampleID.String() + "~", sampleID.String() + "!",
			"m1~a~01~b~2~3~4~n", "m1~a~A~b~2~3~4~n", "m2" + sampleID.String()[2:],
		} {
			_, err := ParseID(text)
			So(err, ShouldNotBeNil)
		}
	})
}

func FuzzParseID(f *testing.F) {
	f.Add(sampleID.String())
	f.Add("m1~a~1~b~2~3~4~n")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err == nil && id.String() != text {
			t.Fatalf("%q is parsed as %q", text, id.String())
		}
	})
}

// model is one operation with its home and witness, either of which may be
// restarted, and a caller that may query either of them at any time.
type model struct {
	home    *Home
	witness *Witness
	uptime  time.Duration
	// begun and acknowledged are the home's progress. sends counts how often the
	// home sent the call.
	begun, acknowledged bool
	sends               int
	reportedNotRun      bool
}

// TestNotRunStaysTrue explores every sequence of six steps, some of them faults,
// with two requests in flight at the home: the request and a late duplicate of it.
// A call must run at most once, and must not run once "not run" was reported.
func TestNotRunStaysTrue(t *testing.T) {
	steps := []func(*model){
		// The request, or a duplicate of it, arrives at the home.
		func(w *model) {
			if _, why := w.home.Begin(sampleID, w.uptime); why == reason.None {
				w.begun = true
			}
		},
		// The home requests the acknowledgement of the witness.
		func(w *model) {
			if w.begun && w.witness.Intent(sampleID, w.uptime) == reason.None {
				w.acknowledged = true
			}
		},
		// The home sends the call.
		func(w *model) {
			if w.begun && w.acknowledged {
				w.sends++
				w.begun, w.acknowledged = false, false
			}
		},
		// The caller queries the home or the witness.
		func(w *model) { w.recordReport(w.home.Query(sampleID, w.uptime)) },
		func(w *model) { w.recordReport(w.witness.Query(sampleID, w.uptime)) },
		// The home or the witness is replaced by a new run.
		func(w *model) {
			w.home = NewHome(Member{homeMember.Name, w.home.self.Incarnation + 1}, 10)
			w.begun, w.acknowledged = false, false
		},
		func(w *model) { w.witness = NewWitness(Member{witnessMember.Name, w.witness.self.Incarnation + 1}, 10) },
		// Time passes beyond the expiry, and records are dropped.
		func(w *model) {
			w.uptime += 4 * time.Minute
			w.home.Expire(w.uptime)
			w.witness.Expire(w.uptime)
		},
		// The home's records are dropped at a later uptime, while the other steps go on with
		// the older uptime that they read before a pause.
		func(w *model) { w.home.Expire(w.uptime + time.Hour) },
	}
	const depth = 6
	explored := 0
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == depth {
			explored++
			w := &model{home: NewHome(homeMember, 10), witness: NewWitness(witnessMember, 10)}
			for _, step := range path {
				steps[step](w)
				if w.sends > 1 {
					t.Fatalf("call ran twice on path %v", path)
				}
				if w.reportedNotRun && w.sends > 0 {
					t.Fatalf("call ran although it was reported as not run, on path %v", path)
				}
			}
			return
		}
		for step := range steps {
			explore(append(path[:len(path):len(path)], step))
		}
	}
	explore(nil)
	if want := 531441; explored != want {
		t.Fatalf("explored %d paths, want %d", explored, want)
	}
}

func (w *model) recordReport(status Status) {
	if status.Outcome == reason.NotRun {
		w.reportedNotRun = true
	}
}

func TestRecordLimitsAndDuplicates(t *testing.T) {
	Convey("A home at its record limit begins no operation and reports the outcome as unknown", t, func() {
		home := NewHome(homeMember, 1)
		other := sampleID
		other.Nonce = "n-2"
		_, why := home.Begin(sampleID, 0)
		So(why, ShouldEqual, reason.None)
		status, why := home.Begin(other, 0)
		So(why, ShouldEqual, reason.QueueFull)
		So(status.Outcome, ShouldEqual, reason.Unknown)
	})
	Convey("A duplicate gets the outcome and does not run", t, func() {
		home := NewHome(homeMember, 10)
		home.Begin(sampleID, 0)
		home.Finish(sampleID, Status{Outcome: reason.Done})
		status, why := home.Begin(sampleID, time.Second)
		So(why, ShouldEqual, reason.AlreadyAnswered)
		So(status.Outcome, ShouldEqual, reason.Done)
	})
	Convey("Records are dropped after the expiry of their ids and the retention", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			witness := NewWitness(witnessMember, 1000)
			for range rapid.IntRange(1, 50).Draw(t, "ids") {
				id := sampleID
				id.Nonce = rapid.StringMatching(`[a-z]{6}`).Draw(t, "nonce")
				witness.Intent(id, 0)
			}
			witness.Expire(sampleID.WitnessExpiry + intentRetention)
			if left := witness.Len(); left != 0 {
				t.Fatalf("%d records left", left)
			}
		})
	})
}
