package route

// NotReadingFilter drops servers that have prompt tokens left to read.
type NotReadingFilter struct{}

// Name implements Filter.
func (NotReadingFilter) Name() string { return "reading" }

// Keep implements Filter.
func (NotReadingFilter) Keep(_ *Query, c Candidate) bool { return c.Server.WaitingTokens() == 0 }
