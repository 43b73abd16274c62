package table

import (
	"testing"
)

func usableRows() map[RowKey]map[Column]string {
	route := NewCells(Route, "r")
	route.Text(ColHost, "h")
	route.Text(ColPath, "/a/")
	route.Text(ColSplit, "s:100")
	route.Text(ColRepeat, RepeatSafe)
	route.Rank(ColPriority, 10)
	service := NewCells(Service, "s")
	service.Text(ColType, TypePlain)
	service.Text(ColPool, "s")
	pool := NewCells(Pool, "s")
	pool.Text(ColRole, RolePlain)
	return map[RowKey]map[Column]string{route.Key: route.Cells, service.Key: service.Cells, pool.Key: pool.Cells}
}

// Guards against instances of two versions of the software that reach different verdicts on one edit: the bounds of edits must not
// follow those of usable values.
func TestVerdictsOnEditsDoNotFollowUsableBounds(t *testing.T) {
	if _, err := New(1, usableRows()); err == nil {
		t.Error("priority 10 is accepted in an edited table")
	}
	usable, leftOut := NewUsable(1, usableRows())
	if len(leftOut) > 0 || usable.Compile().Route("h", "/a/").Priority != 10 {
		t.Errorf("%+v, left out %v", usable, leftOut)
	}
	for _, change := range []Change{
		{Row: RowKey{Kind: Route, Name: "r"}, Column: ColPriority, Value: "10"}, {Row: RowKey{Kind: Route, Name: "r"}, Column: ColTimeout, Value: "3600001"},
		{Row: RowKey{Kind: Route, Name: "r"}, Column: ColSplit, Value: `[{"Service":"a,b","Weight":1}]`},
	} {
		rows := usableRows()
		rows[RowKey{Kind: Route, Name: "r"}][ColPriority] = "1"
		edited, err := New(1, rows)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := edited.Apply(Edit{ID: "e", Base: 1, Author: "a", Changes: []Change{change}}, 2); err == nil {
			t.Errorf("%+v is accepted", change)
		}
	}
}

// Guards against a row that is left out and stays behind in rows that refer to it.
func TestRowsWithoutTheirReferencesAreLeftOut(t *testing.T) {
	rows := usableRows()
	rows[RowKey{Kind: Pool, Name: "s"}][ColRole] = "none"
	usable, leftOut := NewUsable(1, rows)
	if len(leftOut) != 2 || leftOut[0].Row.Kind != Pool || leftOut[1].Row.Kind != Service || usable.Compile().Route("h", "/a/") == nil {
		t.Errorf("left out %v", leftOut)
	}
}
