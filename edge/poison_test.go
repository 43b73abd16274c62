package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/racedetector"
)

// crashUnder has an instance observe that a server crashed while it processed a request.
func crashUnder(in *Instance, server string, request poison.Fingerprints) {
	in.Poison.ConnectionBroke(server, request, poison.BrokenRun{Sent: time.Now().Add(-10 * time.Millisecond)}, time.Now())
	in.Poison.Crashed(server, time.Now())
}

// knowsBlocked returns a check that an instance knows a request as blocked.
func knowsBlocked(request poison.Fingerprints) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Poison.State(request) == poison.Blocked }
}

// fingerprintsOf returns the fingerprints of a numbered request.
func fingerprintsOf(number int) poison.Fingerprints {
	return poison.Identity{Target: fmt.Sprint(number)}.Fingerprints()
}

// crashThree has three servers crash one after the other while they process a request. Each crash is
// observed by a different instance.
func crashThree(instances []*Instance, request int) {
	for i := range 3 {
		crashUnder(instances[(i*17)%len(instances)], fmt.Sprint("x", request, i), fingerprintsOf(request))
		time.Sleep(50 * time.Millisecond)
	}
}

// knownWithin is the time within which all instances must know what one instance has observed. It
// is well within the three seconds that the service requirements allow.
const knownWithin = 700 * time.Millisecond

func TestCrashesUnderARequestAreKnownToAll(t *testing.T) {
	for _, size := range []int{3, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { runFleet(t, size, func(f *fleet) { testAllKnow(t, f) }) })
	}
	manyInstances(t, testAllKnow)
}

func testAllKnow(t *testing.T, f *fleet) {
	request := fingerprintsOf(7)
	crashThree(f.instances, 7)
	if took := f.slowest(knowsBlocked(request)); took > knownWithin {
		t.Errorf("all instances know the blocked request after %v", took)
	}
	f.instances[len(f.instances)-1].Poison.Completed(request, time.Now())
	if took := f.slowest(func(in *Instance) bool { return in.Poison.State(request) == poison.Clear }); took > knownWithin {
		t.Errorf("all instances know the cleared request after %v", took)
	}
}

// partsOf returns the fingerprints of a request that is like no other but for the parts of its prompt.
func partsOf(number int, parts ...string) poison.Fingerprints {
	return poison.Identity{Target: fmt.Sprint("parts", number), SharedParts: parts}.Fingerprints()
}

// Each crash is observed by other instances, and under requests that are never alike. A part that all
// prompts share stays usable.
func TestCrashesUnderAPartAreKnownToAll(t *testing.T) {
	for _, size := range []int{3, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { runFleet(t, size, func(f *fleet) { testAllKnowPart(t, f) }) })
	}
	manyInstances(t, testAllKnowPart)
}

// requestsOfEngine is the number of requests that an engine runs at once (source: the reference deployments).
const requestsOfEngine = 64

func testAllKnowPart(t *testing.T, f *fleet) {
	const crashes = 5
	for i := range crashes {
		server, now := fmt.Sprint("y", i), time.Now()
		// Sound requests at other instances had been running there for longer.
		for beside := range requestsOfEngine - 1 {
			in := f.instances[(i*17+5*beside+1)%len(f.instances)]
			run := poison.BrokenRun{Sent: now.Add(-time.Second), Writing: now.Add(-time.Second)}
			in.Poison.ConnectionBroke(server, partsOf(100*i+beside, "common", fmt.Sprint("subject", 100*i+beside)), run, now)
		}
		in := f.instances[(i*17)%len(f.instances)]
		in.Poison.ConnectionBroke(server, partsOf(1000+i, "common", "bad"), poison.BrokenRun{Sent: now.Add(-10 * time.Millisecond)}, now)
		in.Poison.Crashed(server, now)
		time.Sleep(300 * time.Millisecond)
	}
	bad, sound := partsOf(2000, "bad"), partsOf(2001, "common")
	if took := f.slowest(knowsBlocked(bad)); took > knownWithin {
		t.Errorf("all instances know the blocked part after %v", took)
	}
	for _, in := range f.instances {
		if got := in.Poison.State(sound); got != poison.Clear {
			t.Errorf("at %s the part that all share is %s", in.config.Name, got)
		}
	}
	f.instances[len(f.instances)-1].Poison.Completed(bad, time.Now())
	if took := f.slowest(func(in *Instance) bool { return in.Poison.State(bad) == poison.Clear }); took > knownWithin {
		t.Errorf("all instances know the cleared part after %v", took)
	}
}

// A restarted instance has lost all that it knew.
func TestARestartedInstanceReceivesCrashes(t *testing.T) {
	for _, size := range []int{3, 8, 58} {
		if racedetector.Enabled && size > 8 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRestartedReceives(t, newFleet(t, size+1, DefaultConfig())) })
		})
	}
}

func testRestartedReceives(t *testing.T, f *fleet) {
	const requests = 20
	learn := func(others []*Instance) {
		for request := range requests {
			crashThree(others, request)
		}
	}
	if took := f.newInstanceKnows(learn, func(in *Instance) bool { return in.Poison.Count(poison.Blocked) == requests }); took > newInstanceKnowsWithin {
		t.Errorf("knows all blocked requests after %v", took)
	}
}

// Links may be cut, and instances suspended, for longer than crashes are sent again.
func TestMissedCrashesAreReceivedLater(t *testing.T) {
	for _, size := range []int{8, 58} {
		if racedetector.Enabled && size > 8 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) { runFleet(t, size, func(f *fleet) { testMissedIsReceived(t, f) }) })
	}
}

func testMissedIsReceived(t *testing.T, f *fleet) {
	const requests = 20
	last := len(f.instances) - 1
	f.mu.Lock()
	f.cut[f.instances[last].config.SiblingAddress] = true
	f.mu.Unlock()
	for request := range requests {
		crashThree(f.instances[:last], request)
	}
	time.Sleep(15 * time.Second)
	f.mu.Lock()
	f.cut = map[string]bool{}
	f.mu.Unlock()
	if took := f.slowest(func(in *Instance) bool { return in.Poison.Count(poison.Blocked) == requests }); took > 2*time.Second {
		t.Errorf("all instances know the blocked requests %v after the cut", took)
	}
}

// Reports of crashes cause no traffic while no server has crashed, and little otherwise.
func TestCrashReportsCauseLittleTraffic(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		rate := func() float64 {
			f.mu.Lock()
			before := f.bytes
			f.mu.Unlock()
			const window = 10 * time.Second
			time.Sleep(window)
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.bytes-before) / window.Seconds() / float64(len(f.instances))
		}
		baseline := rate()
		for request := range 20 {
			crashThree(f.instances, request)
		}
		learning := rate()
		time.Sleep(12 * time.Second)
		later := rate()
		t.Logf("%.0f bytes per second and instance before; %.0f in the 10 s after 60 servers crashed, %.0f a little later", baseline, learning, later)
		if learning > baseline+6000 || later > baseline+1500 {
			t.Errorf("%.0f bytes per second and instance before, %.0f after the crashes, %.0f later", baseline, learning, later)
		}
	})
}
