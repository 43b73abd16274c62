package backpressure

import "time"

// drain is whether a run of a server has said that it leaves. It does not take that back:
// whatever serves later under its name is another run.
type drain struct {
	leaving bool
	// at is when it said so first, and freshUntil until when others are sent it with each
	// message.
	at         time.Time
	freshUntil time.Time
}

// drainKept is how long siblings are sent that a server leaves: longer than any takes to do
// so (source: the users' protocol, many seconds at times).
const drainKept = time.Hour

// isTold says whether siblings are told.
func (d *drain) isTold(now time.Time) bool { return d.leaving && now.Sub(d.at) < drainKept }

// begin notes that the server leaves, and says whether that is new.
func (d *drain) begin(at, freshUntil time.Time) (isNew bool) {
	if d.leaving {
		return false
	}
	*d = drain{leaving: true, at: at, freshUntil: freshUntil}
	return true
}
