package route

// RoomFilter drops decode engines that would have too little KV memory left with the
// request, by the commitments (the requests and memory assigned to servers) of this
// instance and its siblings. If the query has a forecast, it drops those that have too little for the
// request's start. dropByForecast decides on the others after all filters.
type RoomFilter struct{}

// roomFilterName is the name of RoomFilter.
const roomFilterName = "room"

// Name implements Filter.
func (RoomFilter) Name() string { return roomFilterName }

// Keep implements Filter.
func (RoomFilter) Keep(q *Query, c Candidate) bool {
	if c.Backend.MemoryTokens == 0 {
		// The size is unknown. The engine itself decides whether the request fits.
		return true
	}
	if q.Forecast != nil {
		// The forecast takes some 5 microseconds for an engine, so engines that are too full even for
		// the start of the request are dropped without it.
		return FreeTokens(c) >= q.Forecast.StartTokens()
	}
	left := FreeTokens(c) - q.MemoryTokens
	return float64(left) >= q.Spare*float64(c.Backend.MemoryTokens)
}
