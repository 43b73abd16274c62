package table

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/lease"
)

// Verdict is the fold's decision about one edit.
type Verdict struct {
	EditID string `json:"edit_id"`
	// Offset is the log offset of the edit's record.
	Offset   uint64 `json:"offset"`
	Accepted bool   `json:"accepted"`
	// Why is the reason for which the edit was rejected.
	Why    string `json:"why,omitempty"`
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Changes holds the changes of the edit. Undo holds the changes that would
	// revert it, if it was accepted.
	Changes []Change `json:"changes,omitempty"`
	Undo    []Change `json:"undo,omitempty"`
}

// maxVerdicts limits the number of verdicts that a fold keeps. A duplicate append of an
// edit is recognised only while the edit's verdict is kept.
const maxVerdicts = 1024

// Fold applies log records to a table in offset order. It is not safe for
// concurrent use. The tables that it returns are immutable.
type Fold struct {
	table *Table
	next  uint64
	// byID maps edit ids to verdicts. order lists the ids, oldest first.
	byID  map[string]Verdict
	order []string
	// pending is the state at the last multiple of SnapshotEvery, of which a
	// snapshot may be written to the log.
	pending *Snapshot
	// verifiedNext is the highest Next of the valid snapshots seen on the log.
	// badRecords counts invalid records, as returned by BadRecords.
	verifiedNext uint64
	badRecords   int
	// leases holds the state of each lease after its last valid claim, by key.
	leases map[string]lease.State
}

// logRecord is the JSON form of a log record: an edit, a snapshot or a lease claim.
type logRecord struct {
	Edit
	Snapshot *Snapshot    `json:"snapshot,omitempty"`
	Lease    *lease.Claim `json:"lease,omitempty"`
}

// LeaseRecord encodes a lease claim as a log record.
func LeaseRecord(claim lease.Claim) ([]byte, error) {
	record, err := json.Marshal(logRecord{Lease: &claim})
	return record, errors.Wrap(err, "encode lease record")
}

// NewFold returns a fold at the first log offset, with the empty table.
func NewFold() *Fold {
	return &Fold{table: &Table{}, next: 1, byID: make(map[string]Verdict), leases: make(map[string]lease.State)}
}

// Table returns the table after the last folded record.
func (f *Fold) Table() *Table { return f.table }

// Next returns the offset of the next record to fold.
func (f *Fold) Next() uint64 { return f.next }

// BadRecords returns the number of invalid records: those that could not be decoded or
// verified, and edits without an id.
func (f *Fold) BadRecords() int { return f.badRecords }

// Verdict returns the verdict on an edit, if the fold still keeps it.
func (f *Fold) Verdict(editID string) (Verdict, bool) {
	verdict, ok := f.byID[editID]
	return verdict, ok
}

// History returns the kept verdicts, newest first.
func (f *Fold) History() []Verdict {
	verdicts := make([]Verdict, 0, len(f.order))
	for i := len(f.order) - 1; i >= 0; i-- {
		verdicts = append(verdicts, f.byID[f.order[i]])
	}
	return verdicts
}

// Add folds the record at offset. A record that was folded before is ignored.
// An offset beyond Next is an error, since a record would be skipped. A record
// that cannot be decoded is counted by BadRecords and skipped, on every instance alike.
func (f *Fold) Add(offset uint64, data []byte) error {
	if offset < f.next {
		return nil
	}
	if offset > f.next {
		return errors.Errorf("fold log record %d: expected record %d", offset, f.next)
	}
	f.next = offset + 1
	f.addRecord(offset, data)
	if f.next%SnapshotEvery == 0 {
		f.markSnapshot()
	}
	return nil
}

func (f *Fold) addRecord(offset uint64, data []byte) {
	var record logRecord
	if err := json.Unmarshal(data, &record); err != nil {
		f.badRecords++
		return
	}
	if record.Snapshot != nil {
		f.verify(record.Snapshot)
		return
	}
	if record.Lease != nil {
		f.addClaim(offset, *record.Lease)
		return
	}
	f.addEdit(offset, record.Edit)
}

// Lease returns the current state of the lease with the given key.
func (f *Fold) Lease(key string) lease.State { return f.leases[key] }

func (f *Fold) addClaim(offset uint64, claim lease.Claim) {
	if next, counted := f.leases[claim.Key].Apply(claim, offset); counted {
		f.leases[claim.Key] = next
	}
}

func (f *Fold) addEdit(offset uint64, edit Edit) {
	if edit.ID == "" {
		f.badRecords++
		return
	}
	if _, seen := f.byID[edit.ID]; seen {
		return
	}
	verdict := Verdict{EditID: edit.ID, Offset: offset, Author: edit.Author, Reason: edit.Reason, Changes: edit.Changes}
	next, err := f.table.Apply(edit, offset)
	if err != nil {
		verdict.Why = err.Error()
	} else {
		verdict.Accepted = true
		verdict.Undo = f.table.undo(edit.Changes)
		f.table = next
	}
	f.storeVerdict(verdict)
}

func (f *Fold) storeVerdict(verdict Verdict) {
	f.byID[verdict.EditID] = verdict
	f.order = append(f.order, verdict.EditID)
	if len(f.order) > maxVerdicts {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// undo returns the changes that restore the cells touched by changes to their
// values in t.
func (t *Table) undo(changes []Change) []Change {
	var undo []Change
	added := make(map[Change]bool)
	for _, change := range changes {
		row, existed := t.rows[change.Row]
		if !existed {
			undo = appendOnce(undo, added, Change{Row: change.Row, RemoveRow: true})
			continue
		}
		if !change.RemoveRow {
			undo = appendOnce(undo, added, Change{Row: change.Row, Column: change.Column, Value: row.Cells[change.Column]})
			continue
		}
		for _, column := range Columns(change.Row.Kind) {
			if value := row.Cells[column]; value != "" {
				undo = appendOnce(undo, added, Change{Row: change.Row, Column: column, Value: value})
			}
		}
	}
	return undo
}

func appendOnce(changes []Change, added map[Change]bool, change Change) []Change {
	if added[change] {
		return changes
	}
	added[change] = true
	return append(changes, change)
}
