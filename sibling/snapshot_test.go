package sibling

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/mastwheel/mastwheel/edge"
	"github.com/mastwheel/mastwheel/upstream/upstreamtest"
)

// Guards against an answer of a sibling that is none and whose snapshot is used.
func TestBrokenAnswersHaveNoSnapshot(t *testing.T) {
	body, err := cbor.Marshal(edge.Snapshot{})
	if err != nil {
		t.Fatal(err)
	}
	heads := upstreamtest.BrokenHeads()
	heads["cut"] = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body)+1)
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			address := upstreamtest.Serve(t, head+"\r\n"+string(body), upstreamtest.Close)
			if got, err := NewClient().Snapshot(t.Context(), address, edge.Have{}); err == nil {
				t.Errorf("%+v", got)
			}
		})
	}
	address := upstreamtest.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), upstreamtest.Close)
	if _, err := NewClient().Snapshot(t.Context(), address, edge.Have{}); err != nil {
		t.Error(err)
	}
}

// Guards against a snapshot without an end that fills the memory.
func TestSnapshotThatIsTooLongIsNotRead(t *testing.T) {
	address := upstreamtest.Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat(" ", maxSnapshotBytes+1), upstreamtest.Close)
	if _, err := NewClient().Snapshot(t.Context(), address, edge.Have{}); err == nil {
		t.Error("read")
	}
}
