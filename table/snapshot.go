package table

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/lease"
)

// SnapshotEvery is the interval of snapshots, in records. All instances take them
// at the same offsets and reach the same states there, so any instance may write
// one, and any two snapshots of an offset can be compared.
const SnapshotEvery = 64

// Snapshot is the complete state of a fold before the record at offset Next.
type Snapshot struct {
	// Next is the offset of the first record that the snapshot does not include.
	Next  uint64 `json:"next"`
	Table *Table `json:"table"`
	// Hash is Table.Hash of the table.
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

func (f *Fold) markSnapshot() { f.pending = f.snapshot() }

// Due returns the record of a snapshot that should be appended to the log, or nil
// when no snapshot is pending or the log already has it.
func (f *Fold) Due() ([]byte, error) {
	if f.pending == nil || f.verifiedNext >= f.pending.Next {
		return nil, nil
	}
	record, err := json.Marshal(logRecord{Snapshot: f.pending})
	return record, errors.Wrap(err, "encode snapshot record")
}

// verify compares a snapshot on the log with the state that this fold had at the
// same offset. It does not restore the snapshot, since this fold has already
// applied the records that led to it.
func (f *Fold) verify(s *Snapshot) {
	if !s.hashMatches() || s.Next > f.next || (f.pending != nil && f.pending.Next == s.Next && f.pending.Hash != s.Hash) {
		f.badRecords++
		return
	}
	f.verifiedNext = max(f.verifiedNext, s.Next)
}

// hashMatches reports whether the snapshot has a table and Hash is the hash of it.
func (s *Snapshot) hashMatches() bool { return s.Table != nil && s.Table.Hash() == s.Hash }

// Snapshot encodes the complete state of the fold. Folds of the same records
// return the same bytes.
func (f *Fold) Snapshot() ([]byte, error) {
	data, err := json.Marshal(f.snapshot())
	return data, errors.Wrap(err, "encode fold snapshot")
}

// Restore replaces the fold's state with the output of Snapshot. It does nothing if
// the fold has already reached the snapshot's offset.
func (f *Fold) Restore(data []byte) error {
	snapshot := new(Snapshot)
	if err := json.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "decode fold snapshot")
	}
	return f.restore(snapshot)
}

func (f *Fold) restore(s *Snapshot) error {
	if s.Next <= f.next {
		return nil
	}
	if !s.hashMatches() {
		return errors.New("restore fold snapshot: hash does not match the table")
	}
	if err := s.Table.Check(); err != nil {
		return errors.WithMessage(err, "restore fold snapshot")
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
		f.storeVerdict(verdict)
	}
	return nil
}

// RestoreFromRecord restores a snapshot found on the log. It serves a fold whose
// next record the log no longer retains. It returns false for any other record, for
// a snapshot that does not advance the fold, and for a snapshot that ends before
// first, the first retained offset of the log.
func (f *Fold) RestoreFromRecord(data []byte, first uint64) bool {
	var record logRecord
	if json.Unmarshal(data, &record) != nil || record.Snapshot == nil || record.Snapshot.Next < first {
		return false
	}
	before := f.next
	if f.restore(record.Snapshot) != nil || f.next == before {
		return false
	}
	f.verifiedNext = max(f.verifiedNext, record.Snapshot.Next)
	return true
}
