package reason

// Reason is why a request was refused, retried, cancelled or lost.
type Reason string

// Reasons of refusals. The request did not run.
const (
	None             Reason = ""
	Malformed        Reason = "malformed"
	TooLarge         Reason = "too_large"
	UnknownService   Reason = "unknown_service"
	StaleTable       Reason = "stale_table"
	QueueFull        Reason = "queue_full"
	TeamCap          Reason = "team_cap"
	ServiceCap       Reason = "service_cap"
	NoBackend        Reason = "no_backend"
	NoDecodeMemory   Reason = "no_decode_memory"
	DeadlineTooClose Reason = "deadline_too_close"
	RetryBudget      Reason = "retry_budget"
	OperationClosed  Reason = "operation_closed"
	OperationExpired Reason = "operation_expired"
	OperationForeign Reason = "operation_foreign"
	NoWitness        Reason = "no_witness"
	Stopping         Reason = "stopping"
	UnknownKey       Reason = "unknown_key"
	OverAllotment    Reason = "over_allotment"
	// CrashesServers and ProbeUnderWay refuse only this attempt (one try of a request).
	// Earlier attempts of the same request have run.
	CrashesServers Reason = "crashes_servers"
	ProbeUnderWay  Reason = "probe_under_way"
	ServersLimited Reason = "servers_limited"
	ServersResting Reason = "servers_resting"
	ServerLeaving  Reason = "server_leaving"
	OutsideRegions Reason = "outside_regions"
	NoFreeSlot     Reason = "no_free_slot"
	// VersionGone is the reason for a stream of whose release no server is left that could continue it.
	VersionGone Reason = "version_gone"
	// VersionUnknown is the reason for a stream that its caller takes up, if no instance that answers
	// knows its release.
	VersionUnknown Reason = "version_unknown"
	// VersionNew is the reason for a new stream for which only servers of a release are left that has just
	// been registered, so that other instances may not know of it.
	VersionNew Reason = "version_new"
	// CutOff is the reason of an instance that reaches no server of the request's service.
	CutOff Reason = "cut_off"
	// MemoryFull is the reason for a request that does not fit into the instance's memory beside what it holds.
	MemoryFull Reason = "memory_full"
)

// Reasons of retries. An attempt was abandoned and another one followed.
const (
	ReserveRefused   Reason = "reserve_refused"
	StewardUnreached Reason = "steward_unreached"
	PrefillFailed    Reason = "prefill_failed"
	PrefillRefused   Reason = "prefill_refused"
	HandoffExpired   Reason = "handoff_expired"
	HandoffRefused   Reason = "handoff_refused"
	HandoffNoMemory  Reason = "handoff_no_memory"
	HandoffFailed    Reason = "handoff_failed"
	DecodeFailed     Reason = "decode_failed"
	StreamBroken     Reason = "stream_broken"
	StreamResumed    Reason = "stream_resumed"
	ConnectFailed    Reason = "connect_failed"
	BackendRefused   Reason = "backend_refused"
	BackendFailed    Reason = "backend_failed"
	EngineFull       Reason = "engine_full"
	EngineLeaving    Reason = "engine_leaving"
)

// Reasons of other ends of a request or of an attempt.
const (
	CallerGone      Reason = "caller_gone"
	AnswerLost      Reason = "answer_lost"
	WrongAnswer     Reason = "wrong_answer"
	StaleToken      Reason = "stale_token"
	AlreadyAnswered Reason = "already_answered"
)

// Info explains one reason to an operator.
type Info struct {
	Reason  Reason
	Meaning string
	// GovernedBy names the rows or columns of the operators' table, or the settings key,
	// that set the limit behind the reason.
	GovernedBy string
}

