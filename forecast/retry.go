package forecast

import "time"

// A request that no engine can take waits for memory within its instance, or is refused and comes back
// once. The forecast's moment holds only if no other request comes. After a burst returning callers and
// new requests together need more than is released, so a caller comes back as late as its time allows.
// Engines that the forecast expects to have room refuse, since what others took in the last 150 ms is not
// known. So several engines are tried, and a returning request tries twice.

const (
	// Tries is the number of engines that are tried in turn. With 3, an engine that would have taken the
	// request was not tried in a third of the refusals of returning callers.
	Tries = 5
	// ReturnEarliest is the earliest time at which a caller refused for lack of memory comes back, as a
	// fraction of the time that it has left, unless minReturnSpread requires less. A burst lasts 4 to
	// 6 s and its streams run for 4 s more, and callers have 14 s: those who return earlier meet the
	// burst that they were refused in.
	ReturnEarliest = 0.26
	// minReturnSpread is the least interval, as a fraction of the time left, over which callers come back
	// that were refused together.
	minReturnSpread = 0.055
)

// ReturnAfter returns the delay after which a caller comes back that was refused for lack of memory. left
// is its remaining time, expected the time after which the forecast expects memory, latest the largest
// part of left that callers wait, and draw a random number between 0 and 1.
func ReturnAfter(left, expected time.Duration, latest, draw float64) time.Duration {
	last := latest * float64(left)
	spread := minReturnSpread * float64(left)
	from := min(max(ReturnEarliest*float64(left), float64(expected)), last-spread)
	return time.Duration(max(from+draw*(last-from), 0))
}

// Shortage is the state of a request that no engine can take now.
type Shortage struct {
	// After is the time after which the first engine is expected to have memory, if Known.
	After time.Duration
	Known bool
	// Late is set if the caller has waited longer than the target, as one that came back.
	Late bool
	// Waits is the number of times that the request has waited already.
	Waits int
	// Waited is the time since the request arrived, and Allowed that within which it must be refused.
	Waited, Allowed time.Duration
	// Retry is the shortest pause between two tries.
	Retry time.Duration
}

// Wait decides how long the request waits until the next try, and whether it does. Otherwise it is
// refused. A late request waits for one more try only, and only if memory is expected by then, since
// an answer to it is worth a tenth to a fifth of one in time, and the memory that it takes is missing
// to requests in time.
func (s Shortage) Wait() (pause time.Duration, waits bool) {
	pause = max(s.After, s.Retry)
	if s.Late && (s.Waits > 0 || pause > s.Retry) {
		return pause, false
	}
	return pause, s.Known && s.Waited+pause <= s.Allowed
}
