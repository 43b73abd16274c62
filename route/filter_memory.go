package route

// MemoryFilter drops decode engines whose total memory is too small for the request. The
// steward (the instance that grants reservations at the engine) decides whether enough of it is
// free at the moment, since the engines' reports arrive late.
type MemoryFilter struct{}

// Name implements Filter.
func (MemoryFilter) Name() string { return "memory" }

// Keep implements Filter.
func (MemoryFilter) Keep(q *Query, c Candidate) bool { return c.Backend.Pieces >= q.Pieces }
