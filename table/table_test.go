package table

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const smallTable = `
[pool.read]
role = "prefill"
[pool.write]
role = "decode"
[service.dossier]
type = "model"
model = "dossier"
prefill_pool = "read"
decode_pool = "write"
ttft_ms = 900
[backend.read-1]
pool = "read"
address = "10.0.0.1:80"
zone = "sabana"
`

func mustParse(t *testing.T, text string) *Table {
	t.Helper()
	parsed, err := ParseTOML([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestTOML(t *testing.T) {
	Convey("A table round-trips through TOML and JSON", t, func() {
		first := mustParse(t, smallTable)
		text, err := first.TOML()
		So(err, ShouldBeNil)
		So(mustParse(t, string(text)).Hash(), ShouldEqual, first.Hash())

		encoded, err := json.Marshal(first)
		So(err, ShouldBeNil)
		second := &Table{}
		So(json.Unmarshal(encoded, second), ShouldBeNil)
		So(second.Hash(), ShouldEqual, first.Hash())
	})
	Convey("An error names the row and the column", t, func() {
		faults := map[string]string{
			strings.Replace(smallTable, `"10.0.0.1:80"`, `"host:80"`, 1):  "row backend.read-1, column address",
			strings.Replace(smallTable, `900`, `0`, 1):                    "row service.dossier, column ttft_ms",
			strings.Replace(smallTable, `"write"`, `"wrote"`, 1):          `row service.dossier, column decode_pool: no pool row named "wrote"`,
			strings.Replace(smallTable, `ttft_ms`, `ttf_ms`, 1):           "row service.dossier, column ttf_ms: no such column",
			strings.Replace(smallTable, `[pool.write]`, `[pul.write]`, 1): `unknown kind "pul"`,
			smallTable + "x": "line 16",
		}
		for text, want := range faults {
			_, err := ParseTOML([]byte(text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
	Convey("The compiled view resolves pools and defaults", t, func() {
		view := mustParse(t, smallTable).Compile()
		service := view.Models["dossier"]
		So(service.TTFT.Milliseconds(), ShouldEqual, 900)
		So(service.TBT, ShouldEqual, defaultTBT)
		So(service.Prefill, ShouldHaveLength, 1)
		So(service.Prefill[0].Role, ShouldEqual, RolePrefill)
	})
}

func shareEdit(id string, base uint64, row, value string) Edit {
	key := RowKey{Kind: Team, Name: row}
	return Edit{
		ID: id, Base: base, Author: "ana", Reason: "test",
		Changes: []Change{{Row: key, Column: ColShare, Value: value}},
	}
}

func encodeEdit(e Edit) []byte {
	encoded, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return encoded
}

func TestFoldConflicts(t *testing.T) {
	Convey("The first of two edits of one row with the same base is accepted", t, func() {
		fold := NewFold()
		So(fold.Add(1, encodeEdit(shareEdit("a", 0, "counter", "2"))), ShouldBeNil)
		So(fold.Add(2, encodeEdit(shareEdit("b", 0, "counter", "3"))), ShouldBeNil)
		So(fold.Add(3, encodeEdit(shareEdit("c", 0, "dealer", "4"))), ShouldBeNil)
		So(fold.Add(4, encodeEdit(shareEdit("a", 3, "counter", "9"))), ShouldBeNil)
		So(fold.Add(5, []byte("not json")), ShouldBeNil)

		second, _ := fold.Verdict("b")
		So(second.Accepted, ShouldBeFalse)
		So(second.Why, ShouldContainSubstring, "row team.counter: changed at revision 1")
		other, _ := fold.Verdict("c")
		So(other.Accepted, ShouldBeTrue)
		counter, _ := fold.Table().Row(RowKey{Team, "counter"})
		So(counter.Cells[ColShare], ShouldEqual, "2")
		So(fold.Next(), ShouldEqual, 6)
	})
	Convey("A gap in the offsets is an error and changes nothing", t, func() {
		fold := NewFold()
		So(fold.Add(2, encodeEdit(shareEdit("a", 0, "counter", "2"))), ShouldNotBeNil)
		So(fold.Next(), ShouldEqual, 1)
	})
	Convey("A conflict is a typed error", t, func() {
		fold := NewFold()
		So(fold.Add(1, encodeEdit(shareEdit("a", 0, "counter", "2"))), ShouldBeNil)
		_, err := fold.Table().Apply(shareEdit("b", 0, "counter", "3"), 2)
		var conflict *ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Revision, ShouldEqual, 1)
	})
}

// TestFoldIsDeterministic checks that records delivered in any order, with duplicates
// and restarts from a snapshot, lead to the same table as in-order delivery, and that
// the revision never decreases.
func TestFoldIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "records")
		records := make([][]byte, count)
		for i := range records {
			e := shareEdit(
				rapid.StringMatching(`[a-f]`).Draw(t, "id"), uint64(rapid.IntRange(0, i+1).Draw(t, "base")),
				rapid.SampledFrom([]string{"counter", "dealer"}).Draw(t, "row"), rapid.StringMatching(`[0-9]{1,2}`).Draw(t, "value"),
			)
			records[i] = encodeEdit(e)
		}
		straight := NewFold()
		for i, data := range records {
			if err := straight.Add(uint64(i+1), data); err != nil {
				t.Fatal(err)
			}
		}
		other := NewFold()
		revision := uint64(0)
		for other.Next() <= uint64(count) {
			offset := uint64(rapid.IntRange(1, count).Draw(t, "delivered"))
			other.Add(offset, records[offset-1])
			if now := other.Table().Revision; now < revision {
				t.Fatalf("revision decreased from %d to %d", revision, now)
			}
			revision = other.Table().Revision
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				other = restoreFrom(t, other)
			}
			other.Add(other.Next(), records[min(int(other.Next()), count)-1])
		}
		if straight.Table().Hash() != other.Table().Hash() {
			t.Fatal("tables differ")
		}
	})
}

// restoreFrom returns a new fold that is restored from a snapshot of from.
func restoreFrom(t *rapid.T, from *Fold) *Fold {
	snapshot, err := from.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fold := NewFold()
	if err := fold.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return fold
}
