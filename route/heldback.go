package route

import (
	"time"

	"github.com/mastwheel/mastwheel/reason"
)

// BackpressureRefusal returns why a selection found no server, if the only cause is that healthy
// servers do not accept the work now by their reported limits or backoffs. It returns
// the reason of the server that will accept the work first and the time until then,
// or reason.None if there is another cause.
func BackpressureRefusal(q *Query, rated []ScoredCandidate) (refusal reason.Reason, wait time.Duration) {
	for _, candidate := range rated {
		filterReason := reasonByFilter[candidate.DroppedBy]
		switch candidate.DroppedBy {
		case roomFilterName, forecastDrop, lessFreeDrop:
			// The server has too little memory at the moment. Otherwise it would
			// accept the work.
			return reason.None, 0
		}
		if filterReason == reason.None {
			continue
		}
		if roomIn := candidate.Server.Pressure.Delay(q.Work, q.Now); refusal == reason.None || roomIn < wait {
			refusal, wait = filterReason, roomIn
		}
	}
	return refusal, wait
}

// reasonByFilter is the reason to refuse a request, by the filter that dropped the
// servers.
var reasonByFilter = map[string]reason.Reason{
	limitFilterName:   reason.ServersLimited,
	backoffFilterName: reason.ServersResting,
}
