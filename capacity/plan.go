package capacity

import (
	"math"

	"github.com/mastwheel/mastwheel/cell"
)

// Size is the size of a deployment. Rates are peak rates per second.
type Size struct {
	Name      string
	Instances float64
	Workers   float64
	// HeldPerWorker is the number of requests that a decode engine holds.
	HeldPerWorker float64
	Requests      float64
	Tokens        float64
	Teams         float64
	Models        float64
	Regions       float64
	Zones         float64
	// Changes is the number of configuration changes per day.
	Changes float64
	// Replaced is the number of instances replaced per day, Failed the number
	// of instances that fail per day.
	Replaced float64
	Failed   float64
	// KVBytes is the total size of the prompts' KV caches per second.
	KVBytes float64
	// OnceCalls is the fraction of requests that carry an operation ID, because
	// they must run at most once.
	OnceCalls float64
}

// Today is the current size of one reference deployment: 8 instances and 12 backend
// servers, with the sample traffic of the local trial.
var Today = Size{
	Name: "today", Instances: 8, Workers: 12, HeldPerWorker: 20, Requests: 24, Tokens: 1350, Teams: 3, Models: 1,
	Regions: 1, Zones: 3, Changes: 20, Replaced: 8, Failed: 0.5, KVBytes: 14 * 295e6, OnceCalls: 0.2,
}

// Full is the size that the system is designed for. It is the reference
// workload's plan for the next two years.
var Full = Size{
	Name: "full size", Instances: 1400, Workers: 10_000, HeldPerWorker: 20, Requests: 78_000, Tokens: 19e6, Teams: 15_000,
	Models: 6, Regions: 3, Zones: 8, Changes: 11_000, Replaced: 980, Failed: 81, KVBytes: 23_000e9, OnceCalls: 0.2,
}

// Budgets of one instance for control traffic.
const (
	// budgetBytesPerSecond is 20 KB per second, sent and received together.
	budgetBytesPerSecond = 20_000
	// budgetCPUNanosPerSecond is 2.5% of a core, in nanoseconds per second.
	budgetCPUNanosPerSecond = 25e6
)

// Design parameters that the calculation uses.
const (
	heartbeatsPerSecond = 1
	pollsPerSecond      = 4
	// leaseSeconds is the interval at which a cell (a group of instances that know
	// each other fully) renews the lease on its orders to engines.
	leaseSeconds  = 8
	secondsPerDay = 86_400
	// listSeconds is the interval at which an instance of a large region reads
	// the instance list.
	listSeconds = 5
	// listEntryBytes is the size of an instance list entry as JSON.
	listEntryBytes = 90
	// operationSeconds is how long an operation is remembered: its lifetime of
	// two minutes and one more minute at the witness (the instance in another zone
	// that acknowledges the intent).
	operationSeconds = 180
	// tracesKept is the number of request traces that each instance keeps for
	// operators.
	tracesKept = 2000
)

// Plan calculates the costs of one size from the slopes.
type Plan struct {
	Size
	slopes map[string]Slope
}

func newPlan(size Size, slopes []Slope) Plan {
	p := Plan{Size: size, slopes: make(map[string]Slope, len(slopes))}
	for _, s := range slopes {
		p.slopes[s.Name] = s
	}
	return p
}

// Slope returns the measured slope with the given name.
func (p Plan) Slope(name string) Slope {
	s, ok := p.slopes[name]
	if !ok {
		panic("capacity: no slope " + name)
	}
	return s
}

// Cells returns the number of cells. A small region has one cell. Otherwise each
// zone has as many cells as give the configured mean size.
func (p Plan) Cells() float64 {
	config := cell.DefaultConfig()
	if p.Instances <= float64(config.MaxUndivided) {
		return 1
	}
	return p.Zones * float64(config.Count(int(math.Ceil(p.Instances/p.Zones))))
}

// Members returns the number of siblings with which an instance exchanges
// heartbeats: the siblings in its cell, its contacts in the other zones of its
// region, and the siblings that selected it as a contact.
func (p Plan) Members() float64 {
	if p.Cells() == 1 {
		return p.Instances - 1
	}
	otherZones := p.Zones/p.Regions - 1
	return p.Cell() - 1 + 2*otherZones*float64(cell.DefaultConfig().Contacts)
}

// Cell returns the number of instances in a cell.
func (p Plan) Cell() float64 { return p.Instances / p.Cells() }

// CellWorkers returns the number of backend servers in a cell.
func (p Plan) CellWorkers() float64 { return p.Workers / p.Cells() }

// OwnWorkers returns the number of backend servers of which one instance is the
// steward (the instance that grants reservations at an engine).
func (p Plan) OwnWorkers() float64 { return p.Workers / p.Instances }

