package forward

import (
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/route"
)

// updateServer applies the result of a call to the state that is kept of its server. A server
// that refuses because it is full is healthy. A server that cannot be reached or breaks off is
// not. A call that was not sent changes nothing.
func (f *flow) updateServer(server *route.Server, err error) {
	now := clock.Now()
	var notRun *NotRunError
	if errors.As(err, &notRun) && notRun.Withheld {
		return
	}
	if !errors.As(err, &notRun) || notRun.Sent {
		server.Reached()
	}
	f.recordReach(server.Name, err, now)
	switch {
	case err == nil:
		server.RecordContact(now)
		server.Accepted()
		server.Breaker.Success()
	case errors.As(err, &notRun) && notRun.Misdirected:
		server.RecordContact(now)
		server.Misdirected(now)
	case errors.As(err, &notRun) && notRun.Sent:
		server.RecordContact(now)
		server.Refused(now)
	case errors.As(err, &notRun) && notRun.AtLimit:
		// The server is as full as this instance may make it, and sound.
		server.Refused(now)
	case errors.As(err, &notRun):
		server.Unreached(now)
		server.Breaker.Failure(now)
	case server.Pressure.IsBackingOff(now):
		// The server requested the backoff, so this is no failure.
		server.RecordContact(now)
	default:
		server.Breaker.Failure(now)
	}
}
