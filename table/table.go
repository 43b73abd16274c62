// Package table holds the operators' table, which configures services, pools,
// backend servers, teams, routes and limits, one per row. Its columns hold
// settings such as shares, caps and priorities. A table is immutable, and each
// accepted edit creates a new one. Every instance folds the same log records in
// offset order and so reaches the same table.
package table

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// RowKey identifies a row.
type RowKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind.name", which is also the heading of the row in TOML.
func (k RowKey) String() string { return string(k.Kind) + "." + k.Name }

// Row is one row of the table.
type Row struct {
	Cells map[Column]string `json:"cells"`
	// Revision is the log offset of the last edit that changed the row.
	Revision uint64 `json:"revision"`
}

// Table is an immutable table. The zero value is the empty table.
type Table struct {
	// Revision is the log offset of the last accepted edit, or 0 if there is none.
	Revision uint64
	rows     map[RowKey]Row
}

// Row returns a row and whether it exists.
func (t *Table) Row(key RowKey) (Row, bool) {
	row, ok := t.rows[key]
	return row, ok
}

// Keys returns the keys of the rows of one kind, sorted by name.
func (t *Table) Keys(kind Kind) []RowKey {
	var keys []RowKey
	for key := range t.rows {
		if key.Kind == kind {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b RowKey) int { return strings.Compare(a.Name, b.Name) })
	return keys
}

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Hash returns a hash of the complete content, to compare the tables of two instances.
func (t *Table) Hash() uint64 {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%d\n", t.Revision)
	for _, kind := range Kinds {
		for _, key := range t.Keys(kind) {
			row := t.rows[key]
			fmt.Fprintf(digest, "%s %d\n", key, row.Revision)
			for _, s := range columns[kind] {
				if value := row.Cells[s.column]; value != "" || !s.omitEmptyInHash {
					fmt.Fprintf(digest, "%q\n", value)
				}
			}
		}
	}
	return digest.Sum64()
}

// jsonRow is the JSON form of a row.
type jsonRow struct {
	RowKey
	Row
}

type jsonTable struct {
	Revision uint64    `json:"revision"`
	Rows     []jsonRow `json:"rows"`
}

// MarshalJSON encodes the table with its rows in a fixed order.
func (t *Table) MarshalJSON() ([]byte, error) {
	out := jsonTable{Revision: t.Revision, Rows: []jsonRow{}}
	for _, kind := range Kinds {
		for _, key := range t.Keys(kind) {
			out.Rows = append(out.Rows, jsonRow{RowKey: key, Row: t.rows[key]})
		}
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (t *Table) UnmarshalJSON(data []byte) error {
	var in jsonTable
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode table")
	}
	t.Revision = in.Revision
	t.rows = make(map[RowKey]Row, len(in.Rows))
	for _, row := range in.Rows {
		t.rows[row.RowKey] = row.Row
	}
	return nil
}

// withChanges returns a copy of t with the changes applied at the given revision.
func (t *Table) withChanges(changes []Change, revision uint64) *Table {
	next := &Table{Revision: revision, rows: maps.Clone(t.rows)}
	if next.rows == nil {
		next.rows = make(map[RowKey]Row)
	}
	for _, change := range changes {
		next.apply(change, revision)
	}
	return next
}

func (t *Table) apply(change Change, revision uint64) {
	if change.RemoveRow {
		delete(t.rows, change.Row)
		return
	}
	row := t.rows[change.Row]
	cells := maps.Clone(row.Cells)
	if cells == nil {
		cells = make(map[Column]string)
	}
	if change.Value == "" {
		delete(cells, change.Column)
	} else {
		cells[change.Column] = change.Value
	}
	t.rows[change.Row] = Row{Cells: cells, Revision: revision}
}