// PoolSize returns the number of candidates of one placement decision. These are
// a cell's engines of one model, about half of which are in each of the two
// pools.
func (p Plan) PoolSize() float64 { return p.CellWorkers() / p.Models / 2 }

// OwnRequests returns the requests per second for which an instance is the home (the
// instance that the caller is connected to).
func (p Plan) OwnRequests() float64 { return p.Requests / p.Instances }

// OwnTokens returns the tokens that one instance relays per second.
func (p Plan) OwnTokens() float64 { return p.Tokens / p.Instances }

// AnswerTokens returns the mean length of an answer, in tokens.
func (p Plan) AnswerTokens() float64 { return p.Tokens / p.Requests }

// MeshBytes returns the bytes per second for membership in a cell.
func (p Plan) MeshBytes() float64 { return heartbeatsPerSecond * p.Slope("mesh_bytes").At(p.Members()) }

// ListBytes returns the bytes per second for reading the instance list. Every
// five seconds an instance reads the list of its own zone, the list of one other
// zone in turn, and the names of the zones. An entry as JSON is about 90 bytes.
func (p Plan) ListBytes() float64 {
	return 2 * p.Instances / p.Zones * listEntryBytes / listSeconds
}

// MeshCPU returns the processor time for membership in a cell, in nanoseconds
// per second.
func (p Plan) MeshCPU() float64 { return heartbeatsPerSecond * p.Slope("mesh_cpu").At(p.Members()) }

// FullMeshBytes returns the bytes per second that membership would take without
// cells.
func (p Plan) FullMeshBytes() float64 {
	return heartbeatsPerSecond * p.Slope("mesh_bytes").At(p.Instances-1)
}

// queriesPerRequest is the number of queries to stewards per request: one for a
// turn at a prefill engine and one for memory at a decode engine. The two
// releases have no answer and together count as one more.
const queriesPerRequest = 3

// ReserveRate returns the queries per second that an instance sends to stewards.
// As a steward it answers the same number.
func (p Plan) ReserveRate() float64 {
	return queriesPerRequest * p.OwnRequests() * (1 - 1/p.Cell())
}

// ReserveBytes returns the bytes per second for reservations, as home and as steward.
func (p Plan) ReserveBytes() float64 { return 2 * p.ReserveRate() * p.Slope("call_bytes").Each }

// ReserveCPU returns the processor time for reservations, as home and as steward,
// in nanoseconds per second. The slope includes both ends of a query.
func (p Plan) ReserveCPU() float64 { return p.ReserveRate() * p.Slope("call_cpu").Each }

// WitnessBytes returns the bytes per second for intents, as home and as witness.
func (p Plan) WitnessBytes() float64 { return p.OnceCalls * p.ReserveBytes() / queriesPerRequest }

// WitnessCPU returns the processor time for intents, as home and as witness, in
// nanoseconds per second.
func (p Plan) WitnessCPU() float64 { return p.OnceCalls * p.ReserveCPU() / queriesPerRequest }

// PollCPU returns the processor time for the load reports that a steward polls,
// at both endpoints, in nanoseconds per second.
func (p Plan) PollCPU() float64 {
	return pollsPerSecond * p.OwnWorkers() * p.Slope("poll_cpu").At(p.HeldPerWorker)
}

// DecideCPU returns the processor time for the placement of a request at a prefill
// and at a decode engine, in nanoseconds.
func (p Plan) DecideCPU() float64 { return 2 * p.Slope("decide_cpu").At(p.PoolSize()) }

// RequestCPU returns the processor time of the router for one request, in
// nanoseconds.
func (p Plan) RequestCPU() float64 { return p.Slope("request_cpu").At(p.AnswerTokens()) }

// RelayCPU returns the processor time of the router for all requests of an
// instance, in nanoseconds per second.
func (p Plan) RelayCPU() float64 { return p.OwnRequests() * p.RequestCPU() }

// Rows returns the number of rows of the table.
func (p Plan) Rows() float64 { return p.Workers + p.Teams + 4*p.Models }

// FoldCPU returns the processor time to apply and compile one configuration
// record, in nanoseconds.
func (p Plan) FoldCPU() float64 {
	return p.Slope("fold_cpu").At(p.Rows()) + p.Slope("compile_cpu").At(p.Rows())
}

// ChangesPerSecond returns the mean rate of configuration changes. The peak is
// assumed to be twenty times the mean.
func (p Plan) ChangesPerSecond() float64 { return p.Changes / secondsPerDay }

// FoldLoad returns the mean processor time for configuration, in nanoseconds per
// second.
func (p Plan) FoldLoad() float64 { return p.ChangesPerSecond() * p.FoldCPU() }

// SnapshotBytes returns the size of a snapshot of the whole table.
func (p Plan) SnapshotBytes() float64 { return p.Slope("snapshot_bytes").At(p.Rows()) }

