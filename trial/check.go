package trial

import (
	"fmt"

	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/reason"
)

// Violation is one broken promise, found in the ledgers.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// Promises that are checked.
const (
	promiseOnce      = "a non-idempotent call runs at most once"
	promiseNotRun    = "what is told not run did not run"
	promiseDone      = "what is told done ran"
	promiseWhole     = "each caller receives the whole answer to its own request"
	promiseReleased  = "no decode memory stays held for a caller that has gone"
	promiseSameTable = "an accepted change is in force everywhere"
)

// check compares the callers' ledger with those of the stand-ins.
func (t *Trial) check(report *load.Report) []Violation {
	var found []Violation
	note := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	runs := t.world.plain.Runs()
	for operation, n := range runs {
		if isOperation(operation) && n > 1 {
			note(promiseOnce, "%s ran %d times", operation, n)
		}
	}
	for _, entry := range report.Entries {
		if entry.Wrong {
			note(promiseWhole, "request %s (%s)", entry.RequestID, entry.Outcome)
		}
		t.checkEntry(entry, runs, note)
	}
	if held := t.world.heldPieces(); held > 0 {
		note(promiseReleased, "%d pieces held after the traffic", held)
	}
	t.checkTables(note)
	return found
}

// isOperation tells an operation id from the target of a call without one.
func isOperation(name string) bool { return len(name) > 3 && name[:3] == "m1~" }

func (t *Trial) checkEntry(entry load.Entry, runs map[string]int, note func(string, string, ...any)) {
	switch {
	case entry.Operation != "" && entry.Outcome == reason.NotRun && runs[entry.Operation] > 0:
		note(promiseNotRun, "operation %s ran", entry.Operation)
	case entry.Operation != "" && entry.Outcome == reason.Done && runs[entry.Operation] == 0:
		note(promiseDone, "operation %s did not run", entry.Operation)
	case !entry.Plain && entry.Outcome == reason.NotRun && entry.RequestID != "" && t.world.ran(entry.RequestID):
		note(promiseNotRun, "request %s (%s) ran", entry.RequestID, entry.Reason)
	}
}

// checkTables compares the tables of all instances.
func (t *Trial) checkTables(note func(string, string, ...any)) {
	hashes := make(map[uint64][]string)
	for _, n := range t.running() {
		hash := n.daemon.Instance.Table().Hash()
		hashes[hash] = append(hashes[hash], n.name)
	}
	if len(hashes) > 1 {
		note(promiseSameTable, "tables differ: %v", hashes)
	}
}
