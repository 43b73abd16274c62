package backpressure

import "time"

// drain is whether a run of a server has reported that it is draining. A drain does not end:
// the process that serves later under the same name is another run.
type drain struct {
	leaving bool
	// at is when the server first reported it. freshUntil is until when it is sent to siblings
	// with each message.
	at         time.Time
	freshUntil time.Time
}

// drainSentFor is how long a drain is sent to siblings. It is longer than any server takes to
// drain (source: the platform's protocol, many seconds at times).
const drainSentFor = time.Hour

// shouldSend reports whether the drain is sent to siblings.
func (d *drain) shouldSend(now time.Time) bool { return d.leaving && now.Sub(d.at) < drainSentFor }

// start notes that the server is draining, and reports whether that is new.
func (d *drain) start(at, freshUntil time.Time) (isNew bool) {
	if d.leaving {
		return false
	}
	*d = drain{leaving: true, at: at, freshUntil: freshUntil}
	return true
}
