// Package instancelist talks to the platform's list of instances, which shows
// live and leaving instances with a lag.
package instancelist

import "context"

// State is what the platform says of an instance.
type State string

const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Entry is one instance on the list.
type Entry struct {
	Name string `json:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Peer is the UDP address for sibling instances, "ip:port".
	Peer  string `json:"peer"`
	State State  `json:"state"`
}

// Client reads the list.
type Client interface {
	// List returns the instances of an availability zone, or of all for "".
	List(ctx context.Context, zone string) ([]Entry, error)
	// Zones returns the availability zones that have instances.
	Zones(ctx context.Context) ([]string, error)
}
