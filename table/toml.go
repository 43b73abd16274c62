package table

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// document is the TOML form of a table: document[kind][row][column] = value.
type document map[string]map[string]map[string]any

// ParseTOML parses and checks a complete table.
func ParseTOML(data []byte) (*Table, error) {
	var doc document
	if err := toml.Unmarshal(data, &doc); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, column := decodeErr.Position()
			return nil, errors.Errorf("line %d, character %d: %v", line, column, err)
		}
		return nil, errors.Wrap(err, "parse table: expected sections [kind.row] with lines column = value")
	}
	t := &Table{rows: make(map[RowKey]Row)}
	for kind, rows := range doc {
		for name, cells := range rows {
			t.rows[RowKey{Kind: Kind(kind), Name: name}] = Row{Cells: textCells(cells)}
		}
	}
	if err := t.Check(); err != nil {
		return nil, err
	}
	return t, nil
}

func textCells(cells map[string]any) map[Column]string {
	out := make(map[Column]string, len(cells))
	for column, value := range cells {
		out[Column(column)] = fmt.Sprint(value)
	}
	return out
}

// TOML encodes the table in the form that ParseTOML parses.
func (t *Table) TOML() ([]byte, error) {
	doc := make(document)
	for key, row := range t.rows {
		kind := string(key.Kind)
		if doc[kind] == nil {
			doc[kind] = make(map[string]map[string]any)
		}
		cells := make(map[string]any, len(row.Cells))
		for column, value := range row.Cells {
			cells[string(column)] = value
		}
		doc[kind][key.Name] = cells
	}
	return toml.Marshal(doc)
}

// Diff returns the changes that turn t into other, in a fixed order.
func (t *Table) Diff(other *Table) []Change {
	var changes []Change
	for _, kind := range Kinds {
		for _, key := range other.Keys(kind) {
			changes = append(changes, rowDiff(key, t.rows[key].Cells, other.rows[key].Cells)...)
		}
	}
	for _, kind := range Kinds {
		for _, key := range t.Keys(kind) {
			if _, kept := other.rows[key]; !kept {
				changes = append(changes, Change{Row: key, RemoveRow: true})
			}
		}
	}
	return changes
}

func rowDiff(key RowKey, before, after map[Column]string) []Change {
	var changes []Change
	for column, value := range after {
		if before[column] != value {
			changes = append(changes, Change{Row: key, Column: column, Value: value})
		}
	}
	for column := range before {
		if _, kept := after[column]; !kept {
			changes = append(changes, Change{Row: key, Column: column})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Column < changes[j].Column })
	return changes
}
