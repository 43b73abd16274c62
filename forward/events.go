package forward

import (
	"bytes"
	"strings"
)

// A stream is a series of events, each of which ends with an empty line (WHATWG, server-sent events).

// eventEnds are the forms of the empty line that ends an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// wholeEvents returns the length of the whole events at the start of a part of a stream, and their
// number.
func wholeEvents(part []byte) (length, count int) {
	for _, end := range eventEnds {
		if at := bytes.LastIndex(part, end); at >= 0 {
			length = max(length, at+len(end))
		}
	}
	for _, end := range eventEnds {
		count += bytes.Count(part[:length], end)
	}
	return length, count
}

// unfinishedEvent returns the length of the incomplete event in what follows the last whole event of
// a stream. Empty lines and comments belong to no event.
func unfinishedEvent(rest []byte) int {
	lines := bytes.FieldsFunc(rest, isLineEnd)
	for _, line := range lines {
		if line[0] != ':' {
			return len(rest)
		}
	}
	if len(lines) > 0 && !isLineEnd(rune(rest[len(rest)-1])) {
		return len(rest)
	}
	return 0
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// idField starts the line of an event that holds its id.
var idField = []byte("id:")

// lastID returns the id of the last event in whole that has one, or else before.
func lastID(whole []byte, before string) string {
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			before = string(bytes.TrimSpace(id))
		}
	}
	return before
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// hasEvents reports whether the answer is a stream of events. A failed engine answers with another
// body.
func (s *Stream) hasEvents() bool {
	if s.Status < 200 || s.Status >= 300 {
		return false
	}
	for _, field := range s.Fields {
		if strings.EqualFold(field.Name, "Content-Type") {
			return strings.HasPrefix(field.Value, eventStreamType)
		}
	}
	return true
}
