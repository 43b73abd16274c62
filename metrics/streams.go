package metrics

import "github.com/prometheus/client_golang/prometheus"

// StreamEnd is how a backend server's stream ended.
type StreamEnd string

// Ways in which a stream ends.
const (
	// StreamComplete is the proper end after a whole event.
	StreamComplete StreamEnd = "complete"
	// StreamInsideEvent is an end without an error inside an event.
	StreamInsideEvent StreamEnd = "inside_event"
	// StreamBroken is an end with an error.
	StreamBroken StreamEnd = "broken"
	// StreamLeft is the end of a stream that was not read to its end.
	StreamLeft StreamEnd = "left"
)

// Values of the label framing.
const (
	framingDeclared   = "declared"
	framingConnection = "connection"
)

func newStreamEnds() *prometheus.CounterVec {
	ends := counters("stream_ends_total", "Streams of backend servers that ended, by what marks their end (length or chunks, or the connection) and by how they ended.", "framing", "end")
	for _, framing := range []string{framingDeclared, framingConnection} {
		for _, end := range []StreamEnd{StreamComplete, StreamInsideEvent, StreamBroken, StreamLeft} {
			ends.WithLabelValues(framing, string(end))
		}
	}
	return ends
}

// StreamEnded counts a stream that ended. endsWithConnection is set if the answer had neither a
// length nor chunks.
func (s *Set) StreamEnded(endsWithConnection bool, end StreamEnd) {
	framing := framingDeclared
	if endsWithConnection {
		framing = framingConnection
	}
	s.streamEnds.WithLabelValues(framing, string(end)).Inc()
}
