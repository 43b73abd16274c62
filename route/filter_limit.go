package route

import (
	"time"

	"github.com/mastwheel/mastwheel/backpressure"
)

// LimitFilter drops servers whose rate limit leaves no room for the work now.
type LimitFilter struct{}

// filteredLimit names LimitFilter.
const filteredLimit = "limit"

// Name implements Filter.
func (LimitFilter) Name() string { return filteredLimit }

// Keep implements Filter.
func (LimitFilter) Keep(q *Query, c Candidate) bool {
	return c.Server.Pressure.Look(q.Work, q.Now) != backpressure.OverLimit
}

// HeldBack says whether a choice found no server only since those that are sound would not
// take the work now, by what they have said of themselves, and how long it takes until the
// first of them will.
func HeldBack(q *Query, rated []Rated) (opens time.Duration, held bool) {
	for _, one := range rated {
		switch one.DroppedBy {
		case filteredLimit:
			in := one.Server.Pressure.RoomIn(q.Work, q.Now)
			if !held || in < opens {
				opens = in
			}
			held = true
		case filteredRoom:
			// It has no memory at the moment, and would take the work else.
			return 0, false
		}
	}
	return opens, held
}
