package backpressure

import (
	"testing"
	"time"
)

// rejectedWithBackoff is the report of an answer that rejects a call and asks for a backoff.
func rejectedWithBackoff(backoff time.Duration) StatusReport {
	return StatusReport{Kind: Plain, Rejected: true, Backoff: backoff}
}

func TestServerGetsOneRequestAfterBackoff(t *testing.T) {
	server, start := singleInstance().Server("s"), time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	server.Observe(rejectedWithBackoff(3*time.Second), at(0), at(10))
	server.Observe(rejectedWithBackoff(time.Second), at(0), at(20))
	for millis := 20; millis < 3010; millis += 10 {
		if server.Send(PlainWork, at(millis)) != BackingOff {
			t.Fatalf("request was sent %d ms after a backoff of 3 s", millis)
		}
	}
	if server.Send(PlainWork, at(3400)) != Clear {
		t.Fatal("request was withheld after the backoff")
	}
	if server.Send(PlainWork, at(3410)) != BackingOff || !server.BlockedByBackoff(at(3410)) {
		t.Error("a second request was sent before the first was accepted")
	}
	if server.Send(PlainWork, at(4500)) != Clear {
		t.Error("no second request after the first stayed unanswered")
	}
	server.Observe(noLimit, at(3400), at(4510))
	for range 20 {
		if server.Send(PlainWork, at(4520)) != Clear {
			t.Fatal("request was withheld after the server accepted one")
		}
	}
}

// A rejection without a requested backoff does not end a backoff, nor does an answer that
// arrives late.
func TestBackoffLastsAsLongAsRequested(t *testing.T) {
	server, now := singleInstance().Server("s"), time.Now()
	server.Observe(rejectedWithBackoff(2*time.Second), now, now)
	server.Observe(noLimit, now, now.Add(time.Second))
	server.Observe(StatusReport{Kind: Plain, Rejected: true}, now, now.Add(time.Second))
	if server.Check(PlainWork, now.Add(1900*time.Millisecond)) != BackingOff {
		t.Error("backoff ended early")
	}
	if server.Check(ResumeStoppedWork, now.Add(time.Second)) != Clear {
		t.Error("a stream that was stopped at the server is lost")
	}
	if server.Check(ReleaseWork, now.Add(time.Second)) != BackingOff {
		t.Error("release of a reservation that expires by itself was sent")
	}
	if delay := server.Delay(PlainWork, now.Add(time.Second)); delay < time.Second || delay > 1300*time.Millisecond {
		t.Errorf("delay = %v", delay)
	}
}

func TestDrainingServerGetsOnlyFollowUpRequests(t *testing.T) {
	server, now := singleInstance().Server("s"), time.Now()
	server.Observe(StatusReport{Kind: Plain, Leaving: true}, now, now)
	server.Observe(noLimit, now, now.Add(time.Second))
	for _, work := range []Work{PlainWork, PrefillWork, ReserveWork, DecodeWork, ResumeMovedWork} {
		if server.Send(work, now.Add(time.Hour)) != Leaving {
			t.Errorf("%+v was sent", work)
		}
	}
	for _, work := range []Work{MoveWork, ResumeStoppedWork, ReleaseWork, FreeWork} {
		if server.Send(work, now.Add(time.Hour)) != Clear {
			t.Errorf("%+v was not sent", work)
		}
	}
}
