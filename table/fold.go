package table

import (
	"encoding/json"

	"github.com/pkg/errors"
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
}

// keptVerdicts bounds the verdicts that a fold remembers, and with them how
// late a duplicate append of an edit is still recognised.
const keptVerdicts = 4096

// Fold turns log records, in offset order, into tables. It is not safe for
// concurrent use; the tables that it returns are immutable.
type Fold struct {
	table *Table
	next  uint64
	// byID finds the verdict on an edit; order remembers which is oldest.
	byID  map[string]Verdict
	order []string
}

// NewFold starts at the first offset of the log with the empty table.
func NewFold() *Fold {
	return &Fold{table: &Table{}, next: 1, byID: make(map[string]Verdict)}
}

// Table returns the table after the last record.
func (f *Fold) Table() *Table { return f.table }

// Next returns the offset that the fold needs next.
func (f *Fold) Next() uint64 { return f.next }

// Verdict returns what was decided about an edit, if it was seen.
func (f *Fold) Verdict(editID string) (Verdict, bool) {
	verdict, ok := f.byID[editID]
	return verdict, ok
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
	var edit Edit
	if err := json.Unmarshal(data, &edit); err != nil {
		f.remember(Verdict{Offset: offset, Why: "record cannot be read: " + err.Error()})
		return nil
	}
	if _, seen := f.byID[edit.ID]; seen {
		return nil
	}
	verdict := Verdict{EditID: edit.ID, Offset: offset, Author: edit.Author, Reason: edit.Reason}
	next, err := f.table.Apply(edit, offset)
	if err != nil {
		verdict.Why = err.Error()
	} else {
		verdict.Accepted = true
		f.table = next
	}
	f.remember(verdict)
	return nil
}

func (f *Fold) remember(verdict Verdict) {
	if verdict.EditID == "" {
		return
	}
	f.byID[verdict.EditID] = verdict
	f.order = append(f.order, verdict.EditID)
	if len(f.order) > keptVerdicts {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

// foldState is the form of a fold in a snapshot.
type foldState struct {
	Next     uint64    `json:"next"`
	Table    *Table    `json:"table"`
	Verdicts []Verdict `json:"verdicts"`
}

// Snapshot writes the whole state of the fold. Folds that have taken the same
// records write the same bytes.
func (f *Fold) Snapshot() ([]byte, error) {
	state := foldState{Next: f.next, Table: f.table, Verdicts: make([]Verdict, 0, len(f.order))}
	for _, id := range f.order {
		state.Verdicts = append(state.Verdicts, f.byID[id])
	}
	data, err := json.Marshal(state)
	return data, errors.Wrap(err, "write fold snapshot")
}

// Restore reads a snapshot, unless the fold is already as far.
func (f *Fold) Restore(data []byte) error {
	state := foldState{Table: &Table{}}
	if err := json.Unmarshal(data, &state); err != nil {
		return errors.Wrap(err, "read fold snapshot")
	}
	if state.Next <= f.next {
		return nil
	}
	if err := state.Table.Check(); err != nil {
		return errors.WithMessage(err, "read fold snapshot")
	}
	f.next = state.Next
	f.table = state.Table
	f.byID = make(map[string]Verdict, len(state.Verdicts))
	f.order = nil
	for _, verdict := range state.Verdicts {
		f.remember(verdict)
	}
	return nil
}
