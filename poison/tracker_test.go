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

// newTestTracker returns a tracker of an instance without siblings.
func newTestTracker() *Tracker {
	return New(DefaultConfig(), rand.New(rand.NewPCG(1, 2)).Float64, func() int { return 1 })
}

// crashInterval is the time between crashes that count separately.
const crashInterval = time.Second

// request returns the fingerprints of a numbered request of one caller.
func request(number int) Fingerprints { return requestOf(number, 0) }

// requestOf returns the fingerprints of a numbered request of one of several callers.
func requestOf(number, caller int) Fingerprints {
	return Identity{Caller: fmt.Sprint(caller), Target: fmt.Sprint(number)}.Fingerprints()
}

// executionTime is how long a request runs before its server crashes.
const executionTime = 50 * time.Millisecond

// crash has a server crash during requests.
func crash(t *Tracker, server string, now time.Time, requests ...Fingerprints) {
	for _, request := range requests {
		t.ConnectionBroke(server, request, BrokenRun{Sent: now.Add(-executionTime), Writing: now.Add(-executionTime)}, now)
	}
	t.Crashed(server, now)
}

func TestRequestIsBlockedAfterThreeCrashes(t *testing.T) {
	tracker := newTestTracker()
	for i, want := range []State{Clear, Suspect, Blocked} {
		crash(tracker, fmt.Sprint("s", i), start.Add(time.Duration(i)*crashInterval), request(7), request(100+i))
		if got := tracker.State(request(7)); got != want {
			t.Errorf("after %d crashes the request is %s", i+1, got)
		}
		if got := tracker.State(request(100 + i)); got != Clear {
			t.Errorf("a request that ran beside it once is %s, want clear", got)
		}
	}
	if got := tracker.Admit(request(7), start); got.Decision != Refuse {
		t.Errorf("blocked request: decision %s, want refuse", got.Decision)
	}
	if got := tracker.Admit(request(8), start); got.Decision != Run {
		t.Errorf("another request: decision %s, want run", got.Decision)
	}
}

func TestBrokenConnectionIsNotACrash(t *testing.T) {
	tracker := newTestTracker()
	for i := range 5 {
		if first := tracker.ConnectionBroke(fmt.Sprint("s", i), request(7), BrokenRun{Sent: start}, start); !first {
			t.Error("ConnectionBroke did not request a check of the server")
		}
	}
	tracker.Tick(start.Add(10 * time.Second))
	for i := range 5 {
		tracker.Crashed(fmt.Sprint("s", i), start.Add(10*time.Second))
	}
	if got := tracker.State(request(7)); got != Clear || tracker.HasRecords() {
		t.Errorf("the request is %s, HasRecords() = %t", got, tracker.HasRecords())
	}
}

func TestCompletedRequestIsCleared(t *testing.T) {
	tracker := newTestTracker()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start.Add(time.Duration(i)*crashInterval), request(7))
	}
	tracker.Completed(request(7), start.Add(5*crashInterval))
	if got := tracker.State(request(7)); got != Clear {
		t.Errorf("the request is %s, want clear", got)
	}
	// Reports from others of an earlier crash do not count either.
	tracker.Merge(&Update{Crashes: []Crash{{Server: uint64(serverRunOf("s0")), AgeMillis: 6000, Requests: []RunningRequest{{Request: request(7).OfCaller}, {Request: request(7).Content}}}}}, true, start.Add(6*crashInterval))
	crash(tracker, "s3", start.Add(7*crashInterval), request(7))
	crash(tracker, "s4", start.Add(8*crashInterval), request(7))
	if got := tracker.State(request(7)); got != Suspect {
		t.Errorf("after two more crashes the request is %s, want suspect", got)
	}
}

// A request whose connection broke is retried immediately, and may complete elsewhere before it
// is known that the first server has crashed.
// TestRepeatedReportOfACompletionIsStillSentOn guards against a hub that stops sending a completion on
// because it hears of it a second time, over another sibling and thus seemingly later.
func TestRepeatedReportOfACompletionIsStillSentOn(t *testing.T) {
	tracker := newTestTracker()
	crash(tracker, "s", start, request(7))
	now := start.Add(time.Second)
	for i := range 3 {
		tracker.Merge(&Update{Cleared: []Mark{{Request: request(7).OfCaller, Count: 1}}}, true, now)
		now = now.Add(5 * time.Millisecond)
		if update := tracker.Update(now); update == nil || len(update.Cleared) != 1 {
			t.Errorf("after %d reports of the completion it is not sent on: %+v", i+1, update)
		}
	}
	now = now.Add(DefaultConfig().FreshFor)
	tracker.Update(now)
	if update := tracker.Update(now); update != nil && len(update.Cleared) > 0 {
		t.Errorf("the completion is sent on forever: %+v", update)
	}
}

