package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// cutDraws is how many sets of instances are cut off; 240 others were played by hand.
const cutDraws = 6

// Whichever hubs, and a few others, are cut off at once, and for however long, all know
// each other again soon after.
func TestAllKnowEachOtherAfterAnyHubsWereCutOff(t *testing.T) {
	if racedetector.On {
		t.Skip("too many instances for the race detector; CI plays them without it")
	}
	for seed := range uint64(cutDraws) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, manySizes[0], func(f *fleet) {
				random := rand.New(rand.NewPCG(seed, 3))
				f.mu.Lock()
				for _, in := range f.instances {
					if (in.hubs.isHub() && random.IntN(2) == 0) || random.IntN(30) == 0 {
						f.cut[in.config.SiblingAddress] = true
					}
				}
				f.mu.Unlock()
				time.Sleep(time.Duration(500+random.IntN(8000)) * time.Millisecond)
				f.mu.Lock()
				f.cut = map[string]bool{}
				f.mu.Unlock()
				if took := f.slowest(func(in *Instance) bool { return aliveAt(in) == len(f.instances)-1 }); took > 5*time.Second {
					t.Errorf("all know each other again after %v", took)
				}
			})
		})
	}
}
