package origin

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds of a batch, a Message whose records of streams are stored as one record. It takes 64,100 bytes at most.
const (
	MaxBatch        = 1024
	MaxBatchOrigins = 64
	// maxNameBytes bounds the name of a service or a release.
	maxNameBytes = 256
)

// CanBeStored reports whether the names of an origin are short enough for a batch.
func (o Origin) CanBeStored() bool {
	return len(o.Service) <= maxNameBytes && len(o.Release) <= maxNameBytes
}

// CheckBatch returns an error for a batch that no instance writes.
func (m *Message) CheckBatch() error {
	if len(m.Began) == 0 || len(m.Began) > MaxBatch || len(m.Origins) > MaxBatchOrigins || len(m.BeganRuns) > len(m.Began) {
		return errors.Errorf("batch has %d streams, %d runs and %d origins", len(m.Began), len(m.BeganRuns), len(m.Origins))
	}
	if m.SentMillis < 0 || m.SentMillis > maxSentMillis {
		return errors.Errorf("batch was written at %d", m.SentMillis)
	}
	for _, at := range m.Origins {
		if !at.CanBeStored() || (at.Service == "" && at.Release != "") {
			return errors.Errorf("origin has a service of %d bytes and a release of %d bytes", len(at.Service), len(at.Release))
		}
	}
	for i := range m.Began {
		_, known := m.Origin(m.Began[i].At)
		if _, ok := m.Began[i].Until(time.Time{}); !known || !ok {
			return errors.Errorf("stream %d of the batch has origin %d and %d ms left", i, m.Began[i].At, m.Began[i].LeftMillis)
		}
	}
	for i := range m.BeganRuns {
		if m.BeganRuns[i].AgeMillis < 0 {
			return errors.Errorf("stream %d of the batch began in %d ms", i, -m.BeganRuns[i].AgeMillis)
		}
	}
	return nil
}

// maxSentMillis is the end of the year 9999.
const maxSentMillis = 253_402_300_799_999

// SentAt returns when a batch was written by its writer's clock, zero if unknown.
func (m *Message) SentAt() time.Time {
	if m.SentMillis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.SentMillis)
}

// EachRecord calls visit for the records of streams that are usable. runs holds the runs of the first ones. They count
// from the time at which the records were sent, and are not used if it is zero.
func (m *Message) EachRecord(began []Began, runs []BeganRun, sentAt, now time.Time, visit func(one Record)) {
	for i := range began {
		at, known := m.Origin(began[i].At)
		until, ok := began[i].Until(now)
		if !known || !ok {
			continue
		}
		one := Record{Key: began[i].Key, At: at, Until: until}
		if i < len(runs) && runs[i].AgeMillis >= 0 && !sentAt.IsZero() {
			one.Run, one.Began = runs[i].Run, sentAt.Add(-millis(runs[i].AgeMillis))
		}
		visit(one)
	}
}
