package backpressure

import "time"

// backoff is the time for which a server has asked this instance to send it nothing. It does
// not apply to other instances: a server may reject the requests of one zone only.
type backoff struct {
	until time.Time
	// recovering is set until the server has accepted a request after the backoff. lastTrial
	// is when it was last sent one while recovering.
	recovering bool
	lastTrial  time.Time
}

const (
	// jitterFraction is the largest fraction of a backoff that an instance adds to it at
	// random, and maxJitter bounds the addition. Without it all rejected instances would send
	// again at the same time.
	jitterFraction = 0.1
	maxJitter      = 300 * time.Millisecond
	// trialTimeout is how long an instance waits for the answer to the one request after a
	// backoff before it sends another. It is longer than the usual answer time of a busy server
	// (source: the reference workload, 0.45 s).
	trialTimeout = time.Second
)

// extend makes the backoff last until the latest moment requested, and reports whether it
// starts now.
func (b *backoff) extend(requested time.Duration, random float64, now time.Time) (started bool) {
	started = !now.Before(b.until)
	jitter := min(time.Duration(jitterFraction*random*float64(requested)), maxJitter)
	if until := now.Add(requested + jitter); until.After(b.until) {
		b.until = until
	}
	b.recovering = true
	return started
}

// blocks reports whether calls are withheld. After the backoff the server gets one request, and
// the other requests once it has accepted this one.
func (b *backoff) blocks(now time.Time) bool {
	return now.Before(b.until) || (b.recovering && now.Sub(b.lastTrial) < trialTimeout)
}

// recordSend notes that a call is sent.
func (b *backoff) recordSend(now time.Time) {
	if b.recovering {
		b.lastTrial = now
	}
}

// delay returns how long it takes until a call may be sent.
func (b *backoff) delay(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }
