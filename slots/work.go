package slots

import (
	"math"
	"time"
)

const (
	// workSamples is the number of answers over which the work time is averaged. An instance gets
	// three to seven answers a second, and a tenth of the calls take five times as long as the
	// others, so that an average of fewer follows single calls.
	workSamples = 64
	// priorSamples is the weight, in answers, of the work time that is assumed at first.
	priorSamples = 8
	// priorFraction is the fraction of the callers' target that a call is assumed to work at
	// first. Targets are some multiple of the work time, or no queue could be allowed.
	priorFraction = 0.25
	// idleSamplesFor is the time after which answers of busy servers are used if there were no
	// others.
	idleSamplesFor = 10 * time.Second
)

// work estimates the work time of a service's calls: the mean over the last answers. The mean
// decides how many calls the servers can do.
type work struct {
	samples [workSamples]workSample
	next    int
	count   int
	// sum is the sum of all samples. known is that of the samples for which the server's usual work
	// time was known, usual the sum of these work times, and usualCount their number.
	sum, known, usual time.Duration
	usualCount        int
	// at is the time of the last sample.
	at time.Time
}

// workSample is an answer, with the usual work time of its server; 0 if that was not known.
type workSample struct {
	server      string
	took, usual time.Duration
}

// add records an answer. Answers of servers with most slots in use are left out if there are
// others: their time includes a wait in the queue, which is known only roughly because the number
// of calls there is known late.
func (w *work) add(answer Answer, now time.Time) {
	w.follow(answer.Server, answer.Usual)
	slots, inFlight, took := answer.Slots, max(answer.Before, answer.After), answer.Took
	if inFlight > (slots+1)/2 && w.count >= priorSamples && now.Sub(w.at) < idleSamplesFor {
		return
	}
	if inFlight > slots && slots > 0 {
		// By Little's law a call at a server that works on slots calls at a time is worked on for
		// slots/inFlight of its time.
		took = took * time.Duration(slots) / time.Duration(inFlight)
	}
	w.at = now
	w.include(w.samples[w.next], -1)
	w.samples[w.next] = workSample{server: answer.Server, took: took, usual: answer.Usual}
	w.include(w.samples[w.next], 1)
	w.next = (w.next + 1) % workSamples
	w.count = min(w.count+1, workSamples)
}

// changedFrom is the factor by which a server's usual work time must differ from that of an earlier
// answer for the server's speed to have changed. A smaller difference may be noise of the measurement.
const changedFrom = 1.5

// follow sets earlier answers of a server against its usual work time as it is now, if that has
// changed and is nearer to the time that the answer took. The usual work time follows a change of
// the server's speed late, so that the answers in between were set against the former one.
func (w *work) follow(server string, usual time.Duration) {
	for i := range w.samples {
		one := &w.samples[i]
		if one.server != server || one.usual <= 0 || usual <= 0 {
			continue
		}
		change := float64(usual) / float64(one.usual)
		if change < changedFrom && change > 1/changedFrom {
			continue
		}
		// Half of the change on a logarithmic scale.
		middle := math.Sqrt(float64(one.usual) * float64(usual))
		if (change > 1) != (float64(one.took) > middle) {
			continue
		}
		w.include(*one, -1)
		one.usual = usual
		w.include(*one, 1)
	}
}

// include adds a sample to the sums, or removes it with sign -1.
func (w *work) include(one workSample, sign int) {
	took, usual := time.Duration(sign)*one.took, time.Duration(sign)*one.usual
	w.sum += took
	if one.usual > 0 {
		w.known, w.usual, w.usualCount = w.known+took, w.usual+usual, w.usualCount+sign
	}
}

// atServer returns the mean work time at a server with that usual work time. The usual one leaves out the
// calls that work long, and the servers' capacity follows from the mean, so that it is multiplied by
// the ratio of both that this instance measured. known is false without enough measurements.
func (w *work) atServer(usual time.Duration) (mean time.Duration, known bool) {
	if usual <= 0 || w.usualCount < priorSamples || w.usual <= 0 {
		return 0, false
	}
	return max(time.Duration(float64(usual)*float64(w.known)/float64(w.usual)), time.Microsecond), true
}

// mean returns the estimate. target is the time in which callers need the answer.
func (w *work) mean(target time.Duration) time.Duration {
	missing := max(priorSamples-w.count, 0)
	prior := time.Duration(priorFraction * float64(target))
	return max((w.sum+time.Duration(missing)*prior)/time.Duration(w.count+missing), time.Microsecond)
}
