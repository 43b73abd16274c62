package forward

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/clock"
)

// suspend has the clock go on as after a suspension, for the time of a test.
func suspend(t *testing.T, lasts time.Duration) {
	clock.Suspend(lasts)
	t.Cleanup(func() { clock.Suspend(-lasts) })
}

// An instance was suspended while a request was under way. Its caller had left, or was
// about to; timers knew nothing of it.
func TestARequestWhoseTimePassedDuringASuspensionIsAnswered(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.readFor = time.Hour
		answered := make(chan *Reply, 1)
		began := time.Now()
		go func() { answered <- b.Serve(context.Background(), b.generation("a", testPrompt)) }()
		time.Sleep(100 * time.Millisecond)
		suspend(t, 20*time.Second)
		clock.Check()
		reply := <-answered
		if took := time.Since(began); took > 200*time.Millisecond || reply.Status != 503 {
			t.Errorf("status %d after %v", reply.Status, took)
		}
		b.Wait()
		b.nothingHeld()
	})
}

// A prompt that was read before a suspension is no longer kept, and the time that its
// caller waits is over: nothing more is sent for it.
func TestNothingIsSentAfterASuspensionForACallerWhoseTimeIsUp(t *testing.T) {
	play(t, func(b *bench) {
		b.engines.prefill = func(string) error {
			suspend(t, 20*time.Second)
			return nil
		}
		reply := b.serve(b.generation("a", testPrompt))
		if b.did("decode") > 0 || reply.Status != 503 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}
