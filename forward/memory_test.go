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

func TestRequestWithoutMemoryIsRefusedWithinQuarterOfItsTarget(t *testing.T) {
	withBench(t, func(b *bench) {
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).AddMemory(testMemoryTokens - testPromptTokens)
		}
		r := b.generation("a", testPromptTokens)
		reply := b.serve(r)
		latest := r.Arrived.Add(testTTFT / 4)
		if reply.Status != 503 || reply.Reason != reason.NoDecodeMemory || reply.RetryAfter == 0 || len(b.engines.calls) != 0 {
			t.Errorf("status %d, reason %s after %v", reply.Status, reply.Reason, b.engines.calls)
		}
		if time.Now().After(latest) {
			t.Errorf("refused after %v", time.Since(r.Arrived))
		}
	})
}

func TestFreedMemoryIsReserved(t *testing.T) {
	withBench(t, func(b *bench) {
		for _, id := range []string{"d1", "d2"} {
			b.Fleet.Server(id).AddMemory(testMemoryTokens)
		}
		time.AfterFunc(testTTFT/8, func() { b.Fleet.Server("d2").AddMemory(-testMemoryTokens) })
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 200 || !slices.Contains(b.engines.calls, "decode d2") {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestMemoryIsKeptFreeForRequestsThatOutgrowTheirEstimate(t *testing.T) {
	withBench(t, func(b *bench) {
		need := testPromptTokens + int(float64(testMaxTokens/2)*b.config.LengthEstimateMargin)
		b.sizesOf("llm").RecordStart(need, testMaxTokens/2)
		left := need + int(b.sizesOf("llm").Spare(testMemoryTokens)*testMemoryTokens)
		b.Fleet.Server("d1").AddMemory(testMemoryTokens - left + 100)
		b.Fleet.Server("d2").AddMemory(testMemoryTokens)
		if reply := b.serve(b.generation("a", testPromptTokens)); reply.Status != 503 {
			t.Errorf("with too little free memory: status %d", reply.Status)
		}
		b.Fleet.Server("d1").AddMemory(-200)
		if reply := b.serve(b.generation("b", testPromptTokens)); reply.Status != 200 {
			t.Errorf("with enough free memory: status %d after %v", reply.Status, b.engines.calls)
		}
	})
}

func TestReservationRefusedByEngineIsTriedAtAnother(t *testing.T) {
	withBench(t, func(b *bench) {
		refused := ""
		b.engines.reserve = func(server string) error {
			if refused == "" {
				refused = server
				return &NotRunError{Why: reason.BackendRefused, Sent: true, Detail: "status 503"}
			}
			return nil
		}
		reply := b.serve(b.generation("a", testPromptTokens))
		if reply.Status != 200 || b.callCount("reserve") != 2 || strings.HasSuffix(b.engines.calls[len(b.engines.calls)-1], refused) {
			t.Errorf("status %d after %v", reply.Status, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

func TestLengthEstimatesAreKeptPerService(t *testing.T) {
	withBench(t, func(b *bench) {
		for range 100 {
			b.lengthsOf("short").ExpectedTokens(100)
		}
		if got := b.lengthsOf("long").ExpectedTokens(9000); got != 9000 {
			t.Errorf("estimate for a hint of 9000 is %d", got)
		}
	})
}

func TestPrefillResultStaysInItsZoneIfMemoryIsEqual(t *testing.T) {
	withBench(t, func(b *bench) {
		servers := b.View.Servers()
		for _, backend := range []*table.BackendView{servers.Prefill["llm"][0], servers.Prefill["llm"][1], servers.Decode["llm"][0]} {
			backend.Zone = "far"
		}
		for i := range 40 {
			b.serve(b.generation(strconv.Itoa(i), testPromptTokens))
		}
		// Two random draws from two engines include d1 in three of four cases.
		if stayed := b.callCount("decode d1"); stayed < 24 {
			t.Errorf("only %d of 40 results stayed in their zone", stayed)
		}
	})
}

// The length of a failed answer or of the remainder of a resumed stream must not change
// the estimates.
func TestOnlyCompleteStreamsUpdateLengthEstimates(t *testing.T) {
	withBench(t, func(b *bench) {
		b.breakRuns(0, 0, nil)
		spare := func() float64 { return b.sizesOf("llm").Spare(testMemoryTokens) }
		b.serve(b.generation("a", testPromptTokens))
		before := spare()
		b.engines.statusOf = func(string) int { return 500 }
		b.engines.stream = func(context.Context, string, string) io.ReadCloser { return io.NopCloser(strings.NewReader("failed")) }
		for range 30 {
			b.serve(b.generation("a", testPromptTokens))
		}
		b.engines.statusOf = nil
		b.breakRuns(0, 0, nil)
		for range 30 {
			r := b.generation("a", testPromptTokens)
			r.LastEvent = "4"
			b.serve(r)
		}
		if after := spare(); math.Abs(after-before) > 0.002 {
			t.Errorf("fraction of memory kept free changed from %.3f to %.3f", before, after)
		}
	})
}
