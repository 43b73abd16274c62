package trial

import (
	"fmt"
	"strings"
	"time"

	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/reason"
)

// Violation is one broken guarantee that the ledgers show.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// Guarantees that each trial checks.
const (
	promiseOnce      = "a non-idempotent call runs at most once"
	promiseNotRun    = "what is told not run did not run"
	promiseDone      = "what is told done ran"
	promiseWhole     = "each caller receives the whole answer to its own request"
	promiseReleased  = "no decode memory stays held for a caller that has gone"
	promiseLeaving   = "a backend server that is leaving receives no new work after a few seconds"
	promiseDrain     = "a planned stop cuts off no request in flight"
	promiseSameTable = "an accepted change is in force everywhere"
	promiseReady     = "each instance serves and knows the others soon after its start"
)

// check compares the callers' ledger (which answers they received) with the
// ledgers of the stand-ins (which requests they ran).
func (t *Trial) check(report *load.Report, held HeldAfter) []Violation {
	var found []Violation
	note := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	runs := t.env.plain.Runs()
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
	if left := t.env.heldPieces(); left > 0 {
		note(promiseReleased, "%d pieces held after the traffic: %s", left, t.heldBy())
	}
	if bound := t.releaseBound(); held.WorstMillis > millis(bound) {
		note(promiseReleased, "held for %.0f ms after the caller had gone, over the bound of %s", held.WorstMillis, bound)
	}
	for name, engine := range t.env.engines {
		if late := engine.Ledger().LateOrders; late > 0 {
			note(promiseLeaving, "%s was sent %d orders", name, late)
		}
	}
	if t.onlyPlannedFaults() {
		t.checkInterrupted(report, note)
	}
	t.checkTables(note, startTimeout)
	return found
}

const (
	// releaseBoundHomeAlive bounds the time to release memory while the caller's home
	// (the instance that the caller is connected to) runs.
	releaseBoundHomeAlive = time.Second
	// releaseBoundHomeDown bounds the time to release memory when the home is killed or
	// suspended, and when engines are temporarily unreachable.
	releaseBoundHomeDown = releaseTimeout
)

// releaseBound returns the bound on the time to release memory under the
// trial's faults.
func (t *Trial) releaseBound() time.Duration {
	for _, fault := range t.options.Faults {
		if fault.slowsRelease {
			return releaseBoundHomeDown
		}
	}
	return releaseBoundHomeAlive
}

// onlyPlannedFaults reports whether the trial injects planned stops only.
func (t *Trial) onlyPlannedFaults() bool {
	for _, fault := range t.options.Faults {
		if !fault.planned {
			return false
		}
	}
	return len(t.options.Faults) > 0
}

// checkInterrupted reports each request that a planned stop interrupted.
func (t *Trial) checkInterrupted(report *load.Report, note func(string, string, ...any)) {
	for _, entry := range report.Entries {
		if entry.Outcome == reason.Unknown && !entry.Left {
			note(promiseDrain, "request %q ended %s (%s)", entry.RequestID, entry.Outcome, entry.Reason)
		}
	}
}

// heldBy lists the requests for which engines hold memory, with their homes.
func (t *Trial) heldBy() string {
	var held []string
	for name, engine := range t.env.engines {
		for _, h := range engine.Ledger().HeldRequests {
			held = append(held, fmt.Sprintf("%s at %s for home %s", h.RequestID, name, h.Home))
		}
	}
	return strings.Join(held, ", ")
}

// isOperation reports whether a name is an operation ID, which identifies a
// non-idempotent call. A call without one is recorded under its target.
func isOperation(name string) bool { return len(name) > 3 && name[:3] == "m1~" }

func (t *Trial) checkEntry(entry load.Entry, runs map[string]int, note func(string, string, ...any)) {
	switch {
	case entry.Operation != "" && entry.Outcome == reason.NotRun && runs[entry.Operation] > 0:
		note(promiseNotRun, "operation %s ran", entry.Operation)
	case entry.Operation != "" && entry.Outcome == reason.Done && runs[entry.Operation] == 0:
		note(promiseDone, "operation %s did not run", entry.Operation)
	case !entry.Plain && entry.Outcome == reason.NotRun && entry.RequestID != "" && t.env.ran(entry.RequestID):
		note(promiseNotRun, "request %s (%s) ran", entry.RequestID, entry.Reason)
	}
}

// checkTables compares the tables of the instances. An instance that a fault replaced at
// the end of the trial reads its table first, for as long as any start may take. One that is
// not ready by then has no table to compare.
func (t *Trial) checkTables(note func(string, string, ...any), within time.Duration) {
	if err := t.awaitReady(within); err != nil {
		note(promiseReady, "%v", err)
		return
	}
	hashes := make(map[uint64][]string)
	for _, n := range t.running() {
		hash := n.daemon.Instance.Table().Hash()
		hashes[hash] = append(hashes[hash], n.name)
	}
	if len(hashes) > 1 {
		note(promiseSameTable, "tables differ: %v", hashes)
	}
}
