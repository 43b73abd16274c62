package forward

import (
	"slices"

	"github.com/mastwheel/mastwheel/table"
)

// A route and a team may each name the regions that may serve them; both bind. A request then
// goes to servers there only, and so does what it leaves behind: prompts that were read,
// reservations, streams that move.

// regions are where a request may be served; nil means anywhere.
type regions map[string]bool

// allowedRegions returns where requests of a route and a team may be served.
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

// within returns the servers that are in one of the regions.
func (r regions) within(backends []*table.BackendView, regionOf map[string]string) []*table.BackendView {
	if r == nil {
		return backends
	}
	return slices.DeleteFunc(slices.Clone(backends), func(b *table.BackendView) bool { return !r.hold(b, regionOf) })
}

// hold says whether a server is in one of the regions. One in a zone whose region is not
// known is in none.
func (r regions) hold(backend *table.BackendView, regionOf map[string]string) bool {
	return r == nil || r[regionOf[backend.Zone]]
}
