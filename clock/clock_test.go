package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSuspensionIsIncluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := Now()
		time.Sleep(time.Second)
		if since := Since(began); since != time.Second {
			t.Errorf("after a second: %v", since)
		}
		due := began.Add(4 * time.Second)
		Suspend(5 * time.Second)
		if since, until := Since(began), Until(due); since != 6*time.Second || until != -2*time.Second {
			t.Errorf("after a second and a suspension of five: %v, and %v left of four", since, until)
		}
	})
}

func TestDeadlineThatPassedDuringSuspensionEndsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		short, cancelShort := WithDeadline(context.Background(), Now().Add(3*time.Second))
		long, cancelLong := WithDeadline(context.Background(), Now().Add(10*time.Second))
		defer cancelShort()
		defer cancelLong()
		Check()
		if short.Err() != nil {
			t.Error("the context ended before its deadline")
		}
		Suspend(5 * time.Second)
		Check()
		if short.Err() == nil || long.Err() != nil {
			t.Errorf("after five seconds: of 3 s %v, of 10 s %v", short.Err(), long.Err())
		}
		ended, cancel := WithDeadline(context.Background(), Now().Add(-time.Second))
		defer cancel()
		if ended.Err() == nil {
			t.Error("the context of a deadline in the past has not ended")
		}
	})
	if left := len(deadlines.cancel); left > 0 {
		t.Errorf("%d ended contexts are still registered", left)
	}
}

func TestSystemClocksAreRead(t *testing.T) {
	if suspensionOffset() < -minSuspension {
		t.Errorf("the clock that counts suspension is %v behind", suspensionOffset())
	}
	before := Now()
	if after := Now(); after.Before(before) || after.Sub(before) > time.Minute {
		t.Errorf("%v, then %v", before, after)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
