package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxForecasts is the largest number of engines for which one decision makes a forecast. A
	// forecast takes some 5 microseconds, and the smallest instances have 0.144 of a core, so 300
	// engines would take 10 ms. All instances see about the same free memory, so that a much smaller
	// number would send a burst to the same few engines.
	MaxForecasts = 32

	// forecastDrop names the check that drops engines whose memory the forecast expects to overflow,
	// and lessFreeDrop the one that drops engines for which no forecast is made.
	forecastDrop = "forecast"
	lessFreeDrop = "less_free"
)

// dropByForecast sets DroppedBy for the engines that the forecast does not admit. It makes a forecast
// only for the MaxForecasts engines with the most free memory.
func dropByForecast(q *Query, passed []ScoredCandidate) {
	most := MostFree(q.RequestID, passed, MaxForecasts)
	for _, i := range most {
		c := passed[i].Candidate
		if c.Backend.MemoryTokens > 0 && !q.Forecast.Admission(c).Fits {
			passed[i].DroppedBy = forecastDrop
		}
	}
	if len(most) == len(passed) {
		return
	}
	slices.Sort(most)
	for i := range passed {
		if _, found := slices.BinarySearch(most, i); !found {
			passed[i].DroppedBy = lessFreeDrop
		}
	}
}

// MostFree returns the indices of the candidates with the most free memory, by FreeTokens, at most
// limit. Among equally free ones, different requests get different ones, so that requests at idle
// engines do not all go to the same few.
func MostFree(requestID string, of []ScoredCandidate, limit int) []int {
	most := make([]int, len(of))
	if len(of) == 0 {
		return most
	}
	first := int(xxhash.Sum64String(requestID) % uint64(len(of)))
	for i := range most {
		most[i] = (first + i) % len(of)
	}
	if len(of) <= limit {
		return most
	}
	free := make([]int, len(of))
	for i, candidate := range of {
		free[i] = FreeTokens(candidate.Candidate)
	}
	slices.SortStableFunc(most, func(a, b int) int { return cmp.Compare(free[b], free[a]) })
	return most[:limit]
}
