package forward

import (
	"io"

	"github.com/mastwheel/mastwheel/reason"
)

// begin waits until the stream has something for its caller, and returns the reply. The caller of a stream that breaks off
// before gets a status instead of a closed connection.
func (r *relay) begin() *Reply {
	for r.ready == 0 && r.ended == nil {
		r.fill()
	}
	ended := !AnswerBegins(r.ctx)
	for ended && r.ended == nil {
		// The first event came as the shutdown ended the request. Its end may have come too.
		r.fill()
	}
	if r.ended != io.EOF && (ended || r.ready == 0) {
		return r.failUnbegun()
	}
	r.begun = true
	return &Reply{Status: r.status, Fields: r.fields, Stream: r}
}

// failUnbegun ends a stream of which the caller has got nothing.
func (r *relay) failUnbegun() *Reply {
	r.status = statusBadGateway
	if r.endedBy == reason.EndedByDeadline {
		r.status = statusTimeout
	}
	r.Close()
	return &Reply{Status: r.status, Reason: r.why}
}
