package forward

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

func TestDecodeEnginePrefillsOnlyIfOtherStreamsStayOnTime(t *testing.T) {
	withBench(t, func(b *bench) {
		// Both prefill engines have two seconds of prompts queued.
		for _, id := range []string{"p1", "p2"} {
			defer b.Fleet.Server(id).AddUnread(2 * testPrefillRate)()
		}
		// At half of testPrefillRate, 5,000 tokens take 200 ms and 7,000 take
		// 280 ms. With the usual pause between events the latter is over the target.
		if reply := b.serve(b.generation("short", 5000)); reply.Status != 200 || b.callCount("prefill") != 0 || b.callCount("decode") != 1 {
			t.Errorf("short: status %d after %v", reply.Status, b.engines.calls)
		}
		b.engines.calls = nil
		reply := b.serve(b.generation("long", 7000))
		if reply.Status != 503 || reply.Reason != reason.DeadlineTooClose || reply.RetryAfter == 0 || len(b.engines.calls) != 0 {
			t.Errorf("long: status %d, reason %s after %v", reply.Status, reply.Reason, b.engines.calls)
		}
	})
}

// Guards against a target that no engine can meet, as one of under a millisecond, for which all requests were refused for ever.
func TestRequestThatIsLateAtAnyTimeIsRead(t *testing.T) {
	withBench(t, func(b *bench) {
		for _, id := range []string{"p1", "p2"} {
			defer b.Fleet.Server(id).AddUnread(2 * testPrefillRate)()
		}
		for _, route := range b.View.Table().Routes["h"] {
			route.TTFT = time.Millisecond
		}
		if reply := b.serve(b.generation("long", 7000)); reply.Status != 200 || b.callCount("prefill") != 1 {
			t.Errorf("status %d, reason %s after %v", reply.Status, reply.Reason, b.engines.calls)
		}
	})
}

func TestDecodeEnginesPrefillAnyPromptWithoutPrefillEngines(t *testing.T) {
	withBench(t, func(b *bench) {
		b.View.Servers().Prefill["llm"] = nil
		if reply := b.serve(b.generation("long", 9000)); reply.Status != 200 || b.callCount("decode") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestObservedPausesDecideWhetherDecodeEnginePrefills(t *testing.T) {
	withBench(t, func(b *bench) {
		for _, id := range []string{"p1", "p2"} {
			defer b.Fleet.Server(id).AddUnread(2 * testPrefillRate)()
		}
		seen := func(pause time.Duration) {
			for range 100 {
				b.pausesOf("llm").reading.Observe(pause)
			}
		}
		// An engine that prefills a prompt in chunks delays its streams only by a
		// chunk at a time.
		seen(190 * time.Millisecond)
		if reply := b.serve(b.generation("long", 7000)); reply.Status != 200 || b.callCount("prefill") != 0 || b.callCount("decode") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		seen(400 * time.Millisecond)
		if reply := b.serve(b.generation("longer", 7000)); reply.Status != 503 {
			t.Errorf("status %d with pauses over the target", reply.Status)
		}
	})
}

func TestUnreachableEngineIsAvoided(t *testing.T) {
	withBench(t, func(b *bench) {
		budget := b.Budget("llm").Left(time.Now())
		gone := ""
		b.engines.prefill = func(server string) error {
			if gone == "" {
				gone = server
			}
			if server == gone {
				return &NotRunError{Why: reason.ConnectFailed, Detail: "connection refused"}
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 || b.callCount("prefill") != 2 {
			t.Fatalf("status %d after %v", reply.Status, b.engines.calls)
		}
		if left := b.Budget("llm").Left(time.Now()); left < budget {
			t.Errorf("%.1f retries left of %.1f, but the first engine was not reached", left, budget)
		}
		b.engines.calls = nil
		for range 5 {
			b.serve(b.generation("b", testPromptTokens))
		}
		if b.callCount("prefill "+gone) > 1 {
			t.Errorf("called again and again: %v", b.engines.calls)
		}
		time.Sleep(2 * time.Second)
		if query := (&route.Query{Now: time.Now()}); !(route.RefusingFilter{}).Keep(query, route.Candidate{Server: b.Fleet.Server(gone)}) {
			t.Error("still avoided after two seconds")
		}
	})
}
