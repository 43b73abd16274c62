package edge

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// emptyRoster lists no instance, as when the list of instances lags or the store is unavailable.
type emptyRoster struct{ fullRoster }

func (emptyRoster) Addresses(context.Context) (map[string]string, error) { return nil, nil }

// A new instance whose seeds belong to other zones, and whose list of instances is empty, finds the
// hubs of its own zone and becomes known to all.
func TestANewInstanceWithSeedsInOtherZonesBecomesKnownToAll(t *testing.T) {
	if racedetector.Enabled {
		t.Skip("too many instances for the race detector; CI runs them without it")
	}
	runFleet(t, manyInstanceSizes[0], func(f *fleet) {
		f.add(60)
		newInstance := f.instances[len(f.instances)-1]
		newInstance.deps.Roster = emptyRoster{fullRoster{f}}
		defer f.startThese([]*Instance{newInstance})()
		if took := f.slowest(func(in *Instance) bool { return aliveSiblings(in) == len(f.instances)-1 }); took > 5*time.Second {
			t.Errorf("all instances know each other after %v", took)
		}
	})
}
