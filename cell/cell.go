// Package cell divides the instances of a region into cells: groups small
// enough for everybody in one to know everybody else. It does no I/O; every
// instance that sees the same list reaches the same division, and while lists
// differ for a moment, cells overlap and nothing worse.
package cell

import (
	"slices"
	"strconv"

	"github.com/mastwheel/mastwheel/route"
)

// Whole is the cell of a region that needs no division.
const Whole = "region"

// Config sets the size of cells.
type Config struct {
	// Most is how many instances a region may have and still be one cell.
	// Larger pools more workers under the same stewards; heartbeats grow with
	// the square of it.
	Most int
	// Mean is the mean size of the cells of a larger region. Cells differ in
	// size, so it must be well below Most.
	Mean int
	// Contacts is how many instances of each other zone an instance keeps up
	// with, for witnesses and for callers of those zones.
	Contacts int
}

// DefaultConfig keeps heartbeats within 20 KB a second (docs/CAPACITY.md).
func DefaultConfig() Config { return Config{Most: 24, Mean: 16, Contacts: 2} }

// Count returns the number of cells of a zone with that many instances.
func (c Config) Count(instances int) int { return max(1, (instances+c.Mean-1)/c.Mean) }

// Of returns the cell of a name, an instance or a worker, in a zone with that
// many cells. When the number of cells changes by one, only the names of one
// cell's worth move.
func Of(name, zone string, cells int) string {
	ids := make([]string, cells)
	for i := range ids {
		ids[i] = zone + "/" + strconv.Itoa(i)
	}
	return route.Owner(name, ids)
}

// Contacts chooses n of the names to keep up with, by rendezvous hashing with
// the chooser's own name, so that each is chosen by about as many.
func Contacts(self string, names []string, n int) []string {
	rest := slices.Clone(names)
	var chosen []string
	for len(chosen) < n && len(rest) > 0 {
		next := route.Owner(self, rest)
		chosen = append(chosen, next)
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == next })
	}
	return chosen
}
