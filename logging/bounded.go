package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// Bounded is a writer that writes log lines in the background. It never blocks
// its callers. When the reader of the output does not keep up, it drops lines and
// counts them.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	// queued and written count the lines that were queued and written. They are
	// equal when no line waits.
	queued  atomic.Int64
	written atomic.Int64
}

// NewBounded returns a writer that queues at most the given number of lines.
func NewBounded(out io.Writer, lines int) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. p is one line. It never fails.
func (b *Bounded) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	b.queued.Add(1)
	select {
	case b.lines <- line:
	default:
		b.queued.Add(-1)
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// flushInterval is the interval at which Flush checks whether all lines are written.
const flushInterval = 2 * time.Millisecond

// Flush waits until all queued lines are written, at most for timeout.
func (b *Bounded) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for b.written.Load() < b.queued.Load() && time.Now().Before(deadline) {
		time.Sleep(flushInterval)
	}
}

// Close writes the queued lines and stops. Write must not be called afterwards.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	reported := int64(0)
	for line := range b.lines {
		// A failure of the output is ignored, because it could only be logged to
		// the same output.
		_, _ = b.out.Write(line)
		b.written.Add(1)
		if dropped := b.dropped.Load(); dropped > reported {
			reported = dropped
			_, _ = io.WriteString(b.out, `{"level":"WARN","msg":"Log lines were dropped","dropped":`+strconv.FormatInt(reported, 10)+"}\n")
		}
	}
}
