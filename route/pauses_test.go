package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestNoEstimateBeforeEnoughPauses(t *testing.T) {
	var pauses Pauses
	for range minPauses - 1 {
		pauses.Observe(time.Second)
	}
	if _, known := pauses.P95(); known {
		t.Error("the estimate is known too early")
	}
}

func TestMostPausesStayBelowTheEstimate(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for _, scale := range []time.Duration{time.Millisecond, time.Second} {
		var pauses Pauses
		pause := func() time.Duration { return scale + time.Duration(random.Float64()*float64(scale)) }
		for range 2000 {
			pauses.Observe(pause())
		}
		most, known := pauses.P95()
		if below := float64(most)/float64(scale) - 1; !known || below < 0.85 || below > 1.1 {
			t.Errorf("the estimate is %v for pauses between %v and %v", most, scale, 2*scale)
		}
	}
}

func TestTheEstimateFollowsLongerPauses(t *testing.T) {
	var pauses Pauses
	for range 1000 {
		pauses.Observe(50 * time.Millisecond)
	}
	for range 60 {
		pauses.Observe(200 * time.Millisecond)
	}
	if most, _ := pauses.P95(); most < 180*time.Millisecond || most > 230*time.Millisecond {
		t.Errorf("the estimate is %v", most)
	}
}