// EditBytes returns the size of a record that changes one cell of the table.
func (p Plan) EditBytes() float64 { return p.Slope("edit_bytes").At(1) }

// TableMemory returns the memory for the table and its view, in bytes. A change
// keeps the old and the new table and view at the same time.
func (p Plan) TableMemory() float64 { return 2 * p.Slope("table_memory").At(p.Rows()) }

// MemberMemory returns the memory for the known siblings, in bytes.
func (p Plan) MemberMemory() float64 { return p.Slope("member_memory").At(p.Members()) }

// ServerMemory returns the memory for the backend servers of the cell, in bytes.
func (p Plan) ServerMemory() float64 { return p.Slope("server_memory").At(p.CellWorkers()) }

// OperationsKept returns the number of operations remembered in both roles, home
// and witness.
func (p Plan) OperationsKept() float64 {
	return 2 * p.OnceCalls * p.OwnRequests() * operationSeconds
}

// OperationMemory returns the memory for operations as home and witness together,
// in bytes.
func (p Plan) OperationMemory() float64 { return p.Slope("operation_memory").Each * p.OperationsKept() }

// TraceMemory returns the memory for the request traces kept for operators, in
// bytes.
func (p Plan) TraceMemory() float64 { return p.Slope("trace_memory").At(tracesKept) }

// Memory returns the sum of an instance's state, in bytes.
func (p Plan) Memory() float64 {
	return p.TableMemory() + p.MemberMemory() + p.ServerMemory() + p.OperationMemory() + p.TraceMemory()
}

// SummaryBytes returns the size of a cell's summary, taken as a heartbeat with
// one load summary per model.
func (p Plan) SummaryBytes() float64 { return p.Slope("heartbeat_bytes").At(p.Models) }

// SummaryLoad returns the bytes per second of cells' summaries that one instance
// sends and receives for its cell. It sends one summary per second to every other
// cell of its region and to one cell of each other region.
func (p Plan) SummaryLoad() float64 {
	return 2 * (p.Cells()/p.Regions + p.Regions) * p.SummaryBytes()
}

// Appends returns the records appended to the log per second: configuration at
// twenty times its mean rate, one lease per cell, and one snapshot per hour.
func (p Plan) Appends() float64 {
	return 20*p.ChangesPerSecond() + p.Cells()/leaseSeconds + 1.0/3600
}

// ControlBytes returns the bytes per second for control traffic without
// reservations.
func (p Plan) ControlBytes() float64 {
	return p.MeshBytes() + p.ListBytes() + p.ChangesPerSecond()*p.EditBytes()*2
}

// ControlCPU returns the processor time for control traffic including
// reservations, in nanoseconds per second.
func (p Plan) ControlCPU() float64 {
	return p.MeshCPU() + p.ReserveCPU() + p.WitnessCPU() + p.PollCPU() + p.FoldLoad()
}

// KVPerRequest returns the bytes of KV cache per request.
func (p Plan) KVPerRequest() float64 { return p.KVBytes / p.Requests }

// KVPerCell returns the bytes of KV cache that move inside one cell per second.
func (p Plan) KVPerCell() float64 { return p.KVBytes / p.Cells() }

// KVPerWorker returns the bytes of KV cache that move into one decode engine per
// second. Half of the backend servers are decode engines.
func (p Plan) KVPerWorker() float64 { return p.KVBytes / (p.Workers / 2) }

// JoinBytes returns the bytes that a restarted instance transfers: the table, and
// a handshake with each member of the cell.
func (p Plan) JoinBytes() float64 { return p.SnapshotBytes() + handshakeBytes*(p.Cell()-1) }

// handshakeBytes estimates a QUIC handshake with two certificates as three
// datagrams of the minimum initial size, 1200 bytes, each way.
const handshakeBytes = 6 * 1200

// MeshLimit returns the cell size at which membership alone uses the byte budget.
func (p Plan) MeshLimit() float64 {
	s := p.Slope("mesh_bytes")
	return (budgetBytesPerSecond/heartbeatsPerSecond-s.Fixed)/s.Each + 1
}

// ReserveLimit returns the requests per second of one instance at which
// reservations use the rest of the byte budget after the other control traffic.
func (p Plan) ReserveLimit() float64 {
	return (budgetBytesPerSecond - p.ControlBytes()) / (2 * queriesPerRequest * p.Slope("call_bytes").Each)
}

// FoldLimit returns the number of table rows at which the mean configuration load
// uses a tenth of the processor budget.
func (p Plan) FoldLimit() float64 {
	perRow := p.Slope("fold_cpu").Each + p.Slope("compile_cpu").Each
	return budgetCPUNanosPerSecond / 10 / (p.ChangesPerSecond() * perRow)
}