func TestRequestCompletedBeforeCrashIsConfirmedIsClear(t *testing.T) {
	tracker := newTestTracker()
	for i := range 3 {
		at := start.Add(time.Duration(i) * time.Second)
		server := fmt.Sprint("s", i)
		tracker.ConnectionBroke(server, request(7), BrokenRun{Sent: at}, at)
		tracker.ConnectionBroke(server, request(8), BrokenRun{Sent: at}, at)
		tracker.Completed(request(7), at.Add(100*time.Millisecond))
		tracker.Crashed(server, at.Add(300*time.Millisecond))
	}
	if got := tracker.State(request(7)); got != Clear {
		t.Errorf("the request that completed elsewhere is %s, want clear", got)
	}
	if got := tracker.State(request(8)); got != Blocked {
		t.Errorf("the request that did not complete is %s, want blocked", got)
	}
}

func TestTiedRequestsAreProbed(t *testing.T) {
	tracker := newTestTracker()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start.Add(time.Duration(i)*crashInterval), request(7), request(8))
	}
	now := start.Add(5 * time.Second)
	for _, number := range []int{7, 8} {
		probe, again := tracker.Admit(request(number), now), tracker.Admit(request(number), now)
		if probe.Decision != Probe || again.Decision != Wait {
			t.Errorf("request %d: first decision %s, second decision %s, want probe and wait", number, probe.Decision, again.Decision)
		}
		probe.Release()
	}
	crash(tracker, "s3", now, request(7))
	tracker.Completed(request(8), now)
	if tracker.State(request(7)) != Blocked || tracker.State(request(8)) != Clear {
		t.Errorf("the cause is %s and the other request %s, want blocked and clear", tracker.State(request(7)), tracker.State(request(8)))
	}
}

func TestBlockedRequestIsProbedWithBackoff(t *testing.T) {
	tracker := newTestTracker()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start.Add(time.Duration(i)*crashInterval), request(7))
	}
	var probes []time.Duration
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(250 * time.Millisecond) {
		tracker.Tick(now)
		if admission := tracker.Admit(request(7), now); admission.Decision == Probe {
			probes = append(probes, now.Sub(start).Truncate(time.Second))
			crash(tracker, fmt.Sprint("p", len(probes)), now, request(7))
			admission.Release()
		}
	}
	want := []time.Duration{12 * time.Second, 72 * time.Second}
	if len(probes) < 2 || !slices.Equal(probes[:2], want) {
		t.Errorf("unexpected first probes: probed at %v", probes)
	}
	if len(probes) > 8 {
		t.Errorf("%d probes in an hour: %v", len(probes), probes)
	}
	// A fixed server serves the request again.
	now := start.Add(2 * time.Hour)
	admission := tracker.Admit(request(7), now)
	tracker.Completed(request(7), now)
	admission.Release()
	if got := tracker.State(request(7)); admission.Decision != Probe || got != Clear {
		t.Errorf("two hours later: decision %s, state after completion %s", admission.Decision, got)
	}
}

// Instances learn from each other, and reach the same state whatever the order of
// updates and however often they receive them.
func TestInstancesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{newTestTracker(), newTestTracker(), newTestTracker()}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			at := trackers[rapid.IntRange(0, 2).Draw(t, "instance")]
			server := fmt.Sprint("s", rapid.IntRange(0, 8).Draw(t, "server"))
			request := requestOf(rapid.IntRange(1, 5).Draw(t, "request"), rapid.IntRange(0, 1).Draw(t, "caller"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				at.Completed(request, now)
			default:
				crash(at, server, now, request)
			}
			if rapid.Bool().Draw(t, "exchange") {
				exchange(t, trackers, now)
			}
		}
		end := start.Add(4500 * time.Millisecond)
		for range 40 {
			// Updates are exchanged until no instance has anything left to send.
			end = end.Add(time.Second)
			exchange(t, trackers, end)
		}
		for number := range 10 {
			for _, other := range trackers[1:] {
				one := requestOf(number/2+1, number%2)
				if got, want := other.State(one), trackers[0].State(one); got != want {
					t.Errorf("request %d is %s at one instance and %s at another", number, want, got)
				}
			}
		}
	})
}

