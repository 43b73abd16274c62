package trial

import "github.com/mastwheel/mastwheel/instancelist"

// Standins holds the stand-ins of a deployment without instances. The instances
// run as separate processes.
type Standins struct{ env *environment }

// StartStandins starts the stand-ins of a deployment. platform is the address on
// which the log and the instance list listen. instances are the entries of the
// instance list.
func StartStandins(deployment Deployment, platform string, instances []instancelist.Entry) (*Standins, error) {
	env, err := newEnvironment(deployment, platform)
	if err != nil {
		return nil, err
	}
	for _, entry := range instances {
		env.list.Set(entry)
	}
	return &Standins{env: env}, nil
}

// Addresses returns the addresses on which the stand-ins listen.
func (s *Standins) Addresses() Addresses {
	return Addresses{Platform: s.env.platform, Backends: s.env.addresses}
}

// Stop stops the stand-ins.
func (s *Standins) Stop() { s.env.stop() }
