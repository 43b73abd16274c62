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
	sample        = ID{
		Home: homeMember, Witness: witnessMember,
		HomeExpiry: time.Minute, WitnessExpiry: 2 * time.Minute, Nonce: "n-1",
	}
)

func TestID(t *testing.T) {
	Convey("An id survives a round through text", t, func() {
		parsed, err := ParseID(sample.String())
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, sample)
	})
	Convey("What is not exactly an id is refused", t, func() {
		for _, text := range []string{
			"", "abc", sample.Prefix(), sample.String() + "~", sample.String() + "!",
			"m1~a~01~b~2~3~4~n", "m1~a~A~b~2~3~4~n", "m2" + sample.String()[2:],
		} {
			_, err := ParseID(text)
			So(err, ShouldNotBeNil)
		}
	})
}

func FuzzParseID(f *testing.F) {
	f.Add(sample.String())
	f.Add("m1~a~1~b~2~3~4~n")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err == nil && id.String() != text {
			t.Fatalf("%q is read as %q", text, id.String())
		}
	})
}

// world is one operation with its home and witness, either of which may be
// restarted, and a caller that may ask either of them at any time.
type world struct {
	home    *Home
	witness *Witness
	uptime  time.Duration
	// begun and noted are the home's progress; ran counts sends.
	begun, noted bool
	ran          int
	toldNotRun   bool
}

// TestNotRunStaysTrue explores every sequence of seven steps, some of them
// faults, with two operations of the home in flight at once: the request and
// a late duplicate of it.
func TestNotRunStaysTrue(t *testing.T) {
	steps := []func(*world){
		// the request, or a duplicate of it, arrives at the home
		func(w *world) {
			if _, why := w.home.Begin(sample, w.uptime); why == reason.None {
				w.begun = true
			}
		},
		// the home asks for the acknowledgement
		func(w *world) {
			if w.begun && w.witness.Intent(sample, w.uptime) == reason.None {
				w.noted = true
			}
		},
		// the home sends the call
		func(w *world) {
			if w.begun && w.noted {
				w.ran++
				w.begun, w.noted = false, false
			}
		},
		// the caller asks the home, or the witness
		func(w *world) { w.told(w.home.Ask(sample, w.uptime)) },
		func(w *world) { w.told(w.witness.Ask(sample, w.uptime)) },
		// the home, or the witness, is replaced by a new run
		func(w *world) {
			w.home = NewHome(Member{homeMember.Name, w.home.self.Incarnation + 1}, 10)
			w.begun, w.noted = false, false
		},
		func(w *world) { w.witness = NewWitness(Member{witnessMember.Name, w.witness.self.Incarnation + 1}, 10) },
		// time passes beyond the expiry, and records are dropped
		func(w *world) {
			w.uptime += 4 * time.Minute
			w.home.Expire(w.uptime)
			w.witness.Expire(w.uptime)
		},
		// the home's call takes effect late, after a pause, with its records
		// already dropped by age
		func(w *world) { w.home.Expire(w.uptime + time.Hour) },
	}
	const depth = 6
	explored := 0
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == depth {
			explored++
			w := &world{home: NewHome(homeMember, 10), witness: NewWitness(witnessMember, 10)}
			for _, step := range path {
				steps[step](w)
				if w.ran > 1 {
					t.Fatalf("ran twice on path %v", path)
				}
				if w.toldNotRun && w.ran > 0 {
					t.Fatalf("told not run and ran on path %v", path)
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
		t.Fatalf("explored %d paths, not %d", explored, want)
	}
}

func (w *world) told(status Status) {
	if status.Outcome == reason.NotRun {
		w.toldNotRun = true
	}
}

func TestBounds(t *testing.T) {
	Convey("A home without room begins nothing and promises nothing", t, func() {
		home := NewHome(homeMember, 1)
		other := sample
		other.Nonce = "n-2"
		_, why := home.Begin(sample, 0)
		So(why, ShouldEqual, reason.None)
		status, why := home.Begin(other, 0)
		So(why, ShouldEqual, reason.QueueFull)
		So(status.Outcome, ShouldEqual, reason.Unknown)
	})
	Convey("A duplicate learns the outcome and does not run", t, func() {
		home := NewHome(homeMember, 10)
		home.Begin(sample, 0)
		home.End(sample, Status{Outcome: reason.Done})
		status, why := home.Begin(sample, time.Second)
		So(why, ShouldEqual, reason.AlreadyAnswered)
		So(status.Outcome, ShouldEqual, reason.Done)
	})
	Convey("Records do not outlive their ids by much", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			witness := NewWitness(witnessMember, 1000)
			for range rapid.IntRange(1, 50).Draw(t, "ids") {
				id := sample
				id.Nonce = rapid.StringMatching(`[a-z]{6}`).Draw(t, "nonce")
				witness.Intent(id, 0)
			}
			witness.Expire(sample.WitnessExpiry + intentRetention)
			if left := witness.Len(); left != 0 {
				t.Fatalf("%d records left", left)
			}
		})
	})
}
