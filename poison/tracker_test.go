package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// start is an arbitrary time.
var start = time.Unix(1_000_000, 0)

// alone returns a tracker of an instance without siblings.
func alone() *Tracker {
	return New(DefaultConfig(), rand.New(rand.NewPCG(1, 2)).Float64, func() int { return 1 })
}

// crash has a server end under requests.
func crash(t *Tracker, server string, now time.Time, requests ...Fingerprint) {
	for _, request := range requests {
		t.Broke(server, request, now)
	}
	t.Crashed(server, now)
}

func TestThreeServersEndUnderARequestThatIsToBlame(t *testing.T) {
	tracker := alone()
	for i, want := range []State{Clear, Suspect, Blocked} {
		crash(tracker, fmt.Sprint("s", i), start, 7, Fingerprint(100+i))
		if got := tracker.State(7); got != want {
			t.Errorf("after %d ends: %s", i+1, got)
		}
		if got := tracker.State(Fingerprint(100 + i)); got != Clear {
			t.Errorf("a request that ran beside it once is %s", got)
		}
	}
	if got := tracker.Admit(7, start); got.Decision != Refuse {
		t.Errorf("it is admitted: %s", got.Decision)
	}
	if got := tracker.Admit(8, start); got.Decision != Run {
		t.Errorf("another one is not: %s", got.Decision)
	}
}

func TestABrokenConnectionIsNoEnd(t *testing.T) {
	tracker := alone()
	for i := range 5 {
		if first := tracker.Broke(fmt.Sprint("s", i), 7, start); !first {
			t.Error("nobody is to look whether the server has ended")
		}
	}
	tracker.Tick(start.Add(10 * time.Second))
	for i := range 5 {
		tracker.Crashed(fmt.Sprint("s", i), start.Add(10*time.Second))
	}
	if got := tracker.State(7); got != Clear || tracker.Remembers() {
		t.Errorf("it is %s, remembered: %t", got, tracker.Remembers())
	}
}

func TestARequestThatRanElsewhereIsCleared(t *testing.T) {
	tracker := alone()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start, 7)
	}
	tracker.Completed(7, start.Add(time.Second))
	if got := tracker.State(7); got != Clear {
		t.Errorf("it is %s", got)
	}
	// What others tell of before does not count either.
	tracker.Merge(&Update{Ends: []End{{Server: uint64(runOf("s0")), AgeMillis: 1500, Ran: []Fingerprint{7}}}}, true, start.Add(1500*time.Millisecond))
	crash(tracker, "s3", start.Add(2*time.Second), 7)
	crash(tracker, "s4", start.Add(2*time.Second), 7)
	if got := tracker.State(7); got != Suspect {
		t.Errorf("after two more ends it is %s", got)
	}
}

// A run that broke off is done again at once, and that may be over before it is known
// that the first server has ended.
func TestARequestThatRanElsewhereBeforeTheEndWasKnownIsClear(t *testing.T) {
	tracker := alone()
	for i := range 3 {
		at := start.Add(time.Duration(i) * time.Second)
		server := fmt.Sprint("s", i)
		tracker.Broke(server, 7, at)
		tracker.Broke(server, 8, at)
		tracker.Completed(7, at.Add(100*time.Millisecond))
		tracker.Crashed(server, at.Add(300*time.Millisecond))
	}
	if got := tracker.State(7); got != Clear {
		t.Errorf("one that ran elsewhere is %s", got)
	}
	if got := tracker.State(8); got != Blocked {
		t.Errorf("one that did not is %s", got)
	}
}

func TestRequestsThatAlwaysRanTogetherAreProbed(t *testing.T) {
	tracker := alone()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start, 7, 8)
	}
	now := start.Add(5 * time.Second)
	for _, request := range []Fingerprint{7, 8} {
		probe, again := tracker.Admit(request, now), tracker.Admit(request, now)
		if probe.Decision != Probe || again.Decision != Wait {
			t.Errorf("%d: %s, again: %s", request, probe.Decision, again.Decision)
		}
		probe.Release()
	}
	crash(tracker, "s3", now, 7)
	tracker.Completed(8, now)
	if tracker.State(7) != Blocked || tracker.State(8) != Clear {
		t.Errorf("the cause is %s, the other one %s", tracker.State(7), tracker.State(8))
	}
}

