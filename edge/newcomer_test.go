package edge

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/racedetector"
)

// emptyRoster shows nobody: the list of instances lags, or the store is away.
type emptyRoster struct{ rosterOf }

func (emptyRoster) Addresses(context.Context) (map[string]string, error) { return nil, nil }

// A newcomer whose seeds are members of other zones, and whom the list of instances
// shows nobody, finds the hubs of its own zone and is known to all.
func TestANewcomerThatOnlyOtherZonesAnswerIsKnownToAll(t *testing.T) {
	if racedetector.On {
		t.Skip("too many instances for the race detector; CI plays them without it")
	}
	play(t, manySizes[0], func(f *fleet) {
		f.add(60)
		newcomer := f.instances[len(f.instances)-1]
		newcomer.deps.Roster = emptyRoster{rosterOf{f}}
		defer f.startThese([]*Instance{newcomer})()
		if took := f.slowest(func(in *Instance) bool { return aliveAt(in) == len(f.instances)-1 }); took > 5*time.Second {
			t.Errorf("all know each other after %v", took)
		}
	})
}
