package edge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// cutDraws is how many randomly drawn sets of instances are cut off. 240 other sets were run by hand.
const cutDraws = 6

// Hubs and a few other instances are cut off at once, for varying times. Whichever they are, all
// instances know each other again soon after the cut.
func TestAllInstancesKnowEachOtherAfterHubsWereCutOff(t *testing.T) {
	if racedetector.Enabled {
		t.Skip("too many instances for the race detector; CI runs them without it")
	}
	for seed := range uint64(cutDraws) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, manyInstanceSizes[0], func(f *fleet) {
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
				if took := f.slowest(func(in *Instance) bool { return aliveSiblings(in) == len(f.instances)-1 }); took > 5*time.Second {
					t.Errorf("all instances know each other again after %v", took)
				}
			})
		})
	}
}
