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

// Continuation is how a stream continued after its first run.
type Continuation string

// Ways in which a stream continues.
const (
	// ContinuedByRerun is a further run in the same answer, after a break or a stall.
	ContinuedByRerun Continuation = "rerun"
	// ContinuedByMove is the same run at another engine, or at its own after a move that failed.
	ContinuedByMove Continuation = "move"
	// ContinuedByCaller is a request that names the last event that its caller has.
	ContinuedByCaller Continuation = "taken_up"
)

// ReleaseMatch is whether a stream continued at the release (the version of the servers' software) at
// which it began.
type ReleaseMatch string

// Values of a ReleaseMatch.
const (
	SameRelease  ReleaseMatch = "same"
	OtherRelease ReleaseMatch = "other"
)

func newContinuations() *prometheus.CounterVec {
	continued := counters("streams_continued_total", "Streams that continued, by how and by whether at the version of the servers' software at which they began.", "how", "version")
	for _, how := range []Continuation{ContinuedByRerun, ContinuedByMove, ContinuedByCaller} {
		for _, match := range []ReleaseMatch{SameRelease, OtherRelease} {
			continued.WithLabelValues(string(how), string(match))
		}
	}
	return continued
}

// StreamContinued counts a stream that continued.
func (s *Set) StreamContinued(how Continuation, match ReleaseMatch) {
	s.continued.WithLabelValues(string(how), string(match)).Inc()
}

// OriginSource is how an instance learned at which release a stream began that its caller takes up.
type OriginSource string

// Sources of an origin.
const (
	// OriginRecord is a record of this instance, of its own stream or of a sibling's.
	OriginRecord OriginSource = "record"
	// OriginSole means that only one release served while the stream can have begun.
	OriginSole OriginSource = "sole"
	// OriginSibling is a sibling's answer.
	OriginSibling OriginSource = "sibling"
	// OriginStore is a record that the platform's store has.
	OriginStore OriginSource = "store"
	// OriginUnknown means that no instance that answered knows.
	OriginUnknown OriginSource = "unknown"
)

func newOriginLookups() *prometheus.CounterVec {
	lookups := counters("origin_lookups_total", "Streams that their callers took up, by how this instance learned at which version of the servers' software they began.", "source")
	for _, source := range []OriginSource{OriginRecord, OriginSole, OriginSibling, OriginStore, OriginUnknown} {
		lookups.WithLabelValues(string(source))
	}
	return lookups
}

// OriginFound counts a stream that its caller took up.
func (s *Set) OriginFound(source OriginSource) { s.lookups.WithLabelValues(string(source)).Inc() }
