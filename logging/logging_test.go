package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// blockedOutput is an output whose writes block while gate is locked.
type blockedOutput struct {
	gate sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *blockedOutput) Write(p []byte) (int, error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	return s.text.Write(p)
}

// While the reader of the output has stopped, lines are dropped and counted, and
// Write doesn't block.
func TestWriteNeverBlocks(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := new(blockedOutput)
	out.gate.Lock()
	bounded := NewBounded(out, 10)
	const lines = 1000
	for range lines {
		if _, err := bounded.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	// At most the queued lines and the line that is being written were kept.
	if dropped := bounded.Dropped(); dropped < lines-11 {
		t.Fatalf("%d of %d lines were dropped", dropped, lines)
	}
	out.gate.Unlock()
	bounded.Close()
	if got := strings.Count(out.text.String(), "a line"); int64(got)+bounded.Dropped() != lines {
		t.Fatalf("%d lines written and %d dropped, of %d", got, bounded.Dropped(), lines)
	}
	if !strings.Contains(out.text.String(), `"msg":"Log lines were dropped"`) {
		t.Fatal("the log does not report that lines were dropped")
	}
}

func TestFlushWaitsForQueuedLines(t *testing.T) {
	out := new(blockedOutput)
	out.gate.Lock()
	bounded := NewBounded(out, 10)
	defer bounded.Close()
	if _, err := bounded.Write([]byte("last words\n")); err != nil {
		t.Fatal(err)
	}
	// While the reader has stopped, Flush returns after its timeout.
	bounded.Flush(time.Millisecond)
	out.gate.Unlock()
	bounded.Flush(time.Minute)
	out.gate.Lock()
	defer out.gate.Unlock()
	if out.text.String() != "last words\n" {
		t.Fatalf("%q was written", out.text.String())
	}
}

func TestLimitRefillsWithTime(t *testing.T) {
	now := time.Unix(0, 0)
	limit := NewLimit(10, 5, now)
	allowed := func() (n int) {
		for range 100 {
			if limit.Allow(now) {
				n++
			}
		}
		return n
	}
	if got := allowed(); got != 5 {
		t.Fatalf("%d entries allowed at once, want 5", got)
	}
	now = now.Add(300 * time.Millisecond)
	if got := allowed(); got != 3 {
		t.Fatalf("%d entries allowed after 0.3 s, want 3", got)
	}
	now = now.Add(time.Hour)
	if got := allowed(); got != 5 {
		t.Fatalf("%d entries allowed after an hour, want 5", got)
	}
}
