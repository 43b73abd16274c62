package route

import (
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// HeldBack says whether a choice found no server only since those that are sound would not
// take the work now, by what they have said of themselves: why the one would not that will
// be the first to, and how long that takes.
func HeldBack(q *Query, rated []Rated) (why reason.Reason, opens time.Duration) {
	for _, one := range rated {
		reasoned := heldBackBy[one.DroppedBy]
		if one.DroppedBy == filteredRoom {
			// It has no memory at the moment, and would take the work else.
			return reason.None, 0
		}
		if reasoned == reason.None {
			continue
		}
		if in := one.Server.Pressure.RoomIn(q.Work, q.Now); why == reason.None || in < opens {
			why, opens = reasoned, in
		}
	}
	return why, opens
}

// heldBackBy is the reason to refuse a request where a filter has dropped the servers.
var heldBackBy = map[string]reason.Reason{
	filteredLimit: reason.ServersLimited,
	filteredRest:  reason.ServersResting,
}
