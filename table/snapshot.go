package table

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/lease"
)

// SnapshotEvery is the number of records between two states of which a
// snapshot may be written. Every instance reaches the same states, so it does
// not matter who writes one, and any two can be compared.
const SnapshotEvery = 64

// Snapshot is the whole state of a fold before a log offset.
type Snapshot struct {
	// Next is the offset of the first record that is not in it.
	Next  uint64 `json:"next"`
	Table *Table `json:"table"`
	// Hash is that of the table.
	Hash     uint64                 `json:"hash"`
	Verdicts []Verdict              `json:"verdicts"`
	Leases   map[string]lease.State `json:"leases"`
}

func (f *Fold) snapshot() *Snapshot {
	s := &Snapshot{Next: f.next, Table: f.table, Hash: f.table.Hash(), Verdicts: make([]Verdict, 0, len(f.order)), Leases: maps.Clone(f.leases)}
	for _, id := range f.order {
		s.Verdicts = append(s.Verdicts, f.byID[id])
	}
	return s
}

func (f *Fold) mark() { f.marked = f.snapshot() }

// Due returns a snapshot to be written to the log, as a record, or nil when
// the log has it already.
func (f *Fold) Due() ([]byte, error) {
	if f.marked == nil || f.seen >= f.marked.Next {
		return nil, nil
	}
	record, err := json.Marshal(logRecord{Snapshot: f.marked})
	return record, errors.Wrap(err, "write snapshot record")
}

// verify compares a snapshot on the log with the state that this fold had.
// Its table is not taken over: a fold that has come so far needs no snapshot.
func (f *Fold) verify(s *Snapshot) {
	if !s.intact() || s.Next > f.next || (f.marked != nil && f.marked.Next == s.Next && f.marked.Hash != s.Hash) {
		f.bad++
		return
	}
	f.seen = max(f.seen, s.Next)
}

// intact says whether the snapshot's hash is that of its table.
func (s *Snapshot) intact() bool { return s.Table != nil && s.Table.Hash() == s.Hash }

// Snapshot writes the whole state of the fold. Folds that have taken the same
// records write the same bytes.
func (f *Fold) Snapshot() ([]byte, error) {
	data, err := json.Marshal(f.snapshot())
	return data, errors.Wrap(err, "write fold snapshot")
}

// Restore reads what Snapshot wrote, unless the fold is already as far.
func (f *Fold) Restore(data []byte) error {
	snapshot := new(Snapshot)
	if err := json.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "read fold snapshot")
	}
	return f.restore(snapshot)
}

func (f *Fold) restore(s *Snapshot) error {
	if s.Next <= f.next {
		return nil
	}
	if !s.intact() {
		return errors.New("read fold snapshot: its hash is not that of its table")
	}
	if err := s.Table.Check(); err != nil {
		return errors.WithMessage(err, "read fold snapshot")
	}
	f.next = s.Next
	f.table = s.Table
	f.leases = maps.Clone(s.Leases)
	if f.leases == nil {
		f.leases = make(map[string]lease.State)
	}
	f.byID = make(map[string]Verdict, len(s.Verdicts))
	f.order = nil
	for _, verdict := range s.Verdicts {
		f.remember(verdict)
	}
	return nil
}

// RestoreFromRecord takes over a snapshot found on the log, for a fold whose
// next record is past retention. It returns false for any other record, and
// for a snapshot that the fold, or the log's first kept offset, is past.
func (f *Fold) RestoreFromRecord(data []byte, first uint64) bool {
	var record logRecord
	if json.Unmarshal(data, &record) != nil || record.Snapshot == nil || record.Snapshot.Next < first {
		return false
	}
	before := f.next
	if f.restore(record.Snapshot) != nil || f.next == before {
		return false
	}
	f.seen = max(f.seen, record.Snapshot.Next)
	return true
}