// exchange has each tracker send its update to all others, in its encoded form.
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
	tracker := newTestTracker()
	config := DefaultConfig()
	for i := range 3000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		requests := make([]Fingerprints, 0, 200)
		for j := range 200 {
			requests = append(requests, request(i*1000+j))
		}
		crash(tracker, fmt.Sprint("s", i), now, requests...)
		if i%100 == 0 {
			if update := tracker.Update(now); update != nil {
				ran := 0
				for _, end := range update.Crashes {
					ran += len(end.Requests)
				}
				if encoded, err := cbor.Marshal(update); err != nil || len(encoded) > 1400 || ran > config.UpdateRequests {
					t.Errorf("an update has %d bytes and %d requests, error %v", len(encoded), ran, err)
				}
			}
		}
	}
	if len(tracker.crashes) > config.MaxCrashes || len(tracker.crashesOf) > config.MaxCrashes*config.MaxRequestsPerCrash {
		t.Errorf("%d crashes, %d requests", len(tracker.crashes), len(tracker.crashesOf))
	}
	known := 0
	tracker.knownFingerprints.Range(func(any, any) bool { known++; return true })
	if known != len(tracker.crashesOf) {
		t.Errorf("%d fingerprints for %d requests", known, len(tracker.crashesOf))
	}
}

func TestUpdatesWithInvalidAgeAreDropped(t *testing.T) {
	tracker := newTestTracker()
	for i, age := range []int64{-1, -1 << 40, DefaultConfig().Memory.Milliseconds(), 1 << 60} {
		tracker.Merge(&Update{
			Crashes: []Crash{{Server: uint64(i), AgeMillis: age, Requests: []RunningRequest{{Request: 7}}}},
			Cleared: []Mark{{Request: 7, AgeMillis: age}}, Probes: []Mark{{Request: 7, AgeMillis: age, Count: 1}},
		}, true, start)
	}
	if len(tracker.crashes)+len(tracker.cleared)+len(tracker.probes) > 0 {
		t.Errorf("%d crashes, %d clear marks, %d probe marks", len(tracker.crashes), len(tracker.cleared), len(tracker.probes))
	}
}

// A caller may use any address, and what its request does may depend on the content
// alone.
func TestRequestIsIdentifiedByContent(t *testing.T) {
	tracker := newTestTracker()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start.Add(time.Duration(i)*crashInterval), requestOf(7, i), requestOf(8, i))
		tracker.Completed(requestOf(8, 100), start.Add(time.Duration(i)*crashInterval+10*time.Millisecond))
	}
	if got := tracker.State(requestOf(7, 99)); got != Blocked {
		t.Errorf("from another address the request is %s, want blocked", got)
	}
	if got := tracker.State(requestOf(8, 99)); got != Clear {
		t.Errorf("a request that completes for other callers is %s, want clear", got)
	}
}

// Whether a request crashes servers may depend on the caller.
func TestSameContentIsServedToOtherCallers(t *testing.T) {
	tracker := newTestTracker()
	for i := range 3 {
		crash(tracker, fmt.Sprint("s", i), start.Add(time.Duration(i)*crashInterval), requestOf(7, 1))
		tracker.Completed(requestOf(7, 2), start.Add(time.Duration(i)*crashInterval+10*time.Millisecond))
	}
	if got := tracker.State(requestOf(7, 1)); got != Blocked {
		t.Errorf("the request of the first caller is %s, want blocked", got)
	}
	if got := tracker.State(requestOf(7, 2)); got != Clear {
		t.Errorf("the request of the second caller is %s, want clear", got)
	}
}

// A rack fails while the same content is being executed on each of its servers.
func TestConcurrentCrashesCountOnce(t *testing.T) {
	tracker := newTestTracker()
	for i := range 12 {
		server, now := fmt.Sprint("s", i), start.Add(time.Duration(i)*10*time.Millisecond)
		tracker.ConnectionBroke(server, requestOf(7, i), BrokenRun{Sent: start.Add(-time.Second)}, now)
		tracker.Crashed(server, now)
	}
	if got := tracker.State(requestOf(7, 0)); got != Clear {
		t.Errorf("the request is %s, want clear", got)
	}
}

func BenchmarkBlame(b *testing.B) {
	ran := make(map[Fingerprint]crashSet)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 2 * maxCandidates {
		ran[Fingerprint(2*i)] = make(crashSet)
		for range 20 {
			server := random.IntN(DefaultConfig().MaxCrashes)
			at := start.Add(time.Duration(server) * time.Second)
			ran[Fingerprint(2*i)][serverRun(server)] = execution{started: at, crashed: at}
		}
	}
	for b.Loop() {
		DefaultConfig().attribute(ran, partRecord{})
	}
}
