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
	if r.ready == 0 && r.ended != io.EOF {
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
