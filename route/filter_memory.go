package route

// MemoryFilter drops decode engines that could never hold the request. What
// is free at the moment is the steward's question, since reports lag.
type MemoryFilter struct{}

// Name implements Filter.
func (MemoryFilter) Name() string { return "memory" }

// Keep implements Filter.
func (MemoryFilter) Keep(q *Query, c Candidate) bool { return c.Backend.Pieces >= q.Pieces }
