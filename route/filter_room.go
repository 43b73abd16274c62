package route

// RoomFilter drops decode engines that would not have enough KV memory left
// with the request, by what this instance and its siblings have committed
// there.
type RoomFilter struct{}

// filteredRoom names RoomFilter.
const filteredRoom = "room"

// Name implements Filter.
func (RoomFilter) Name() string { return filteredRoom }

// Keep implements Filter.
func (RoomFilter) Keep(q *Query, c Candidate) bool {
	if c.Backend.MemoryTokens == 0 {
		// Not known: the engine itself has the last word.
		return true
	}
	left := FreeTokens(c) - q.MemoryTokens
	return float64(left) >= q.Spare*float64(c.Backend.MemoryTokens)
}
