package instance

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/cell"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/table"
)

// place is where this instance belongs. It is immutable; the list loop swaps
// in a new one.
type place struct {
	// cell is this instance's cell, empty until that is settled, and zoneCells
	// the number of cells of its zone; 0 while the region is one cell.
	cell      string
	zoneCells int
	// region is the number of instances listed in the region.
	region int
}

// cells is this instance's part in the division of its region.
type cells struct {
	place atomic.Pointer[place]
	mates atomic.Pointer[mates]
	// far holds what was last listed of other zones; only the list loop uses it.
	far map[string][]instancelist.Entry
	// turn counts the reads of the list, to read other zones in turn.
	turn int
}

// Cell names this instance's cell.
func (i *Instance) Cell() string { return i.cells.place.Load().cell }

// settlePatience is how long an instance waits to see itself on the list
// before it settles with what it sees.
const settlePatience = 10 * time.Second

// settlePlace works out the cell from the list of this zone and the size of
// the region. A list that does not show this instance yet may not show others
// that started with it either: believing it, all of them would take the region
// for a small one, and each look after every worker.
func (i *Instance) settlePlace(own []instancelist.Entry, region int) {
	listed := slices.ContainsFunc(own, func(e instancelist.Entry) bool { return e.Name == i.self.Name })
	if i.Cell() == "" && !listed && i.Uptime() < settlePatience {
		return
	}
	next := &place{cell: cell.Whole, region: region}
	if region > i.config.Cell.Most {
		next.zoneCells = i.config.Cell.Count(len(own))
		next.cell = cell.Of(i.self.Name, i.config.Zone, next.zoneCells)
	}
	before := i.cells.place.Load()
	if before.cell != next.cell || before.zoneCells != next.zoneCells {
		// The workers first: an instance that has its cell counts as ready.
		i.keeper.restrict(i.workersOf(next))
	}
	i.cells.place.Store(next)
}

// workersOf returns whether a backend server is one of a place's cell. Plain
// servers belong to all cells: nobody is steward of them.
func (i *Instance) workersOf(at *place) func(*table.BackendView) bool {
	return func(backend *table.BackendView) bool {
		if at.cell == "" {
			return false
		}
		if at.zoneCells == 0 || backend.Role == table.RolePlain {
			return true
		}
		return backend.Zone == i.config.Zone && cell.Of(backend.Name, backend.Zone, at.zoneCells) == at.cell
	}
}

// inCell says whether an instance of this zone belongs to this cell.
func (i *Instance) inCell(name string) bool {
	at := i.cells.place.Load()
	return at.zoneCells == 0 || cell.Of(name, i.config.Zone, at.zoneCells) == at.cell
}

// mates is the names of the instances of this cell that are alive, this one
// included, as long as neither the members nor the place have changed.
type mates struct {
	view  *member.View
	at    *place
	names []string
}

// cellMates returns the names of the living instances of this cell, this one
// first.
func (i *Instance) cellMates() []string {
	view, at := i.members.View(), i.cells.place.Load()
	if known := i.cells.mates.Load(); known != nil && known.view == view && known.at == at {
		return known.names
	}
	next := &mates{view: view, at: at, names: []string{i.self.Name}}
	for n := range view.Siblings {
		if sibling := view.Siblings[n]; sibling.State == member.Alive && sibling.Cell == at.cell {
			next.names = append(next.names, sibling.Name)
		}
	}
	i.cells.mates.Store(next)
	return next.names
}

const (
	// allRead is the size up to which everybody in a cell reads the log.
	allRead = 8
	// logReaders is how many instances of a larger cell read it.
	logReaders = 2
	// selfHelp is the silence about the log after which an instance reads it
	// itself, whoever the readers are.
	selfHelp = 3 * time.Second
)

// readsLog says whether this instance is to read the log now.
func (i *Instance) readsLog() bool {
	names := i.cellMates()
	if len(names) <= allRead || i.Uptime()-time.Duration(i.fresh.Load()) > selfHelp {
		return true
	}
	for _, reader := range cell.Contacts("log "+i.Cell(), names, logReaders) {
		if reader == i.self.Name {
			return true
		}
	}
	return false
}

// greetFar keeps up with a few instances of the other zones, reading one
// zone's list at a time.
func (i *Instance) greetFar(ctx context.Context, zones []string) {
	if len(zones) == 0 {
		return
	}
	zone := zones[i.cells.turn%len(zones)]
	i.cells.turn++
	entries, err := i.deps.List.List(ctx, zone)
	if err != nil {
		return
	}
	i.cells.far[zone] = entries
	names := make([]string, 0, len(entries))
	byName := make(map[string]instancelist.Entry, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name)
		byName[entry.Name] = entry
	}
	for _, name := range cell.Contacts(i.self.Name, names, i.config.Cell.Contacts) {
		i.greet(byName[name])
	}
}

// regionSize is the instances listed in this zone and the others.
func (i *Instance) regionSize(own int) int {
	total := own
	for _, entries := range i.cells.far {
		total += len(entries)
	}
	return total
}
