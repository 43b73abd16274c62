package forward

import (
	"context"
	"io"
	"strings"
	"testing"
)

// insideEvent is a stream that ends without an error inside its third event.
const insideEvent = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\nda"

// endInsideEvent makes the first run of each request end inside an event, and later runs complete.
func (b *bench) endInsideEvent() {
	runs := 0
	b.engines.stream = func(context.Context, string, string) io.ReadCloser {
		runs++
		if runs > 1 {
			return io.NopCloser(strings.NewReader("id: 3\ndata: 3\n\n"))
		}
		return io.NopCloser(strings.NewReader(insideEvent))
	}
}

func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	for name, endsWithConnection := range map[string]bool{"by its connection": true, "by its chunks": false} {
		t.Run(name, func(t *testing.T) {
			withBench(t, func(b *bench) {
				b.engines.endsWithConnection = endsWithConnection
				b.endInsideEvent()
				_, body, err := b.read(b.generation("a", testPromptTokens))
				if err == nil {
					b.t.Fatalf("the caller got %q as complete", body)
				}
				b.checkNothingHeld()
			})
		})
	}
}

func TestResumableStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	withBench(t, func(b *bench) {
		b.engines.endsWithConnection = true
		b.endInsideEvent()
		r := b.generation("a", testPromptTokens)
		r.Path, r.Target = "/resume/x", "/resume/x"
		_, body, err := b.read(r)
		if want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"; err != nil || body != want {
			b.t.Fatalf("the caller got %q, %v", body, err)
		}
		b.checkNothingHeld()
	})
}
