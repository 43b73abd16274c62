package metrics

import "github.com/prometheus/client_golang/prometheus"

// StoredOrigin is what became of the record of a stream that was to be appended to the store.
type StoredOrigin string

// Outcomes of a record.
const (
	OriginAppended StoredOrigin = "appended"
	// OriginDropped means that the store refused it too often, or that too many waited.
	OriginDropped StoredOrigin = "dropped"
)

// OriginRead is how a read of the stored records of streams ended.
type OriginRead string

// Outcomes of a read.
const (
	OriginReadOK OriginRead = "ok"
	// OriginReadTruncated means that the store no longer had the position that was read last.
	OriginReadTruncated OriginRead = "truncated"
	OriginReadFailed    OriginRead = "failed"
)

// OriginLog counts the records of streams that an instance stores, and its reads of them. A nil OriginLog
// counts nothing.
type OriginLog struct{ records, reads *prometheus.CounterVec }

func newOriginLog() *OriginLog {
	l := &OriginLog{
		records: counters("origin_records_total", "Records of streams that this instance was to append to the store, by outcome.", labelOutcome),
		reads:   counters("origin_reads_total", "Reads of the records of streams that the store has, by outcome.", labelOutcome),
	}
	for _, outcome := range []StoredOrigin{OriginAppended, OriginDropped} {
		l.records.WithLabelValues(string(outcome))
	}
	for _, outcome := range []OriginRead{OriginReadOK, OriginReadTruncated, OriginReadFailed} {
		l.reads.WithLabelValues(string(outcome))
	}
	return l
}

// Records counts records.
func (l *OriginLog) Records(outcome StoredOrigin, count int) {
	if l != nil {
		l.records.WithLabelValues(string(outcome)).Add(float64(count))
	}
}

// Read counts a read.
func (l *OriginLog) Read(outcome OriginRead) {
	if l != nil {
		l.reads.WithLabelValues(string(outcome)).Inc()
	}
}
