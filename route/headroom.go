package route

import "math"

// When memory is nearly full, who may take the last of it is decided by trunk
// reservation (Key, 1990): a request that should yield is promised memory only
// if some more would stay free for others. With room to spare nobody notices.

const (
	// piecesPerShare is the headroom of a team for each whole share that it
	// has too much.
	piecesPerShare = 4
	// piecesPerPriority is the headroom for each step below the highest
	// priority in the table.
	piecesPerPriority = 2
	// mostHeadroom bounds the headroom, so that nobody is starved: over half
	// of an engine stays open to all.
	mostHeadroom = 12
)

// Headroom returns how many pieces must stay free when a request is promised
// memory. overShare is Place.OverShare; below is how many steps its priority
// is below the highest.
func Headroom(overShare float64, below int) int {
	pieces := piecesPerPriority * below
	if overShare > 1 {
		pieces += int(math.Ceil(piecesPerShare * (overShare - 1)))
	}
	return min(pieces, mostHeadroom)
}
