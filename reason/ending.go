package reason

// Ending is what ended a request that did not get the whole answer of a backend server.
type Ending string

// Endings, as the log and the metrics name them.
const (
	// NotEnded is the Ending of a request that got a whole answer, or that was refused.
	NotEnded Ending = ""
	// EndedByServer means that the server, or the connection to it, failed.
	EndedByServer Ending = "server"
	// EndedByDeadline means that the instance ended the request at its caller's deadline or its route's timeout.
	EndedByDeadline Ending = "deadline"
	// EndedByCaller means that the caller disconnected.
	EndedByCaller Ending = "caller"
	// EndedByMove means that the instance had a stream stopped for a move, and it did not go on.
	EndedByMove Ending = "move"
	// EndedByStall means that the instance ended a silent run to continue the stream elsewhere, and it did not go on.
	EndedByStall Ending = "stall"
	// EndedBySibling means that the sibling to which the request was handed over, or the connection to it, failed.
	EndedBySibling Ending = "sibling"
	// EndedByStop means that the instance ended the request as its own graceful shutdown ended.
	EndedByStop Ending = "stop"
)

// Endings lists all endings but NotEnded.
func Endings() []Ending {
	return []Ending{EndedByServer, EndedByDeadline, EndedByCaller, EndedByMove, EndedByStall, EndedBySibling, EndedByStop}
}
