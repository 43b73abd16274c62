package backpressure

import "time"

// rest is the time for which a server wants nothing from this instance. It says nothing of
// others: a server may turn away one zone only.
type rest struct {
	until time.Time
}

// extend has the rest last until the latest moment asked for, and says whether it begins.
func (r *rest) extend(until, now time.Time) (begins bool) {
	begins = !now.Before(r.until)
	if until.After(r.until) {
		r.until = until
	}
	return begins
}
