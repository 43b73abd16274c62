package forward

import (
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/route"
)

// learn takes the result of a call into what is believed of its server. A
// server that refuses because it is full is sound; one that cannot be reached
// or breaks off is not. What was not sent to it says nothing.
func (f *flow) learn(server *route.Server, err error) {
	now := clock.Now()
	var notRun *NotRun
	if errors.As(err, &notRun) && notRun.Withheld {
		return
	}
	if !errors.As(err, &notRun) || notRun.Sent {
		server.Reached()
	}
	switch {
	case err == nil:
		server.Heard(now)
		server.Accepted()
		server.Breaker.Success()
	case errors.As(err, &notRun) && notRun.Misdirected:
		server.Heard(now)
		server.Misdirected(now)
	case errors.As(err, &notRun) && notRun.Sent:
		server.Heard(now)
		server.Refused(now)
	case errors.As(err, &notRun):
		server.Unreached(now)
		server.Breaker.Failure(now)
	case server.Pressure.IsResting(now):
		// It asked to be left alone, which is no failure.
		server.Heard(now)
	default:
		server.Breaker.Failure(now)
	}
}
