// Package instancelist is the client of the platform's list of instances, which
// shows live and draining instances with a delay.
package instancelist

import "context"

// State is the state of an instance as the platform lists it.
type State string

const (
	Live     State = "live"
	Draining State = "leaving"
)

// Entry is one instance in the list.
type Entry struct {
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Peer is the UDP address for sibling instances, "ip:port".
	Peer  string `json:"peer"`
	State State  `json:"state"`
}

// Client reads the instance list.
type Client interface {
	// List returns the instances of an availability zone, or of all zones if
	// zone is empty.
	List(ctx context.Context, zone string) ([]Entry, error)
	// Zones returns the availability zones that have instances.
	Zones(ctx context.Context) ([]string, error)
}
