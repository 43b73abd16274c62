package forward

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/clock"
)

// suspend advances the clock as a suspension does, until the test ends.
func suspend(t *testing.T, lasts time.Duration) {
	clock.Suspend(lasts)
	t.Cleanup(func() { clock.Suspend(-lasts) })
}

// An instance was suspended during a request. The request's deadline passed, but timers
// don't count the time of a suspension.
func TestRequestWhoseDeadlinePassesDuringSuspensionIsAnswered(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.prefillTime = time.Hour
		answered := make(chan *Reply, 1)
		began := time.Now()
		go func() { answered <- b.Serve(context.Background(), b.generation("a", testPromptTokens)) }()
		time.Sleep(100 * time.Millisecond)
		suspend(t, 20*time.Second)
		clock.Check()
		reply := <-answered
		if took := time.Since(began); took > 200*time.Millisecond || reply.Status != 503 {
			t.Errorf("status %d after %v", reply.Status, took)
		}
		b.Wait()
		b.checkNothingHeld()
	})
}

// After a suspension the prefill result of a request has expired and its deadline has
// passed, so nothing more is sent for it.
func TestNothingIsSentAfterSuspensionPastDeadline(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.prefill = func(string) error {
			suspend(t, 20*time.Second)
			return nil
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if b.callCount("decode") > 0 || reply.Status != 503 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}