// All lists every reason with its meaning, in the order of the operators' page.
var All = []Info{
	{Malformed, "the request could not be read", "none"},
	{TooLarge, "the request is larger than limits.max_body_bytes", "limits.max_body_bytes (settings)"},
	{UnknownService, "no service row has this name", "service rows"},
	{StaleTable, "the instance has heard neither the log nor a sibling for too long", "limits.stale_after_seconds (settings)"},
	{QueueFull, "the home has no room for another operation record", "none"},
	{TeamCap, "the team has as many requests in flight as its cap allows", "team.in_flight"},
	{ServiceCap, "the service has as many requests in flight as its cap allows", "service.in_flight"},
	{NoBackend, "every backend server of the pool was filtered out", "backend.drain, pool rows"},
	{NoDecodeMemory, "no decode engine promised memory before the first-token target passed", "backend.pieces"},
	{DeadlineTooClose, "the first-token target can no longer be met", "service.ttft_ms"},
	{RetryBudget, "the retry budget of the service is spent", "service.retry_percent"},
	{OperationClosed, "the operation id was closed before the call was sent", "none"},
	{OperationExpired, "the operation id is older than its home allows", "limits.operation_seconds (settings)"},
	{OperationForeign, "the operation id names another home or an earlier incarnation", "none"},
	{NoWitness, "the witness did not acknowledge the intent, so the call was not sent", "none"},
	{Stopping, "the instance is shutting down, and could not or did not see the request to its end", "none"},
	{UnknownKey, "the caller shows no key, or one that no team of the table holds", "team.keys"},
	{OverAllotment, "the team has used what it may, over all instances", "team.rate, team.burst"},
	{CrashesServers, "three servers or more have ended under earlier attempts of the same request, or under a part of its prompt that other requests share; it is sent to none", "none"},
	{ProbeUnderWay, "servers have ended under earlier attempts of the same request, and another one is being probed, or is to be soon", "none"},
	{ServersLimited, "the servers that could take it name a rate limit for all instances together, or have just started and bear few requests, and this instance's part leaves no room now", "none"},
	{ServersResting, "the servers that could take it have turned this instance away and asked it to leave them alone for a while", "none"},
	{OutsideRegions, "no backend server is in a region where the route and the team may be served", "route.regions, team.regions"},
	{CutOff, "the instance reaches no server of the service, nor does a sibling that was asked", "none"},
	{MemoryFull, "the instance's memory has no room for the request beside what it holds for others; it was not read", "none"},
	{NoFreeSlot, "the service's servers have few slots, all instances together have as many calls there as end in time, and no slot was expected soon enough", "route.ttft_ms"},
	{VersionGone, "no server of the version that began the stream serves any more, and servers of other versions cannot continue it", "none"},
	{VersionUnknown, "the caller takes a stream up, and no instance that answered knows the version that began it", "none"},
	{VersionNew, "only servers of a version that has just been registered are left; new streams begin there once all instances can know of it", "none"},
	{ServerLeaving, "the server said that it leaves after it had been chosen", "none"},
	{ReserveRefused, "the steward had no room at the decode engine", "backend.pieces"},
	{StewardUnreached, "the steward of the decode engine did not answer", "none"},
	{PrefillFailed, "the prefill engine failed in the middle of a prefill", "none"},
	{PrefillRefused, "the prefill engine did not take the prefill", "none"},
	{HandoffExpired, "the prefill result expired before the transfer began", "none"},
	{HandoffRefused, "the decode engine did not take the transfer", "none"},
	{HandoffNoMemory, "the decode engine had no memory for the transfer", "backend.pieces"},
	{HandoffFailed, "the transfer failed or stalled", "none"},
	{DecodeFailed, "the decode engine did not begin the stream", "none"},
	{StreamBroken, "the decode stream ended before its last token", "none"},
	{StreamResumed, "a broken stream was taken up again at the same engine", "none"},
	{ConnectFailed, "no connection to the backend server; no byte was sent", "none"},
	{BackendRefused, "the backend server said that it did not run the request", "none"},
	{BackendFailed, "the backend server answered with an error of its own", "route.attempts"},
	{EngineFull, "a stream went on at another engine since its own had no memory left", "none"},
	{EngineLeaving, "a stream went on at another engine since its own is leaving", "none"},
	{CallerGone, "the caller closed its connection", "none"},
	{AnswerLost, "a byte reached the backend server and no whole answer came back", "none"},
	{WrongAnswer, "an answer carried another request id or attempt and was dropped", "none"},
	{StaleToken, "a token position was already delivered and was dropped", "none"},
	{AlreadyAnswered, "the operation was already answered; the caller learns its outcome only", "none"},
}
