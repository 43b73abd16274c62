package forward

import (
	"context"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/table"
)

func TestARequestWithoutRoomIsRefusedWithinAPartOfItsTarget(t *testing.T) {
	play(t, func(b *bench) {
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).Hold(testMemory - testPrompt)
		}
		r := b.generation("a", testPrompt)
		reply := b.serve(r)
		latest := r.Arrived.Add(testTarget / 4)
		if reply.Status != 503 || reply.Reason != reason.NoDecodeMemory || reply.RetryAfter == 0 || len(b.engines.calls) != 0 {
			t.Errorf("status %d, %s after %v", reply.Status, reply.Reason, b.engines.calls)
		}
		if time.Now().After(latest) {
			t.Errorf("refused after %v", time.Since(r.Arrived))
		}
	})
}

func TestMemoryThatBecomesFreeIsTaken(t *testing.T) {
	play(t, func(b *bench) {
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).Hold(testMemory)
		}
		time.AfterFunc(testTarget/8, func() { b.Fleet.Server("d2").Hold(-testMemory) })
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 200 || !slices.Contains(b.engines.calls, "decode d2") {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestMemoryStaysFreeForRequestsThatOutgrowWhatWasExpected(t *testing.T) {
	play(t, func(b *bench) {
		need := testPrompt + int(float64(testMost/2)*b.config.HintMargin)
		b.sizesOf("llm").Asked(need, testMost/2)
		left := need + int(b.sizesOf("llm").Spare(testMemory)*testMemory)
		b.Fleet.Server("d1").Hold(testMemory - left + 100)
		b.Fleet.Server("d2").Hold(testMemory)
		if reply := b.serve(b.generation("a", testPrompt)); reply.Status != 503 {
			t.Errorf("with too little left: status %d", reply.Status)
		}
		b.Fleet.Server("d1").Hold(-200)
		if reply := b.serve(b.generation("b", testPrompt)); reply.Status != 200 {
			t.Errorf("with enough left: status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestARefusalByTheEngineLeadsToAnother(t *testing.T) {
	play(t, func(b *bench) {
		refused := ""
		b.engines.reserve = func(server string) error {
			if refused == "" {
				refused = server
				return &NotRun{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
			}
			return nil
		}
		reply := b.serve(b.generation("a", testPrompt))
		if reply.Status != 200 || b.did("reserve") != 2 || strings.HasSuffix(b.engines.calls[len(b.engines.calls)-1], refused) {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.nothingHeld()
	})
}

func TestLengthsOfOneServiceSayNothingOfAnother(t *testing.T) {
	play(t, func(b *bench) {
		for range 100 {
			b.lengthsOf("short").Guessed(100)
		}
		if got := b.lengthsOf("long").Guessed(9000); got != 9000 {
			t.Errorf("9000 became %d", got)
		}
	})
}

func TestAResultStaysInItsZoneWhereRoomIsEqual(t *testing.T) {
	play(t, func(b *bench) {
		servers := b.View.Servers()
		for _, backend := range []*table.BackendView{servers.Prefill["llm"][0], servers.Prefill["llm"][1], servers.Decode["llm"][0]} {
			backend.Zone = "far"
		}
		for i := range 40 {
			b.serve(b.generation(strconv.Itoa(i), testPrompt))
		}
		// Two of two are drawn three times in four.
		if stayed := b.did("decode d1"); stayed < 24 {
			t.Errorf("%d of 40 results stayed in their zone", stayed)
		}
	})
}

// What an engine's failure or the rest of a stream says of lengths is nothing.
func TestOnlyWholeStreamsTellOfLengths(t *testing.T) {
	play(t, func(b *bench) {
		b.breaks(0, 0, nil)
		spare := func() float64 { return b.sizesOf("llm").Spare(testMemory) }
		b.serve(b.generation("a", testPrompt))
		before := spare()
		b.engines.statusOf = func(string) int { return 500 }
		b.engines.stream = func(context.Context, string, string) io.ReadCloser { return io.NopCloser(strings.NewReader("failed")) }
		for range 30 {
			b.serve(b.generation("a", testPrompt))
		}
		b.engines.statusOf = nil
		b.breaks(0, 0, nil)
		for range 30 {
			r := b.generation("a", testPrompt)
			r.LastEvent = "4"
			b.serve(r)
		}
		if after := spare(); math.Abs(after-before) > 0.002 {
			t.Errorf("%.3f stayed free, now %.3f", before, after)
		}
	})
}
