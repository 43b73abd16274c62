package sibling

import (
	"encoding/base64"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/edge"
	"github.com/mastwheel/mastwheel/forward"
	"github.com/mastwheel/mastwheel/membudget"
	"github.com/mastwheel/mastwheel/upstream"
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

// Guards against a reply to a request that is handed over whose head is none, and that counts as a reply, or as a request that did not run.
func TestBrokenRepliesMayHaveRun(t *testing.T) {
	head, err := cbor.Marshal(replyHead{Status: 200})
	if err != nil {
		t.Fatal(err)
	}
	for name, broken := range upstreamtest.BrokenHeads() {
		text := broken + headField + ": " + base64.StdEncoding.EncodeToString(head) + "\r\nContent-Length: 0\r\n\r\n"
		to := forward.Sibling{Name: "b", Address: upstreamtest.Serve(t, text, upstreamtest.Close)}
		_, _, err := receive(t.Context(), NewHandOver("a", membudget.New(1<<20)), to)
		var notRun *forward.NotRunError
		if !errors.Is(err, upstream.ErrBroken) || errors.As(err, &notRun) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