func TestABlockedRequestIsProbedSeldom(t *testing.T) {
	tracker := alone()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start, 7)
	}
	var probes []time.Duration
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(250 * time.Millisecond) {
		tracker.Tick(now)
		if admission := tracker.Admit(7, now); admission.Decision == Probe {
			probes = append(probes, now.Sub(start).Truncate(time.Second))
			crash(tracker, fmt.Sprint("p", len(probes)), now, 7)
			admission.Release()
		}
	}
	want := []time.Duration{20 * time.Second, 140 * time.Second}
	if len(probes) < 2 || !slices.Equal(probes[:2], want) {
		t.Errorf("probed at %v", probes)
	}
	if len(probes) > 7 {
		t.Errorf("%d probes in an hour: %v", len(probes), probes)
	}
	// A mended server serves it again.
	now := start.Add(2 * time.Hour)
	admission := tracker.Admit(7, now)
	tracker.Completed(7, now)
	admission.Release()
	if got := tracker.State(7); admission.Decision != Probe || got != Clear {
		t.Errorf("two hours later it is %s, then %s", admission.Decision, got)
	}
}

// Instances learn what others saw, and know the same whatever the order and however
// often they hear it.
func TestInstancesComeToKnowTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{alone(), alone(), alone()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			at := trackers[rapid.IntRange(0, 2).Draw(t, "instance")]
			server := fmt.Sprint("s", rapid.IntRange(0, 8).Draw(t, "server"))
			request := Fingerprint(rapid.IntRange(1, 5).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				at.Completed(request, now)
			default:
				crash(at, server, now, request)
			}
			if rapid.Bool().Draw(t, "told") {
				exchange(t, trackers, now)
			}
		}
		end := start.Add(4500 * time.Millisecond)
		for range 40 {
			// Updates are told and lost until nobody has more to tell.
			end = end.Add(time.Second)
			exchange(t, trackers, end)
		}
		for request := Fingerprint(1); request <= 5; request++ {
			for _, other := range trackers[1:] {
				if got, want := other.State(request), trackers[0].State(request); got != want {
					t.Errorf("%d is %s at one, %s at another", request, want, got)
				}
			}
		}
	})
}

// exchange has each tell all others what it has to tell, through the wire's form.
func exchange(t interface{ Fatal(...any) }, trackers []*Tracker, now time.Time) {
	for i, from := range trackers {
		update := from.Update(now)
		if update == nil {
			continue
		}
		encoded, err := cbor.Marshal(update)
		if err != nil {
			t.Fatal(err)
		}
		for j, to := range trackers {
			if i == j {
				continue
			}
			var got Update
			if err := cbor.Unmarshal(encoded, &got); err != nil {
				t.Fatal(err)
			}
			to.Merge(&got, true, now)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := alone()
	config := DefaultConfig()
	for i := range 3000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		requests := make([]Fingerprint, 0, 200)
		for j := range 200 {
			requests = append(requests, Fingerprint(i*1000+j))
		}
		crash(tracker, fmt.Sprint("s", i), now, requests...)
		if i%100 == 0 {
			if update := tracker.Update(now); update != nil {
				ran := 0
				for _, end := range update.Ends {
					ran += len(end.Ran)
				}
				if encoded, err := cbor.Marshal(update); err != nil || len(encoded) > 1200 || ran > config.UpdateRan {
					t.Errorf("an update has %d bytes, %d requests: %v", len(encoded), ran, err)
				}
			}
		}
	}
	if len(tracker.ends) > config.MostEnds || len(tracker.ran) > config.MostEnds*config.MostRan {
		t.Errorf("%d ends, %d requests", len(tracker.ends), len(tracker.ran))
	}
	known := 0
	tracker.known.Range(func(any, any) bool { known++; return true })
	if known != len(tracker.ran) {
		t.Errorf("%d fingerprints for %d requests", known, len(tracker.ran))
	}
}

func TestUpdatesFromTheFutureOrThePastAreDropped(t *testing.T) {
	tracker := alone()
	for i, age := range []int64{-1, -1 << 40, DefaultConfig().Memory.Milliseconds(), 1 << 60} {
		tracker.Merge(&Update{
			Ends:    []End{{Server: uint64(i), AgeMillis: age, Ran: []Fingerprint{7}}},
			Cleared: []Mark{{Request: 7, AgeMillis: age}}, Probes: []Mark{{Request: 7, AgeMillis: age, Count: 1}},
		}, true, start)
	}
	if len(tracker.ends)+len(tracker.cleared)+len(tracker.probes) > 0 {
		t.Errorf("%d ends, %d cleared, %d probes", len(tracker.ends), len(tracker.cleared), len(tracker.probes))
	}
}
