package route

import "math"

// When memory is nearly full, trunk reservation (Key, 1990) decides which requests
// get the rest: a request that should yield to others is promised memory only if some
// more stays free. With enough free memory it has no effect.

const (
	// piecesPerExcessShare is the headroom for each whole share that a team uses
	// beyond its own.
	piecesPerExcessShare = 4
	// piecesPerPriorityStep is the headroom for each step below the highest
	// priority in the table.
	piecesPerPriorityStep = 2
	// maxHeadroom limits the headroom, so that no team is starved: more than half of
	// an engine stays available to all.
	maxHeadroom = 12
)

// Headroom returns how many memory pieces (the unit of KV cache memory, 2,000 tokens)
// must stay free when a request is promised memory. overShare is
// AdmissionSlot.ShareRatio. below is how many steps the request's priority is below the
// highest.
func Headroom(overShare float64, below int) int {
	pieces := piecesPerPriorityStep * below
	if overShare > 1 {
		pieces += int(math.Ceil(piecesPerExcessShare * (overShare - 1)))
	}
	return min(pieces, maxHeadroom)
}
