package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/mastwheel/mastwheel/reason"
)

// Guards against callers that get a closed connection and no status because a stream broke off before its first event.
func TestStreamThatBreaksBeforeItsFirstEventEndsWithAStatus(t *testing.T) {
	silent := func(ctx context.Context) io.ReadCloser { return &events{ctx: ctx, next: 1} }
	body := func(text string, end error) func(context.Context) io.ReadCloser {
		return func(context.Context) io.ReadCloser {
			return io.NopCloser(io.MultiReader(strings.NewReader(text), iotest.ErrReader(end)))
		}
	}
	for name, test := range map[string]struct {
		stream func(context.Context) io.ReadCloser
		status int
		by     reason.Ending
	}{
		"reset":              {body("", errCrashed), statusBadGateway, reason.EndedByServer},
		"inside an event":    {body("id: 1\nda", io.EOF), statusBadGateway, reason.EndedByServer},
		"half and reset":     {body("id: 1\nda", errCrashed), statusBadGateway, reason.EndedByServer},
		"until the deadline": {silent, statusTimeout, reason.EndedByDeadline},
	} {
		for _, path := range []string{"/stream/x", "/resume/x"} {
			t.Run(name+path, func(t *testing.T) {
				withBench(t, func(b *bench) {
					b.engines.stream = func(ctx context.Context, _, _ string) io.ReadCloser { return test.stream(ctx) }
					r := b.generation("a", testPromptTokens)
					r.Target, r.Path = path, path
					reply := b.Serve(context.Background(), r)
					b.Wait()
					if reply.Stream != nil || reply.Status != test.status || len(reply.Fields) > 0 {
						t.Fatalf("status %d, fields %v, a stream: %v", reply.Status, reply.Fields, reply.Stream != nil)
					}
					b.checkNothingHeld()
				})
			})
		}
	}
}

// Guards against a failure of the engine that is called first whose status goes with the answer of another engine.
func TestFailureOfARerunBeforeTheFirstEventKeepsItsHead(t *testing.T) {
	withBench(t, func(b *bench) {
		b.breakOnce(0, errCrashed)
		b.engines.statusOf = func(string) int {
			if b.callCount("decode") == 2 {
				return 500
			}
			return 200
		}
		reply, body, err := b.read(b.resumable("a"))
		if reply.Status != 500 || err != nil || body == "" || b.callCount("decode "+reply.Fields[0].Value) != 1 {
			t.Errorf("status %d, fields %v, %d bytes, %v, calls %v", reply.Status, reply.Fields, len(body), err, b.engines.calls)
		}
		b.checkNothingHeld()
	})
}

// Guards against a sibling that breaks off before the first byte of its stream, whose caller gets no status.
func TestStreamOfASiblingThatBreaksBeforeItsFirstByteEndsWithAStatus(t *testing.T) {
	withBench(t, func(b *bench) {
		b.addEngines(40)
		b.engines.reserve = func(string) error { return errConnectionRefused }
		b.Siblings = &fakeSiblings{names: []string{"a"}, serve: func(string) (*Reply, error) {
			return &Reply{Status: 200, Stream: io.NopCloser(iotest.ErrReader(errCrashed))}, nil
		}}
		reply := b.Serve(context.Background(), b.generation("a", testPromptTokens))
		b.Wait()
		if reply.Stream != nil || reply.Status != statusBadGateway {
			t.Errorf("status %d, a stream: %v", reply.Status, reply.Stream != nil)
		}
		b.checkNothingHeld()
	})
}
