package forward

import (
	"context"
	"io"
	"testing"
	"time"
)

// pausing is a stream that pauses once before an event.
type pausing struct {
	events
	before int
	pause  time.Duration
}

func (p *pausing) Read(b []byte) (int, error) {
	if p.rest == "" && p.next == p.before {
		p.before = 0
		select {
		case <-time.After(p.pause):
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		}
	}
	return p.events.Read(b)
}

func TestStreamOfAnEngineThatIsSilentForASecondRunsOnce(t *testing.T) {
	for name, before := range map[string]int{"before the first event": 1, "between events": 4} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.engines.stream = func(ctx context.Context, _, _ string) io.ReadCloser {
					return &pausing{events: events{ctx: ctx, next: 1, last: 9, end: io.EOF}, before: before, pause: 1200 * time.Millisecond}
				}
				r := b.generation("a", testPromptTokens)
				r.Path, r.Target = "/resume/x", "/resume/x"
				if _, _, err := b.read(r); err != nil || b.callCount("decode") != 1 {
					b.t.Fatalf("%d runs, error %v", b.callCount("decode"), err)
				}
				b.checkNothingHeld()
			})
		})
	}
}
