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

// cellLayout describes how the region is divided into cells (groups of instances that know
// each other fully) and which cell this instance belongs to. It is immutable. The loop that
// reads the instance list replaces it.
type cellLayout struct {
	// cell is this instance's cell, and zoneCells is the number of cells of its
	// zone. cell is empty until it is determined. zoneCells is 0 while the
	// region is one cell.
	cell      string
	zoneCells int
	// regionSize is the number of instances listed in the region.
	regionSize int
}

// cells holds what this instance knows of the division of its region into cells.
type cells struct {
	layout  atomic.Pointer[cellLayout]
	members atomic.Pointer[cellMembers]
	// otherZones holds the latest instance list of each other zone. Only the
	// loop that reads the lists uses it.
	otherZones map[string][]instancelist.Entry
	// listReads counts the reads of the instance lists of other zones, so that
	// they are read in turn.
	listReads int
}

// Cell returns the name of this instance's cell.
func (i *Instance) Cell() string { return i.cells.layout.Load().cell }

// selfListedTimeout is how long an instance waits to see itself on the instance
// list before it determines its cell from the entries that it sees.
const selfListedTimeout = 10 * time.Second

// updateLayout determines the cell from the instance list of this zone and the
// size of the region. A list that does not show this instance yet may also lack
// other instances that started at the same time. If all of them relied on such
// a list, each would treat the region as a small one and inspect every backend
// server.
func (i *Instance) updateLayout(own []instancelist.Entry, region int) {
	listed := slices.ContainsFunc(own, func(e instancelist.Entry) bool { return e.Name == i.self.Name })
	if i.Cell() == "" && !listed && i.Uptime() < selfListedTimeout {
		return
	}
	next := &cellLayout{cell: cell.Undivided, regionSize: region}
	if region > i.config.Cell.MaxUndivided {
		next.zoneCells = i.config.Cell.Count(len(own))
		next.cell = cell.Of(i.self.Name, i.config.Zone, next.zoneCells)
	}
	before := i.cells.layout.Load()
	if before.cell != next.cell || before.zoneCells != next.zoneCells {
		// Restrict the servers first, because the instance counts as ready as soon as its
		// cell is stored.
		i.tables.restrict(i.serversOf(next))
	}
	i.cells.layout.Store(next)
}

// serversOf returns a function that reports whether a backend server belongs to this
// instance's cell according to layout. Servers of plain services (without models) belong to
// all cells, because they have no steward (the instance that grants reservations at an
// engine).
func (i *Instance) serversOf(layout *cellLayout) func(*table.BackendView) bool {
	return func(backend *table.BackendView) bool {
		if layout.cell == "" {
			return false
		}
		if layout.zoneCells == 0 || backend.Role == table.RolePlain {
			return true
		}
		return backend.Zone == i.config.Zone && cell.Of(backend.Name, backend.Zone, layout.zoneCells) == layout.cell
	}
}

// inCell reports whether an instance of this zone belongs to this cell.
func (i *Instance) inCell(name string) bool {
	layout := i.cells.layout.Load()
	return layout.zoneCells == 0 || cell.Of(name, i.config.Zone, layout.zoneCells) == layout.cell
}

// cellMembers caches the names of the live instances of this cell, including
// this one. It is valid as long as neither the view of the members nor the
// layout has changed.
type cellMembers struct {
	view   *member.View
	layout *cellLayout
	names  []string
}

// cellMemberNames returns the names of the live instances of this cell, this
// one first.
func (i *Instance) cellMemberNames() []string {
	view, layout := i.members.View(), i.cells.layout.Load()
	if known := i.cells.members.Load(); known != nil && known.view == view && known.layout == layout {
		return known.names
	}
	next := &cellMembers{view: view, layout: layout, names: []string{i.self.Name}}
	for n := range view.Siblings {
		if sibling := view.Siblings[n]; sibling.State == member.Alive && sibling.Cell == layout.cell {
			next.names = append(next.names, sibling.Name)
		}
	}
	i.cells.members.Store(next)
	return next.names
}

const (
	// allReadCellSize is the largest cell in which every instance reads the
	// log.
	allReadCellSize = 8
	// logReaders is how many instances of a larger cell read the log.
	logReaders = 2
	// logSilenceTimeout is how long an instance goes without contact with the log, by its
	// own reads or through a sibling, before it reads the log even if it is not one of the
	// readers.
	logSilenceTimeout = 3 * time.Second
)

// readsLog reports whether this instance should read the log now.
func (i *Instance) readsLog() bool {
	names := i.cellMemberNames()
	if len(names) <= allReadCellSize || i.Uptime()-time.Duration(i.lastContact.Load()) > logSilenceTimeout {
		return true
	}
	for _, reader := range cell.Contacts("log "+i.Cell(), names, logReaders) {
		if reader == i.self.Name {
			return true
		}
	}
	return false
}

// contactOtherZones stays in contact with a few instances of the other zones.
// Each call reads the instance list of one zone.
func (i *Instance) contactOtherZones(ctx context.Context, zones []string) {
	if len(zones) == 0 {
		return
	}
	zone := zones[i.cells.listReads%len(zones)]
	i.cells.listReads++
	entries, err := i.deps.List.List(ctx, zone)
	if err != nil {
		return
	}
	i.cells.otherZones[zone] = entries
	names := make([]string, 0, len(entries))
	byName := make(map[string]instancelist.Entry, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name)
		byName[entry.Name] = entry
	}
	for _, name := range cell.Contacts(i.self.Name, names, i.config.Cell.Contacts) {
		i.contact(byName[name])
	}
}

// regionSize returns the number of instances listed in this zone and the
// others.
func (i *Instance) regionSize(own int) int {
	total := own
	for _, entries := range i.cells.otherZones {
		total += len(entries)
	}
	return total
}
