package table

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// A table of another system, which has accepted its values, is checked by what the code can use, not by the bounds of
// edits. A value outside of the bounds below is replaced by the nearest one inside, and a row with an unusable cell is left
// out. The bounds of edits stay as they are, since all instances must reach the same verdict on an edit, whichever version
// of the software they run.

// span is a range of integers, or of decimal numbers, both ends included.
type span struct {
	least, most float64
	decimal     bool
}

const (
	// maxUsableMillis is 30 days. Multiples of it by some thousands fit into a time.Duration.
	maxUsableMillis = 30 * 24 * 3600 * 1000
	// maxUsableCount bounds numbers of tokens, bytes and connections. The sums over some millions of them fit into an int.
	maxUsableCount = 1_000_000_000_000
	// maxUsableFactor bounds numbers that are multiplied by others of that size.
	maxUsableFactor = 1_000_000_000
	// maxUsableHold is shorter than maxUsableMillis, since memory stays reserved for that long after an instance is lost.
	maxUsableHold = 600_000
	// minUsableRate keeps the time for a unit in the range of maxUsableMillis.
	minUsableRate = 1e-6
	// maxUsablePriority is the largest number up to which all integers are exact as floats.
	maxUsablePriority = 1<<53 - 1
)

// usable holds the range of usable numbers of each numeric column. Columns that are missing take the bounds of edits.
var usable = map[Kind]map[Column]span{
	Service: {
		ColConnections: {least: 1, most: maxUsableCount},
		ColMemory:      {least: 1, most: maxUsableCount},
		ColTokenBytes:  {least: 1, most: maxUsableCount},
		ColHold:        {least: 1, most: maxUsableHold},
		ColHandle:      {least: 1, most: maxUsableMillis},
		ColSwitch:      {least: 1, most: maxUsableMillis},
		ColEventTokens: {least: 1, most: maxUsableFactor},
		ColColdRate:    {least: minUsableRate, most: maxUsableFactor, decimal: true},
	},
	Team: {
		ColPriority:    {least: 0, most: maxUsablePriority},
		ColRate:        {least: minUsableRate, most: maxUsableFactor, decimal: true},
		ColBurst:       {least: minUsableRate, most: maxUsableFactor, decimal: true},
		ColPlainTokens: {least: 1, most: maxUsableFactor},
	},
	Route: {
		ColTimeout:  {least: 1, most: maxUsableMillis},
		ColTTFT:     {least: 1, most: maxUsableMillis},
		ColTBT:      {least: 1, most: maxUsableMillis},
		ColPriority: {least: 0, most: maxUsablePriority},
		ColAttempts: {least: 1, most: maxUsableFactor},
	},
	Limit: {
		ColHeaderBytes: {least: 1, most: maxUsableCount},
		ColBodyBytes:   {least: 1, most: maxUsableCount},
		ColTimeout:     {least: 1, most: maxUsableMillis},
		ColIdle:        {least: 1, most: maxUsableMillis},
	},
}

// Adjustment is a cell whose value is outside of the usable range, and the value that is used in its place.
type Adjustment struct {
	Row    RowKey
	Column Column
	Value  float64
	// Used is empty if the default of the column is used.
	Used string
}

// Cells collects the cells of one row from numbers and texts of any value.
type Cells struct {
	Key      RowKey
	Cells    map[Column]string
	Adjusted []Adjustment
}

// NewCells returns an empty row.
func NewCells(kind Kind, name string) *Cells {
	return &Cells{Key: RowKey{Kind: kind, Name: name}, Cells: make(map[Column]string)}
}

// Text sets a cell. An empty text leaves the cell empty.
func (c *Cells) Text(column Column, value string) {
	if value != "" {
		c.Cells[column] = value
	}
}

// Whole sets a cell to the nearest usable integer. 0 leaves the cell empty, which stands for the column's default.
func (c *Cells) Whole(column Column, value float64) {
	c.number(column, value, math.Floor(value+0.5))
}

// WholeUpTo is like Whole, for a column of which values above a bound are not used here.
func (c *Cells) WholeUpTo(column Column, value, most float64) {
	if value > most {
		text := strconv.FormatFloat(most, 'f', -1, 64)
		c.Cells[column] = text
		c.Adjusted = append(c.Adjusted, Adjustment{Row: c.Key, Column: column, Value: value, Used: text})
		return
	}
	c.Whole(column, value)
}

// Decimal sets a cell to the nearest usable number. 0 leaves the cell empty.
func (c *Cells) Decimal(column Column, value float64) { c.number(column, value, value) }

// Rank sets a cell to the nearest usable integer, of which 0 is one.
func (c *Cells) Rank(column Column, value float64) {
	c.Cells[column] = c.fit(column, value, math.Floor(value+0.5))
}

func (c *Cells) number(column Column, value, rounded float64) {
	switch {
	case value == 0:
	case value < 0:
		c.Adjusted = append(c.Adjusted, Adjustment{Row: c.Key, Column: column, Value: value})
	default:
		c.Cells[column] = c.fit(column, value, rounded)
	}
}

// fit returns the usable number that is nearest to a rounded value, as the text of a cell.
func (c *Cells) fit(column Column, value, rounded float64) string {
	bounds := usable[c.Key.Kind][column]
	used := min(max(rounded, bounds.least), bounds.most)
	text := strconv.FormatFloat(used, 'f', -1, 64)
	if used != rounded {
		c.Adjusted = append(c.Adjusted, Adjustment{Row: c.Key, Column: column, Value: value, Used: text})
	}
	return text
}

// NewUsable returns a table of the rows that can be used, all at the given revision, and the reasons for which the others are
// left out. Other than New, it checks numbers by what the code can use.
func NewUsable(revision uint64, rows map[RowKey]map[Column]string) (*Table, []*CellError) {
	t := &Table{Revision: revision, rows: make(map[RowKey]Row, len(rows))}
	for key, cells := range rows {
		t.rows[key] = Row{Cells: cells, Revision: revision}
	}
	var leftOut []*CellError
	// A row that is left out may leave another one without the row that it refers to.
	for left := -1; left != len(leftOut); {
		left = len(leftOut)
		for _, kind := range Kinds {
			for _, key := range t.Keys(kind) {
				if failed := t.checkRow(key, usableCheck); failed != nil {
					delete(t.rows, key)
					leftOut = append(leftOut, failed)
				}
			}
		}
	}
	return t, leftOut
}

// usableCheck returns the check of a column by what the code can use.
func usableCheck(kind Kind, s columnSpec) cellCheck {
	if bounds, numeric := usable[kind][s.column]; numeric {
		return bounds.check
	}
	if s.column == ColSplit {
		return checkAnySplit
	}
	return s.check
}

func (s span) check(value string) error {
	n, err := strconv.ParseFloat(value, 64)
	if _, notWhole := strconv.Atoi(value); err != nil || (!s.decimal && notWhole != nil) {
		return errors.Errorf("%q is not such a number", value)
	}
	if !(n >= s.least && n <= s.most) {
		return errors.Errorf("%v is outside %v to %v", n, s.least, s.most)
	}
	return nil
}
