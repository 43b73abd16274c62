// Package cell divides the instances of a region into cells. A cell is a group
// that is small enough for each instance to know all others. The package does no
// I/O. Instances with the same list of instances compute the same cells. While their
// lists differ for a moment, the cells that they compute may overlap, which does no
// further harm.
package cell

import (
	"slices"
	"strconv"

	"github.com/mastwheel/mastwheel/route"
)

// Undivided is the name of the only cell of a region that isn't divided.
const Undivided = "region"

// Config sets the size of cells.
type Config struct {
	// MaxUndivided is the maximum number of instances of a region that is one cell.
	// With a larger value the same stewards (a steward is the instance that grants
	// reservations at an engine) serve more backend servers, but the heartbeat
	// traffic grows with the square of the value.
	MaxUndivided int
	// MeanSize is the mean size of the cells of a larger region. Cells differ in
	// size, so it must be well below MaxUndivided.
	MeanSize int
	// Contacts is the number of instances in each other zone with which an
	// instance stays in contact. It needs them as witnesses (a witness is the instance
	// in another zone that acknowledges an intent) and for callers of those zones.
	Contacts int
}

// DefaultConfig returns sizes that keep heartbeats within 20 KB a second
// (docs/CAPACITY.md).
func DefaultConfig() Config { return Config{MaxUndivided: 24, MeanSize: 16, Contacts: 2} }

// Count returns the number of cells of a zone with the given number of instances.
func (c Config) Count(instances int) int { return max(1, (instances+c.MeanSize-1)/c.MeanSize) }

// Of returns the cell of an instance or a backend server by its name, in a zone
// with the given number of cells. When the number of cells changes by one, only
// about as many names move as one cell has.
func Of(name, zone string, cells int) string {
	ids := make([]string, cells)
	for i := range ids {
		ids[i] = zone + "/" + strconv.Itoa(i)
	}
	return route.Owner(name, ids)
}

// Contacts selects n of names to stay in contact with. It uses rendezvous hashing
// with the instance's own name, so that each name is selected by about the same
// number of instances.
func Contacts(self string, names []string, n int) []string {
	remaining := slices.Clone(names)
	var selected []string
	for len(selected) < n && len(remaining) > 0 {
		next := route.Owner(self, remaining)
		selected = append(selected, next)
		remaining = slices.DeleteFunc(remaining, func(name string) bool { return name == next })
	}
	return selected
}
