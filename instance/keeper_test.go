package instance

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// TestViewNeverAheadOfFleet checks that a reader who sees a row in the view
// finds its server, at any moment of a change.
func TestViewNeverAheadOfFleet(t *testing.T) {
	fleet := route.NewFleet()
	state := newTableState(fleet)
	stop := make(chan struct{})
	failed := make(chan string, 1)
	go func() {
		defer close(failed)
		for {
			for name := range state.View().Backends {
				if fleet.Server(name) == nil {
					failed <- name
					return
				}
			}
			select {
			case <-stop:
				return
			default:
			}
		}
	}()
	for n := range 300 {
		if err := state.apply(uint64(n+1), [][]byte{backendRecord(t, n)}); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	if name, seen := <-failed; seen {
		t.Fatalf("row %s is in the view but has no server", name)
	}
}

func backendRecord(t *testing.T, n int) []byte {
	t.Helper()
	pool := table.RowKey{Kind: table.Pool, Name: "desk"}
	row := table.RowKey{Kind: table.Backend, Name: fmt.Sprint("desk-", n)}
	record, err := json.Marshal(table.Edit{ID: fmt.Sprint(n), Base: uint64(n), Author: "ana", Reason: "grow", Changes: []table.Change{
		{Row: pool, Column: table.ColRole, Value: table.RolePlain},
		{Row: row, Column: table.ColPool, Value: "desk"},
		{Row: row, Column: table.ColAddress, Value: fmt.Sprintf("10.0.0.1:%d", n+1)},
		{Row: row, Column: table.ColZone, Value: "sabana"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return record
}
