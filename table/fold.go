package table

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/lease"
)

// Verdict is what the fold decided about one edit.
type Verdict struct {
	EditID string `json:"edit_id"`
	// Offset is the record's place on the log.
	Offset   uint64 `json:"offset"`
	Accepted bool   `json:"accepted"`
	// Why explains a refusal.
	Why    string `json:"why,omitempty"`
	Author string `json:"author,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Changes is what the edit asked for, and Undo what would take an accepted
	// one back.
	Changes []Change `json:"changes,omitempty"`
	Undo    []Change `json:"undo,omitempty"`
}

// keptVerdicts bounds the verdicts that a fold remembers, and with them how
// late a duplicate append of an edit is still recognised.
const keptVerdicts = 1024

// Fold turns log records, in offset order, into tables. It is not safe for
// concurrent use; the tables that it returns are immutable.
type Fold struct {
	table *Table
	next  uint64
	// byID finds the verdict on an edit; order remembers which is oldest.
	byID  map[string]Verdict
	order []string
	// marked is the state at the last offset of which a snapshot is written.
	marked *Snapshot
	// seen is the last mark of which a good snapshot is on the log, and bad
	// counts records that were refused as they could not be read or verified.
	seen uint64
	bad  int
	// leases are the last claims that counted, by key.
	leases map[string]lease.State
}

// logRecord is the form of a record: an edit, or a snapshot.
type logRecord struct {
	Edit
	Snapshot *Snapshot    `json:"snapshot,omitempty"`
	Lease    *lease.Claim `json:"lease,omitempty"`
}

// LeaseRecord writes a claim as a record for the log.
func LeaseRecord(claim lease.Claim) ([]byte, error) {
	record, err := json.Marshal(logRecord{Lease: &claim})
	return record, errors.Wrap(err, "write lease record")
}

// NewFold starts at the first offset of the log with the empty table.
func NewFold() *Fold {
	return &Fold{table: &Table{}, next: 1, byID: make(map[string]Verdict), leases: make(map[string]lease.State)}
}

// Table returns the table after the last record.
func (f *Fold) Table() *Table { return f.table }

// Next returns the offset that the fold needs next.
func (f *Fold) Next() uint64 { return f.next }

// Bad counts the records that were refused as they could not be read or
// verified.
func (f *Fold) Bad() int { return f.bad }

// Verdict returns what was decided about an edit, if it was seen.
func (f *Fold) Verdict(editID string) (Verdict, bool) {
	verdict, ok := f.byID[editID]
	return verdict, ok
}

// History returns the last verdicts, the latest first.
func (f *Fold) History() []Verdict {
	verdicts := make([]Verdict, 0, len(f.order))
	for i := len(f.order) - 1; i >= 0; i-- {
		verdicts = append(verdicts, f.byID[f.order[i]])
	}
	return verdicts
}

// Add folds the record at offset. An offset that was folded before changes
// nothing; one past the next is an error, since a record would be missed. A
// record that cannot be read is refused alike by every instance.
func (f *Fold) Add(offset uint64, data []byte) error {
	if offset < f.next {
		return nil
	}
	if offset > f.next {
		return errors.Errorf("log record %d arrived where %d was expected", offset, f.next)
	}
	f.next = offset + 1
	f.take(offset, data)
	if f.next%SnapshotEvery == 0 {
		f.mark()
	}
	return nil
}

func (f *Fold) take(offset uint64, data []byte) {
	var record logRecord
	if err := json.Unmarshal(data, &record); err != nil {
		f.bad++
		return
	}
	if record.Snapshot != nil {
		f.verify(record.Snapshot)
		return
	}
	if record.Lease != nil {
		f.claim(offset, *record.Lease)
		return
	}
	f.decide(offset, record.Edit)
}

// Lease returns the state of a lease.
func (f *Fold) Lease(key string) lease.State { return f.leases[key] }

func (f *Fold) claim(offset uint64, claim lease.Claim) {
	if next, counted := f.leases[claim.Key].Follow(claim, offset); counted {
		f.leases[claim.Key] = next
	}
}

func (f *Fold) decide(offset uint64, edit Edit) {
	if edit.ID == "" {
		f.bad++
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
	f.remember(verdict)
}

func (f *Fold) remember(verdict Verdict) {
	f.byID[verdict.EditID] = verdict
	f.order = append(f.order, verdict.EditID)
	if len(f.order) > keptVerdicts {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// undo returns the changes that would bring the touched cells back to what
// they are in t.
func (t *Table) undo(changes []Change) []Change {
	var back []Change
	done := make(map[Change]bool)
	for _, change := range changes {
		row, existed := t.rows[change.Row]
		if !existed {
			back = appendOnce(back, done, Change{Row: change.Row, RemoveRow: true})
			continue
		}
		if !change.RemoveRow {
			back = appendOnce(back, done, Change{Row: change.Row, Column: change.Column, Value: row.Cells[change.Column]})
			continue
		}
		for _, column := range Columns(change.Row.Kind) {
			if value := row.Cells[column]; value != "" {
				back = appendOnce(back, done, Change{Row: change.Row, Column: column, Value: value})
			}
		}
	}
	return back
}

func appendOnce(changes []Change, done map[Change]bool, change Change) []Change {
	if done[change] {
		return changes
	}
	done[change] = true
	return append(changes, change)
}
