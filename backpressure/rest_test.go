package backpressure

import (
	"testing"
	"time"
)

// turnedAway is an answer that asks to be left alone for a while.
func turnedAway(backoff time.Duration) Statement {
	return Statement{Kind: Plain, Refused: true, Backoff: backoff}
}

func TestAServerThatAsksForRestGetsOneRequestFirst(t *testing.T) {
	server, start := alone().Server("s"), time.Now()
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	server.Heard(turnedAway(3*time.Second), at(0), at(10))
	server.Heard(turnedAway(time.Second), at(0), at(20))
	for millis := 20; millis < 3010; millis += 10 {
		if server.Send(PlainWork, at(millis)) != Resting {
			t.Fatalf("sent %d ms after it asked for 3 s", millis)
		}
	}
	if server.Send(PlainWork, at(3400)) != Clear {
		t.Fatal("held back after its rest")
	}
	if server.Send(PlainWork, at(3410)) != Resting || !server.WantsNothing(at(3410)) {
		t.Error("a second request before it has taken the first")
	}
	if server.Send(PlainWork, at(4500)) != Clear {
		t.Error("an answer that never comes is waited for")
	}
	server.Heard(silent, at(3400), at(4510))
	for range 20 {
		if server.Send(PlainWork, at(4520)) != Clear {
			t.Fatal("held back after it took one")
		}
	}
}

// A refusal without a word on rest does not end one, nor does an answer that comes late.
func TestRestLastsAsLongAsItWasAskedFor(t *testing.T) {
	server, now := alone().Server("s"), time.Now()
	server.Heard(turnedAway(2*time.Second), now, now)
	server.Heard(silent, now, now.Add(time.Second))
	server.Heard(Statement{Kind: Plain, Refused: true}, now, now.Add(time.Second))
	if server.Look(PlainWork, now.Add(1900*time.Millisecond)) != Resting {
		t.Error("its rest has ended early")
	}
	if server.Look(TakeBackWork, now.Add(time.Second)) != Clear {
		t.Error("a stream that was stopped there is lost")
	}
	if server.Look(ReleaseWork, now.Add(time.Second)) != Resting {
		t.Error("it was sent what would lapse by itself")
	}
	if opens := server.RoomIn(PlainWork, now.Add(time.Second)); opens < time.Second || opens > 1300*time.Millisecond {
		t.Errorf("opens in %v", opens)
	}
}

func TestAServerThatLeavesGetsOnlyWhatIsOwed(t *testing.T) {
	server, now := alone().Server("s"), time.Now()
	server.Heard(Statement{Kind: Plain, Leaving: true}, now, now)
	server.Heard(silent, now, now.Add(time.Second))
	for _, work := range []Work{PlainWork, PrefillWork, ReserveWork, DecodeWork, TakeOverWork} {
		if server.Send(work, now.Add(time.Hour)) != Leaving {
			t.Errorf("%+v is sent", work)
		}
	}
	for _, work := range []Work{MoveWork, TakeBackWork, ReleaseWork, FreeWork} {
		if server.Send(work, now.Add(time.Hour)) != Clear {
			t.Errorf("%+v is not sent", work)
		}
	}
}
