package load

import (
	"github.com/mastwheel/mastwheel/reason"
)

// Summary is a report in a few figures.
type Summary struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Goodput is the share of model requests, early leavers left out, that were
	// done within both targets; GoodputPerSecond is their rate.
	Goodput          float64 `json:"goodput"`
	GoodputPerSecond float64 `json:"goodput_per_s"`
	FirstTokenP95    float64 `json:"ttft_p95_ms"`
	BetweenP95       float64 `json:"tbt_p95_ms"`
	CallP95          float64 `json:"call_p95_ms"`
	// Left counts the callers that went away by themselves.
	Left    int                   `json:"left"`
	Reasons map[reason.Reason]int `json:"reasons"`
}

// p95 is the quantile of the targets: "for 95 in 100".
const p95 = 95

// Summary sums a report up.
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
