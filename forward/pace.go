package forward

import (
	"time"

	"github.com/mastwheel/mastwheel/clock"
	"github.com/mastwheel/mastwheel/speed"
)

// streamPace is the usual speed of a service's streams.
type streamPace struct {
	// first is the time from the arrival of a request to its first event, and perToken the time for one token after that.
	first, perToken time.Duration
}

// usualSilence is how long a sound engine may be silent (source: the service requirements, a second or so).
// upstream.SoundSilence, after which a connection is given up, allows for a retransmission besides.
const usualSilence = 1200 * time.Millisecond

// minStreamsForPace is how many streams must have ended for their pace to be used.
const minStreamsForPace = 3

// pace returns the usual speed of the streams of the request's service: that of the streams which ended at this instance, or
// else what other instances have measured at the engines.
func (f *flow) pace() streamPace {
	learned := f.memoryModelOf(f.service.Name).learned.Load()
	if !f.knowsPace() {
		return streamPace{first: f.route.TTFT, perToken: f.eventTime() / time.Duration(max(f.service.Engine.EventTokens, 1))}
	}
	return streamPace{first: seconds(learned.first), perToken: seconds(learned.perToken)}
}

// knowsPace reports whether enough streams of the request's service have ended at this instance.
func (f *flow) knowsPace() bool {
	return f.memoryModelOf(f.service.Name).learned.Load().ended >= minStreamsForPace
}

// paceAtEngine returns the speed of the stream at its decode engine: the usual one, or that of the engine if it is slower by the
// measurements of all instances.
func (g *generation) paceAtEngine() streamPace {
	pace, now := g.pace(), clock.Now()
	if g.decode == nil {
		return pace
	}
	event := time.Duration(0)
	if estimate := g.decode.Server.Speeds.Estimate(speed.Event, now); estimate.Known(now) {
		event = seconds(estimate.PerUnit)
	} else if !g.knowsPace() {
		// The mean of the engines that are known says nothing of this one.
		event = g.assumedEventTime()
	}
	pace.perToken = max(pace.perToken, event/time.Duration(max(g.service.Engine.EventTokens, 1)))
	return pace
}

// seconds converts a number of seconds.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// eventTime returns the mean time for one event at the decode engines of the request's service by the measurements of all
// instances, or else assumedEventTime.
func (f *flow) eventTime() time.Duration {
	now, sum, count := clock.Now(), 0.0, 0.0
	for _, backend := range f.View.Servers().Decode[f.service.Name] {
		server := f.Fleet.Server(backend.Name)
		if server == nil {
			continue
		}
		if estimate := server.Speeds.Estimate(speed.Event, now); estimate.Known(now) {
			sum += estimate.PerUnit
			count++
		}
	}
	if count > 0 {
		return seconds(sum / count)
	}
	return f.assumedEventTime()
}

// assumedEventTime returns the time for one event at an engine without measurements: a long pause between two events that
// this instance has measured, or the longest that counts as in time.
func (f *flow) assumedEventTime() time.Duration {
	seen := f.pausesOf(f.service.Name)
	if pause, known := seen.usual.P95(); known {
		return pause
	}
	return max(f.config.EventPause, f.route.TBT)
}

// tokensWithin returns how many tokens a stream generates in a time, if its engine is silent once for as long as sound
// ones may be.
func (p streamPace) tokensWithin(left time.Duration) float64 {
	left -= usualSilence
	return max(left.Seconds(), 0) / max(p.perToken, time.Microsecond).Seconds()
}

// endedStream is a complete stream that began in this instance.
type endedStream struct {
	expected, generated int
	// first and perToken are as those of streamPace, in seconds. perToken is 0 if all events came at once.
	first, perToken float64
}

// endedStream returns what is learned from the stream. The time of a silence is no part of its pace.
func (r *relay) endedStream() endedStream {
	ended := endedStream{expected: r.expected, generated: r.generated(), first: r.firstEventAfter.Seconds()}
	took := r.lastEventAt.Sub(r.request.Arrived) - r.firstEventAfter
	if r.longestPause > usualSilence/2 {
		took -= r.longestPause
	}
	if later := r.events - r.firstEvents; later > 0 {
		ended.perToken = max(took.Seconds(), 0) / float64(later*max(r.service.Engine.EventTokens, 1))
	}
	return ended
}
