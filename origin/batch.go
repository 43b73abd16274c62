package origin

import (
	"time"

	"github.com/pkg/errors"
)

// Bounds of a batch, a Message whose records of streams are stored as one record. It takes 50 KB at most.
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
	if len(m.Began) == 0 || len(m.Began) > MaxBatch || len(m.Origins) > MaxBatchOrigins {
		return errors.Errorf("batch has %d streams and %d origins", len(m.Began), len(m.Origins))
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
	return nil
}

// EachRecord calls visit for the records of streams that are usable.
func (m *Message) EachRecord(began []Began, now time.Time, visit func(key Key, at Origin, until time.Time)) {
	for i := range began {
		at, known := m.Origin(began[i].At)
		until, ok := began[i].Until(now)
		if known && ok {
			visit(began[i].Key, at, until)
		}
	}
}
