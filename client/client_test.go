package client

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/mastwheel/mastwheel/caller"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/upstream/upstreamtest"
)

// clientOf returns a client that connects to the instance at an address.
func clientOf(t *testing.T, instance string) *Client {
	t.Helper()
	entries := upstreamtest.Handle(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"address":%q,"keep_seconds":60}`, instance)
	})
	c := New([]string{entries}, "z")
	t.Cleanup(c.Close)
	return c
}

// Guards against an answer that is none, or is longer than the limit, and counts as an instance's.
func TestBrokenAnswersHaveAnUnknownOutcome(t *testing.T) {
	body := "\r\n" + strings.Repeat(" ", 10)
	answers := map[string]string{"too long": "HTTP/1.1 200 OK\r\n" + caller.HeaderOutcome + ": done\r\n\r\n" + strings.Repeat(" ", maxAnswerBytes+1)}
	for name, head := range upstreamtest.BrokenHeads() {
		answers[name] = head + caller.HeaderOutcome + ": done\r\n" + body
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			c := clientOf(t, upstreamtest.Serve(t, answer, upstreamtest.Close))
			got := c.Do(t.Context(), Call{Service: "s", Method: http.MethodPost, Path: "/x"})
			if got.Outcome != reason.Unknown || got.Reason != reason.AnswerLost {
				t.Errorf("%s, %s, status %d, %d bytes", got.Outcome, got.Reason, got.Status, len(got.Text))
			}
		})
	}
}
