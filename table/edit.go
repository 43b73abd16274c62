package table

import (
	"fmt"

	"github.com/pkg/errors"
)

// Change sets one cell, clears it (Value == ""), or removes a whole row.
type Change struct {
	Row       RowKey `json:"row"`
	Column    Column `json:"column,omitempty"`
	Value     string `json:"value,omitempty"`
	RemoveRow bool   `json:"remove_row,omitempty"`
}

// Edit is an operator's change to the table, as recorded in the log.
type Edit struct {
	// ID is chosen by the operator's client, so that an edit can be found when
	// the reply to its append was lost, and is never applied twice.
	ID string `json:"id"`
	// Base is the table revision that the edit was made against.
	Base    uint64   `json:"base"`
	Author  string   `json:"author"`
	Reason  string   `json:"reason"`
	Changes []Change `json:"changes"`
}

// CellError describes an invalid cell. Column is empty when the error
// concerns the whole row.
type CellError struct {
	Row    RowKey
	Column Column
	Cause  error
}

// Error implements error.
func (e *CellError) Error() string {
	if e.Column == "" {
		return fmt.Sprintf("row %s: %v", e.Row, e.Cause)
	}
	return fmt.Sprintf("row %s, column %s: %v", e.Row, e.Column, e.Cause)
}

// ConflictError reports that a row changed after the edit's base revision.
type ConflictError struct {
	Row      RowKey
	Base     uint64
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s: changed at revision %d, after the edit's base %d", e.Row, e.Revision, e.Base)
}

// errEmptyEdit rejects an edit that lacks a required field.
var errEmptyEdit = errors.New("an edit needs an id, an author and at least one change")

// Apply returns t with edit applied at the given log offset, or the reason for
// which the edit is rejected: a *ConflictError, a *CellError or another error.
// The result depends only on t and the arguments, so that every instance reaches
// the same verdict.
func (t *Table) Apply(edit Edit, offset uint64) (*Table, error) {
	if edit.ID == "" || edit.Author == "" || len(edit.Changes) == 0 {
		return nil, errEmptyEdit
	}
	for _, change := range edit.Changes {
		if err := t.checkConflict(change.Row, edit.Base); err != nil {
			return nil, err
		}
	}
	next := t.withChanges(edit.Changes, offset)
	if err := next.Check(); err != nil {
		return nil, err
	}
	return next, nil
}

func (t *Table) checkConflict(key RowKey, base uint64) error {
	row, ok := t.rows[key]
	if ok && row.Revision > base {
		return &ConflictError{Row: key, Base: base, Revision: row.Revision}
	}
	return nil
}

// Check returns the first error found in the table: an unknown kind or column,
// an invalid value, a missing cell, or a reference to a row that does not exist.
func (t *Table) Check() error {
	for key := range t.rows {
		if _, ok := columns[key.Kind]; !ok {
			return &CellError{Row: key, Cause: errors.Errorf("unknown kind %q", key.Kind)}
		}
	}
	for _, kind := range Kinds {
		for _, key := range t.Keys(kind) {
			if err := t.checkRow(key, editCheck); err != nil {
				return err
			}
		}
	}
	return nil
}

// columnCheck returns the check of a column of a kind of rows.
type columnCheck func(kind Kind, s columnSpec) cellCheck

// editCheck returns the check of a column for edits.
func editCheck(_ Kind, s columnSpec) cellCheck { return s.check }

func (t *Table) checkRow(key RowKey, checkOf columnCheck) *CellError {
	cells := t.rows[key].Cells
	for column := range cells {
		if _, ok := findSpec(key.Kind, column); !ok {
			return &CellError{Row: key, Column: column, Cause: errors.New("no such column")}
		}
	}
	for _, s := range columns[key.Kind] {
		if err := t.checkCell(key, s, checkOf(key.Kind, s), cells[s.column]); err != nil {
			return err
		}
	}
	if key.Kind == Service {
		return t.checkService(key, cells)
	}
	return nil
}

func (t *Table) checkCell(key RowKey, s columnSpec, check cellCheck, value string) *CellError {
	if value == "" && s.required {
		return &CellError{Row: key, Column: s.column, Cause: errors.New("is missing")}
	}
	if value == "" {
		return nil
	}
	if err := check(value); err != nil {
		return &CellError{Row: key, Column: s.column, Cause: err}
	}
	if s.refers == "" {
		return nil
	}
	if _, ok := t.rows[RowKey{Kind: s.refers, Name: value}]; !ok {
		return &CellError{Row: key, Column: s.column, Cause: errors.Errorf("no %s row named %q", s.refers, value)}
	}
	return nil
}

// checkService checks that a service has the cells that its type requires.
func (t *Table) checkService(key RowKey, cells map[Column]string) *CellError {
	needed := []Column{ColModel, ColPrefillPool, ColDecodePool}
	if cells[ColType] == TypePlain {
		needed = []Column{ColPool}
	}
	for _, column := range needed {
		if cells[column] == "" {
			cause := errors.Errorf("is missing for type %q", cells[ColType])
			return &CellError{Row: key, Column: column, Cause: cause}
		}
	}
	return nil
}
