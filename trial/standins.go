package trial

import "github.com/mastwheel/mastwheel/instancelist"

// Standins is the stand-ins of a deployment alone, for instances that run as
// processes of their own.
type Standins struct{ world *world }

// StartStandins starts them. platform is where the log and the instance list
// listen; instances are shown on the list.
func StartStandins(deployment Deployment, platform string, instances []instancelist.Entry) (*Standins, error) {
	w, err := newWorld(deployment, platform)
	if err != nil {
		return nil, err
	}
	for _, entry := range instances {
		w.list.Set(entry)
	}
	return &Standins{world: w}, nil
}

// Addresses says where the stand-ins listen.
func (s *Standins) Addresses() Addresses {
	return Addresses{Platform: s.world.platform, Backends: s.world.addresses}
}

// Stop ends them.
func (s *Standins) Stop() { s.world.stop() }
