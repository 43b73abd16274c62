package forward

import (
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
)

func TestPromptsAreReadAtDecodeEnginesOnlyIfOthersStayOnTime(t *testing.T) {
	play(t, func(b *bench) {
		// Both prefill engines have two seconds of prompts ahead.
		for _, id := range []string{"p1", "p2"} {
			defer b.Fleet.Server(id).Unread(2 * testReadRate)()
		}
		// At half of testReadRate, 5,000 tokens take 200 ms and 7,000 280 ms;
		// with the usual pause between events the latter is over the target.
		if reply := b.serve(b.generation("short", 5000)); reply.Status != 200 || b.did("prefill") != 0 || b.did("decode") != 1 {
			t.Errorf("short: status %d after %v", reply.Status, b.engines.calls)
		}
		b.engines.calls = nil
		reply := b.serve(b.generation("long", 7000))
		if reply.Status != 503 || reply.Reason != reason.DeadlineTooClose || reply.RetryAfter == 0 || len(b.engines.calls) != 0 {
			t.Errorf("long: status %d, %s after %v", reply.Status, reply.Reason, b.engines.calls)
		}
	})
}

func TestWithoutPrefillEnginesAnyPromptIsRead(t *testing.T) {
	play(t, func(b *bench) {
		b.View.Servers().Prefill["llm"] = nil
		if reply := b.serve(b.generation("long", 9000)); reply.Status != 200 || b.did("decode") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestPausesThatWereSeenDecideWhetherADecodeEngineReads(t *testing.T) {
	play(t, func(b *bench) {
		for _, id := range []string{"p1", "p2"} {
			defer b.Fleet.Server(id).Unread(2 * testReadRate)()
		}
		seen := func(pause time.Duration) {
			for range 100 {
				b.pausesOf("llm").reading.Observe(pause)
			}
		}
		// Engines that read a prompt in parts hold up their streams only for a
		// part of it.
		seen(190 * time.Millisecond)
		if reply := b.serve(b.generation("long", 7000)); reply.Status != 200 || b.did("prefill") != 0 || b.did("decode") != 1 {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		seen(400 * time.Millisecond)
		if reply := b.serve(b.generation("longer", 7000)); reply.Status != 503 {
			t.Errorf("status %d where pauses are late", reply.Status)
		}
	})
}

func TestAnEngineThatIsNotReachedIsLeftAlone(t *testing.T) {
	play(t, func(b *bench) {
		budget := b.Budget("llm").Left(time.Now())
		gone := ""
		b.engines.prefill = func(server string) error {
			if gone == "" {
				gone = server
			}
			if server == gone {
				return &NotRun{Why: reason.ConnectFailed, Detail: "connection refused"}
			}
			return nil
		}
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 || b.did("prefill") != 2 {
			t.Fatalf("status %d after %v", reply.Status, b.engines.calls)
		}
		if left := b.Budget("llm").Left(time.Now()); left < budget {
			t.Errorf("%.1f retries left of %.1f: nothing was sent twice", left, budget)
		}
		b.engines.calls = nil
		for range 5 {
			b.serve(b.generation("b", testPrompt))
		}
		if b.did("prefill "+gone) > 1 {
			t.Errorf("asked again and again: %v", b.engines.calls)
		}
		time.Sleep(2 * time.Second)
		if query := (&route.Query{Now: time.Now()}); !(route.RefusingFilter{}).Keep(query, route.Candidate{Server: b.Fleet.Server(gone)}) {
			t.Error("still left alone after two seconds")
		}
	})
}
