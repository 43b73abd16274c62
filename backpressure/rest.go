package backpressure

import "time"

// rest is the time for which a server wants nothing from this instance. It says nothing of
// others: a server may turn away one zone only.
type rest struct {
	until time.Time
	// recovering is set until the server has taken something since, and tried is when it
	// was last sent something meanwhile.
	recovering bool
	tried      time.Time
}

const (
	// restSpread is the part of a rest that instances add to it, drawn at random, and
	// restSpreadMost its bound: all that were turned away should not return at once.
	restSpread     = 0.1
	restSpreadMost = 300 * time.Millisecond
	// tryPatience is how long one request that is sent after a rest is waited for before
	// another one is: longer than the usual answer of a busy server (source: the users'
	// sheets, 0.45 s).
	tryPatience = time.Second
)

// extend has the rest last until the latest moment asked for, and says whether it begins.
func (r *rest) extend(backoff time.Duration, random float64, now time.Time) (begins bool) {
	begins = !now.Before(r.until)
	spread := min(time.Duration(restSpread*random*float64(backoff)), restSpreadMost)
	if until := now.Add(backoff + spread); until.After(r.until) {
		r.until = until
	}
	r.recovering = true
	return begins
}

// holdsBack says whether the server is to be left alone: after its rest it gets one request,
// and the others once it has taken that.
func (r *rest) holdsBack(now time.Time) bool {
	return now.Before(r.until) || (r.recovering && now.Sub(r.tried) < tryPatience)
}

// sent notes that something is sent.
func (r *rest) sent(now time.Time) {
	if r.recovering {
		r.tried = now
	}
}

// roomIn is how long it takes until the server may be sent something.
func (r *rest) roomIn(now time.Time) time.Duration { return max(r.until.Sub(now), 0) }
