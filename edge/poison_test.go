package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/racedetector"
)

// endUnder has a server end under a request, as one instance sees it.
func endUnder(in *Instance, server string, request poison.Fingerprints) {
	in.Poison.Broke(server, request, time.Now().Add(-10*time.Millisecond), time.Now())
	in.Poison.Crashed(server, time.Now())
}

// knowsBlocked says whether an instance knows that a request is blocked.
func knowsBlocked(request poison.Fingerprints) func(in *Instance) bool {
	return func(in *Instance) bool { return in.Poison.State(request) == poison.Blocked }
}

// requestOf returns the fingerprints of a request.
func requestOf(number int) poison.Fingerprints {
	return poison.Identity{Target: fmt.Sprint(number)}.Fingerprints()
}

// endThree has three servers end under a request, one after the other, as different
// instances see it.
func endThree(instances []*Instance, request int) {
	for i := range 3 {
		endUnder(instances[(i*17)%len(instances)], fmt.Sprint("x", request, i), requestOf(request))
		time.Sleep(50 * time.Millisecond)
	}
}

// knownWithin is how soon all must know what one has seen: well within the users' three
// seconds.
const knownWithin = 700 * time.Millisecond

func TestWhatARequestDidToServersIsKnownToAll(t *testing.T) {
	for _, size := range []int{3, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { play(t, size, func(f *fleet) { testAllKnow(t, f) }) })
	}
	manyInstances(t, testAllKnow)
}

func testAllKnow(t *testing.T, f *fleet) {
	request := requestOf(7)
	endThree(f.instances, 7)
	if took := f.slowest(knowsBlocked(request)); took > knownWithin {
		t.Errorf("known everywhere after %v", took)
	}
	f.instances[len(f.instances)-1].Poison.Completed(request, time.Now())
	if took := f.slowest(func(in *Instance) bool { return in.Poison.State(request) == poison.Clear }); took > knownWithin {
		t.Errorf("cleared everywhere after %v", took)
	}
}

// An instance that starts anew has forgotten all.
func TestAnInstanceThatStartsAnewIsTold(t *testing.T) {
	for _, size := range []int{3, 8, 58} {
		if racedetector.On && size > 8 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testNewcomerIsTold(t, newFleet(t, size+1, DefaultConfig())) })
		})
	}
}

func testNewcomerIsTold(t *testing.T, f *fleet) {
	const requests = 20
	learn := func(others []*Instance) {
		for request := range requests {
			endThree(others, request)
		}
	}
	if took := f.newcomerKnows(learn, func(in *Instance) bool { return in.Poison.Count(poison.Blocked) == requests }); took > newcomerWithin {
		t.Errorf("knows all after %v", took)
	}
}

// Links may be cut, and instances stand still, for longer than anything is told anew.
func TestWhatWasMissedIsLearntLater(t *testing.T) {
	for _, size := range []int{8, 58} {
		if racedetector.On && size > 8 {
			continue
		}
		t.Run(fmt.Sprint(size), func(t *testing.T) { play(t, size, func(f *fleet) { testMissedIsLearnt(t, f) }) })
	}
}

func testMissedIsLearnt(t *testing.T, f *fleet) {
	const requests = 20
	last := len(f.instances) - 1
	f.mu.Lock()
	f.cut[f.instances[last].config.SiblingAddress] = true
	f.mu.Unlock()
	for request := range requests {
		endThree(f.instances[:last], request)
	}
	time.Sleep(15 * time.Second)
	f.mu.Lock()
	f.cut = map[string]bool{}
	f.mu.Unlock()
	if took := f.slowest(func(in *Instance) bool { return in.Poison.Count(poison.Blocked) == requests }); took > 2*time.Second {
		t.Errorf("known everywhere %v after the cut", took)
	}
}

// What is told costs nothing while no server has ended, and little else.
func TestWhatIsToldOfServersThatEndedIsLittle(t *testing.T) {
	manyInstances(t, func(t *testing.T, f *fleet) {
		rate := func() float64 {
			f.mu.Lock()
			before := f.bytes
			f.mu.Unlock()
			const spell = 10 * time.Second
			time.Sleep(spell)
			f.mu.Lock()
			defer f.mu.Unlock()
			return float64(f.bytes-before) / spell.Seconds() / float64(len(f.instances))
		}
		calm := rate()
		for request := range 20 {
			endThree(f.instances, request)
		}
		learning := rate()
		time.Sleep(12 * time.Second)
		later := rate()
		t.Logf("%.0f bytes a second and instance; %.0f in the 10 s after 60 servers ended, %.0f a little later", calm, learning, later)
		if learning > calm+6000 || later > calm+1500 {
			t.Errorf("%.0f bytes a second and instance, %.0f, %.0f", calm, learning, later)
		}
	})
}
