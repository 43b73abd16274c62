package engine

import (
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/upstream/upstreamtest"
)

// Guards against an answer of an engine that is none and is used.
func TestBrokenAnswersAreNotUsed(t *testing.T) {
	for name, head := range upstreamtest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			h := NewHTTP()
			defer h.Close()
			load := upstreamtest.Serve(t, head+"\r\n{}", upstreamtest.Close)
			if got, err := h.Load(t.Context(), load); !errors.Is(err, ErrBroken) {
				t.Errorf("load %+v, %v", got, err)
			}
			stream, err := h.Decode(t.Context(), upstreamtest.Serve(t, head+"\r\ndata: {\"last\":true}\n\n", upstreamtest.Close), DecodeOrder{})
			if err == nil {
				stream.Close()
			}
			if !errors.Is(err, ErrBroken) {
				t.Errorf("decode: %v", err)
			}
		})
	}
}

// Guards against a part of an answer that passes as whole, since its connection was reset while a large order was written.
func TestUnframedAnswerThatIsResetIsBroken(t *testing.T) {
	order := PrefillOrder{Prompt: strings.Repeat("x", 3<<20)}
	for range 30 {
		h := NewHTTP()
		got, err := h.Prefill(t.Context(), upstreamtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n{\"handle\":\"h\"}", upstreamtest.Reset), order)
		h.Close()
		if !errors.Is(err, ErrBroken) {
			t.Fatalf("%+v, %v", got, err)
		}
	}
}

// Guards against an answer without an end that counts as a success once its first part is read.
func TestAnswerThatIsTooLongIsBroken(t *testing.T) {
	address := upstreamtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(" ", maxControlBodyBytes+1), upstreamtest.Close)
	h := NewHTTP()
	defer h.Close()
	if err := h.Cancel(t.Context(), address, Attempt{}); !errors.Is(err, ErrBroken) {
		t.Error(err)
	}
}
