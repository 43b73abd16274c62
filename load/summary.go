package load

import (
	"github.com/mastwheel/mastwheel/reason"
)

// Summary summarizes a report.
type Summary struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Goodput is the fraction of model requests that were done within the targets for
	// the time to first token and the time between tokens, not counting those that
	// their callers cancelled. GoodputPerSecond is the rate of these requests.
	Goodput          float64 `json:"goodput"`
	GoodputPerSecond float64 `json:"goodput_per_s"`
	FirstTokenP95    float64 `json:"ttft_p95_ms"`
	BetweenP95       float64 `json:"tbt_p95_ms"`
	CallP95          float64 `json:"call_p95_ms"`
	// Left counts the requests that their callers cancelled.
	Left    int                   `json:"left"`
	Reasons map[reason.Reason]int `json:"reasons"`
}

// p95 is the percentile to which the targets apply: they hold for 95 in 100
// requests.
const p95 = 95

// Summary returns the summary of the report.
func (r *Report) Summary() Summary {
	s := Summary{Reasons: make(map[reason.Reason]int)}
	offered, good := 0, 0
	for _, entry := range r.Entries {
		s.Requests++
		switch entry.Outcome {
		case reason.Done:
			s.Done++
		case reason.NotRun:
			s.NotRun++
		default:
			s.Unknown++
		}
		if entry.Outcome != reason.Done {
			s.Reasons[entry.Reason]++
		}
		if entry.Left {
			s.Left++
			continue
		}
		if entry.Plain {
			continue
		}
		offered++
		if entry.Good {
			good++
		}
	}
	if offered > 0 {
		s.Goodput = float64(good) / float64(offered)
		s.GoodputPerSecond = float64(good) / r.Duration.Seconds()
	}
	s.FirstTokenP95 = float64(r.FirstToken.ValueAtPercentile(p95)) / 1000
	s.BetweenP95 = float64(r.BetweenToken.ValueAtPercentile(p95)) / 1000
	s.CallP95 = float64(r.Call.ValueAtPercentile(p95)) / 1000
	return s
}
