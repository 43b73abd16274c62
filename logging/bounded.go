package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// Bounded writes lines in the background. It never blocks its callers: when
// the reader of the output does not keep up, lines are dropped and counted.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	// taken and written count lines, to tell when all are out.
	taken   atomic.Int64
	written atomic.Int64
}

// NewBounded returns a writer that keeps at most that many lines waiting.
func NewBounded(out io.Writer, lines int) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; p is one line. It never fails.
func (b *Bounded) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	b.taken.Add(1)
	select {
	case b.lines <- line:
	default:
		b.taken.Add(-1)
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped counts the lines that were dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// flushPoll is the pause between two looks at whether all lines are out.
const flushPoll = 2 * time.Millisecond

// Flush waits until the lines written so far are out, at most that long.
func (b *Bounded) Flush(atMost time.Duration) {
	until := time.Now().Add(atMost)
	for b.written.Load() < b.taken.Load() && time.Now().Before(until) {
		time.Sleep(flushPoll)
	}
}

// Close writes what waits, and stops. Nobody may write afterwards.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	told := int64(0)
	for line := range b.lines {
		// Nothing can be done about an output that fails: it is where a line
		// about it would go.
		_, _ = b.out.Write(line)
		b.written.Add(1)
		if dropped := b.dropped.Load(); dropped > told {
			told = dropped
			_, _ = io.WriteString(b.out, `{"level":"WARN","msg":"Log lines were dropped","dropped":`+strconv.FormatInt(told, 10)+"}\n")
		}
	}
}
