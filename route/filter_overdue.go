package route

import (
	"time"

	"github.com/mastwheel/mastwheel/speed"
)

// OverdueFilter drops servers that have sent nothing for far longer than they usually need for
// the work that they have, until they answer. It applies where the speeds of the service's
// servers differ.
type OverdueFilter struct{ Kind speed.Kind }

const (
	// overdueReads and overdueCalls are how many times longer than estimated an answer must
	// take. A prefill engine that is slow for a moment takes 2.5 times longer, and some plain
	// calls take five times longer than others (source: the specification of the load).
	overdueReads = 2
	overdueCalls = 6
)

// OverdueFilterName is the name of OverdueFilter.
const OverdueFilterName = "overdue"

// Name implements Filter.
func (OverdueFilter) Name() string { return OverdueFilterName }

// Keep implements Filter.
func (f OverdueFilter) Keep(q *Query, c Candidate) bool {
	silent := c.Server.SilentFor(q.Now)
	if silent == 0 {
		return true
	}
	requests := c.Server.requests()
	perUnit, rated := c.Server.Speeds.Time(f.Kind, requests)
	if !rated {
		return true
	}
	if f.Kind == speed.Reading && c.Server.WaitingTokens() == 0 {
		// What the server has to read is not known.
		return true
	}
	if f.Kind == speed.Reading {
		return silent <= overdueReads*time.Duration(c.Server.WaitingTokens())*perUnit
	}
	return silent <= overdueCalls*time.Duration(requests)*perUnit
}
