package route

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestSpareGrowsWithLengthErrors(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	spareAfter := func(prompt, generated int) float64 {
		var sizes Sizes
		for range 400 {
			sizes.RecordStart(prompt+generated/2, generated)
			sizes.RecordEnd(generated, int(float64(generated)*math.Exp(0.4*random.NormFloat64())))
		}
		return sizes.Spare(40_000)
	}
	short, long := spareAfter(3200, 640), spareAfter(3200, 3200)
	if short < 0.02 || short > 0.08 || long < 3*short {
		t.Errorf("%.3f of the memory stays free for short answers, %.3f for long ones", short, long)
	}
}

func TestSpareUsesGuessErrorBeforeEnoughEnded(t *testing.T) {
	var sizes Sizes
	if got := sizes.Spare(40_000); got != 0 {
		t.Errorf("%.3f stays free before any request", got)
	}
	sizes.RecordStart(4000, 1000)
	// 1.645 standard deviations of 500 tokens for each of ten requests.
	if got, want := sizes.Spare(40_000), 1.645*500*math.Sqrt(10)/40_000; math.Abs(got-want) > 1e-9 {
		t.Errorf("%.4f stays free, want %.4f", got, want)
	}
}

func TestOldSizesAreForgotten(t *testing.T) {
	var sizes Sizes
	for range 10 * sizesWindow {
		sizes.RecordStart(1000, 100)
		sizes.RecordEnd(100, 100)
	}
	for range 5 * sizesWindow {
		sizes.RecordStart(5000, 100)
	}
	if need := sizes.Need(); need < 4900 {
		t.Errorf("the mean need is %.0f tokens", need)
	}
	if spare := sizes.Spare(40_000); spare != 0 {
		t.Errorf("%.3f stays free where lengths are known exactly", spare)
	}
}
