package forward

import (
	"slices"

	"github.com/mastwheel/mastwheel/table"
)

// A route and a team may each name the regions that may serve them, and both limits apply. The
// request then goes only to servers in those regions, and so does everything that belongs to
// it: prefill results, reservations and streams that are moved to another engine.

// regions is the set of regions that may serve a request; nil allows all.
type regions map[string]bool

// allowedRegions returns the regions that may serve the requests of a route and a team.
func allowedRegions(route *table.RouteView, team *table.TeamView) regions {
	var allowed regions
	for _, bound := range [][]string{route.Regions, regionsOf(team)} {
		if len(bound) == 0 {
			continue
		}
		next := make(regions, len(bound))
		for _, region := range bound {
			next[region] = allowed == nil || allowed[region]
		}
		allowed = next
	}
	return allowed
}

func regionsOf(team *table.TeamView) []string {
	if team == nil {
		return nil
	}
	return team.Regions
}

// filter returns the servers that are in one of the regions.
func (r regions) filter(backends []*table.BackendView, regionOf map[string]string) []*table.BackendView {
	if r == nil {
		return backends
	}
	return slices.DeleteFunc(slices.Clone(backends), func(b *table.BackendView) bool { return !r.contains(b, regionOf) })
}

// contains reports whether a server is in one of the regions. A server in a zone whose region
// is not known is in none.
func (r regions) contains(backend *table.BackendView, regionOf map[string]string) bool {
	return r == nil || r[regionOf[backend.Zone]]
}
