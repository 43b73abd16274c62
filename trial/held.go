package trial

import (
	"slices"
	"time"

	"github.com/mastwheel/mastwheel/load"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/standin"
)

// HeldAfter reports how long decode memory stayed held for departed callers.
// A caller departs when it disconnects, or when its home (the instance that it is
// connected to) is killed and the connection closes.
type HeldAfter struct {
	Callers int `json:"callers"`
	// PieceSeconds is the mean per departed caller. Each memory piece (the unit of KV
	// cache memory, 2,000 tokens) counts for the seconds for which it stayed held.
	PieceSeconds float64 `json:"piece_seconds"`
	P99Millis    float64 `json:"p99_ms"`
	WorstMillis  float64 `json:"worst_ms"`
}

// heldAfter compares the callers' departures with the engines' records of held
// memory.
func (t *Trial) heldAfter(report *load.Report) HeldAfter {
	holds := make(map[uint64][]standin.Reservation)
	for _, engine := range t.env.engines {
		for _, hold := range engine.Reservations() {
			holds[hold.Prompt] = append(holds[hold.Prompt], hold)
		}
	}
	var after HeldAfter
	var releases []time.Duration
	for _, entry := range report.Entries {
		if entry.Plain || !callerGone(entry) {
			continue
		}
		after.Callers++
		release := time.Duration(0)
		for _, hold := range holds[standin.PromptHash(entry.Prompt)] {
			late := heldAfterGone(hold, entry.Ended)
			release = max(release, late)
			after.PieceSeconds += float64(hold.Pieces) * late.Seconds()
		}
		releases = append(releases, release)
	}
	if after.Callers == 0 {
		return after
	}
	slices.Sort(releases)
	after.PieceSeconds /= float64(after.Callers)
	after.P99Millis = millis(releases[(len(releases)-1)*99/100])
	after.WorstMillis = millis(releases[len(releases)-1])
	return after
}

// callerGone reports whether the caller left or lost its connection.
func callerGone(entry load.Entry) bool {
	return entry.Left || (entry.Outcome == reason.Unknown && entry.Reason == reason.AnswerLost)
}

// heldAfterGone returns how long the memory was held after the caller departed.
func heldAfterGone(hold standin.Reservation, gone time.Time) time.Duration {
	until := hold.Until
	if until.IsZero() {
		until = time.Now()
	}
	from := hold.From
	if from.Before(gone) {
		from = gone
	}
	return max(until.Sub(from), 0)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
