package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// stuck is an output whose reader has stopped, until it is let go.
type stuck struct {
	gate sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	return s.text.Write(p)
}

// TestLoggingNeverBlocks: with a reader that has stopped, lines are dropped and
// counted, and their writer goes on.
func TestLoggingNeverBlocks(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := new(stuck)
	out.gate.Lock()
	bounded := NewBounded(out, 10)
	const lines = 1000
	for range lines {
		if _, err := bounded.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	// At most the queue and the line that waits to be written were kept.
	if dropped := bounded.Dropped(); dropped < lines-11 {
		t.Fatalf("%d of %d lines were dropped", dropped, lines)
	}
	out.gate.Unlock()
	bounded.Close()
	if got := strings.Count(out.text.String(), "a line"); int64(got)+bounded.Dropped() != lines {
		t.Fatalf("%d lines written and %d dropped, of %d", got, bounded.Dropped(), lines)
	}
	if !strings.Contains(out.text.String(), `"msg":"Log lines were dropped"`) {
		t.Fatal("the log does not say that lines were dropped")
	}
}

func TestFlushWaitsForTheLines(t *testing.T) {
	out := new(stuck)
	out.gate.Lock()
	bounded := NewBounded(out, 10)
	defer bounded.Close()
	if _, err := bounded.Write([]byte("last words\n")); err != nil {
		t.Fatal(err)
	}
	// With a reader that has stopped it gives up.
	bounded.Flush(time.Millisecond)
	out.gate.Unlock()
	bounded.Flush(time.Minute)
	out.gate.Lock()
	defer out.gate.Unlock()
	if out.text.String() != "last words\n" {
		t.Fatalf("%q is out", out.text.String())
	}
}

func TestALimitFillsWithTime(t *testing.T) {
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
		t.Fatalf("%d at once", got)
	}
	now = now.Add(300 * time.Millisecond)
	if got := allowed(); got != 3 {
		t.Fatalf("%d after 0.3 s", got)
	}
	now = now.Add(time.Hour)
	if got := allowed(); got != 5 {
		t.Fatalf("%d after long", got)
	}
}
