package capacity

import (
	"math"

	"github.com/mastwheel/mastwheel/cell"
)

// Size is a deployment's size. Rates are at the peak, a second.
type Size struct {
	Name      string
	Instances float64
	Workers   float64
	// HeldPerWorker is how many requests a decode engine holds.
	HeldPerWorker float64
	Requests      float64
	Tokens        float64
	Teams         float64
	Models        float64
	Regions       float64
	Zones         float64
	// Changes is configuration changes a day.
	Changes float64
	// Replaced is instances replaced a day, Failed those that fail.
	Replaced float64
	Failed   float64
	// KVBytes is what the prompts' KV caches add up to a second.
	KVBytes float64
	// OnceCalls is the part of requests that carry an operation id.
	OnceCalls float64
}

// Today is one user's deployment: the brief's 8 instances and 12 workers, at
// the sample traffic of the local trial.
var Today = Size{
	Name: "today", Instances: 8, Workers: 12, HeldPerWorker: 20, Requests: 24, Tokens: 1350, Teams: 3, Models: 1,
	Regions: 1, Zones: 3, Changes: 20, Replaced: 8, Failed: 0.5, KVBytes: 14 * 295e6, OnceCalls: 0.2,
}

// Full is the size to design for: the plan for the next two years.
var Full = Size{
	Name: "full size", Instances: 1400, Workers: 10_000, HeldPerWorker: 20, Requests: 78_000, Tokens: 19e6, Teams: 15_000,
	Models: 6, Regions: 3, Zones: 8, Changes: 11_000, Replaced: 980, Failed: 81, KVBytes: 23_000e9, OnceCalls: 0.2,
}

// Budgets of one instance for control.
const (
	// budgetBytes is 20 KB a second, both ways together.
	budgetBytes = 20_000
	// budgetCPU is 2.5% of a core, in nanoseconds a second.
	budgetCPU = 25e6
)

// Choices of the design that the arithmetic leads to.
const (
	// heartbeats and polls a second.
	heartbeatRate = 1
	pollRate      = 4
	// leaseSeconds is how often a cell renews its lease for orders.
	leaseSeconds = 8
	secondsADay  = 86_400
	// listSeconds is how often a large region reads the list.
	listSeconds = 5
	// listEntryBytes is an entry of the instance list as JSON.
	listEntryBytes = 90
	// operationSeconds is how long an operation is remembered: its life of two
	// minutes and the witness's minute.
	operationSeconds = 180
	// tracesKept is how many requests each instance keeps for operators.
	tracesKept = 2000
)

// Plan works out one size from the slopes.
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

// Slope returns a measured slope by name.
func (p Plan) Slope(name string) Slope {
	s, ok := p.slopes[name]
	if !ok {
		panic("capacity: no slope " + name)
	}
	return s
}

// Cells is the number of cells: one for a small region, else so many in each
// zone that they have the mean size.
func (p Plan) Cells() float64 {
	config := cell.DefaultConfig()
	if p.Instances <= float64(config.Most) {
		return 1
	}
	return p.Zones * float64(config.Count(int(math.Ceil(p.Instances/p.Zones))))
}

// Members is the siblings that an instance keeps up with: those of its cell,
// its contacts in the other zones of its region, and those that chose it.
func (p Plan) Members() float64 {
	if p.Cells() == 1 {
		return p.Instances - 1
	}
	otherZones := p.Zones/p.Regions - 1
	return p.Cell() - 1 + 2*otherZones*float64(cell.DefaultConfig().Contacts)
}

// Cell is the instances of a cell.
func (p Plan) Cell() float64 { return p.Instances / p.Cells() }

// CellWorkers is the workers of a cell.
func (p Plan) CellWorkers() float64 { return p.Workers / p.Cells() }

// OwnWorkers is the workers that one instance is the steward of.
func (p Plan) OwnWorkers() float64 { return p.Workers / p.Instances }

// PoolSize is the candidates of one placement decision: a cell's workers of
// one model, of which about half are in each of the two pools.
func (p Plan) PoolSize() float64 { return p.CellWorkers() / p.Models / 2 }

// OwnRequests and OwnTokens are an instance's part as the callers' home, a second.
func (p Plan) OwnRequests() float64 { return p.Requests / p.Instances }

// OwnTokens is the tokens that one instance relays a second.
func (p Plan) OwnTokens() float64 { return p.Tokens / p.Instances }

// AnswerTokens is the mean answer, in tokens.
func (p Plan) AnswerTokens() float64 { return p.Tokens / p.Requests }

// MeshBytes and MeshCPU are what membership in a cell takes a second.
func (p Plan) MeshBytes() float64 { return heartbeatRate * p.Slope("mesh_bytes").At(p.Members()) }

// ListBytes is what reading the instance list takes a second: the zone's own
// list, another zone's in turn, and the names of the zones, every five seconds;
// an entry as JSON is about 90 bytes.
func (p Plan) ListBytes() float64 {
	return 2 * p.Instances / p.Zones * listEntryBytes / listSeconds
}

// MeshCPU is in nanoseconds a second.
func (p Plan) MeshCPU() float64 { return heartbeatRate * p.Slope("mesh_cpu").At(p.Members()) }

// FullMeshBytes is what membership would take without cells.
func (p Plan) FullMeshBytes() float64 {
	return heartbeatRate * p.Slope("mesh_bytes").At(p.Instances-1)
}

// questionsPerRequest is a turn at a prefill engine, memory at a decode
// engine, and the two releases, which have no answer, as one more.
const questionsPerRequest = 3

// ReserveRate is questions a second that an instance asks stewards; it answers
// as many as a steward.
func (p Plan) ReserveRate() float64 {
	return questionsPerRequest * p.OwnRequests() * (1 - 1/p.Cell())
}

// ReserveBytes counts both roles.
func (p Plan) ReserveBytes() float64 { return 2 * p.ReserveRate() * p.Slope("call_bytes").Each }

// ReserveCPU counts both roles, in nanoseconds a second. The slope has both
// ends of a question.
func (p Plan) ReserveCPU() float64 { return p.ReserveRate() * p.Slope("call_cpu").Each }

// WitnessBytes and WitnessCPU are for intents, in both roles.
func (p Plan) WitnessBytes() float64 { return p.OnceCalls * p.ReserveBytes() / questionsPerRequest }

// WitnessCPU is in nanoseconds a second.
func (p Plan) WitnessCPU() float64 { return p.OnceCalls * p.ReserveCPU() / questionsPerRequest }

// PollCPU is a steward's load reports, both ends, in nanoseconds a second.
func (p Plan) PollCPU() float64 {
	return pollRate * p.OwnWorkers() * p.Slope("poll_cpu").At(p.HeldPerWorker)
}

// DecideCPU is both placement decisions of a request, in nanoseconds.
func (p Plan) DecideCPU() float64 { return 2 * p.Slope("decide_cpu").At(p.PoolSize()) }

// RequestCPU is the router's own work for one request, in nanoseconds.
func (p Plan) RequestCPU() float64 { return p.Slope("request_cpu").At(p.AnswerTokens()) }

// RelayCPU is that for all of an instance's requests, in nanoseconds a second.
func (p Plan) RelayCPU() float64 { return p.OwnRequests() * p.RequestCPU() }

// Rows is the rows of the table.
func (p Plan) Rows() float64 { return p.Workers + p.Teams + 4*p.Models }

// FoldCPU is one configuration record, in nanoseconds.
func (p Plan) FoldCPU() float64 {
	return p.Slope("fold_cpu").At(p.Rows()) + p.Slope("compile_cpu").At(p.Rows())
}

// ChangesPerSecond is the mean; the peak is taken as twenty times that.
func (p Plan) ChangesPerSecond() float64 { return p.Changes / secondsADay }

// FoldLoad is the mean processor time for configuration, in nanoseconds a second.
func (p Plan) FoldLoad() float64 { return p.ChangesPerSecond() * p.FoldCPU() }

// SnapshotBytes is a whole table.
func (p Plan) SnapshotBytes() float64 { return p.Slope("snapshot_bytes").At(p.Rows()) }

// EditBytes is a record of one cell.
func (p Plan) EditBytes() float64 { return p.Slope("edit_bytes").At(1) }

// TableMemory, MemberMemory, ServerMemory, OperationMemory and TraceMemory are
// an instance's state, in bytes.
func (p Plan) TableMemory() float64 { return 2 * p.Slope("table_memory").At(p.Rows()) }

// MemberMemory is for the siblings of the cell.
func (p Plan) MemberMemory() float64 { return p.Slope("member_memory").At(p.Members()) }

// ServerMemory is for the workers of the cell.
func (p Plan) ServerMemory() float64 { return p.Slope("server_memory").At(p.CellWorkers()) }

// OperationsKept is the operations remembered in both roles.
func (p Plan) OperationsKept() float64 {
	return 2 * p.OnceCalls * p.OwnRequests() * operationSeconds
}

// OperationMemory is for home and witness together.
func (p Plan) OperationMemory() float64 { return p.Slope("operation_memory").Each * p.OperationsKept() }

// TraceMemory is for the requests kept for operators.
func (p Plan) TraceMemory() float64 { return p.Slope("trace_memory").At(tracesKept) }

// Memory is the sum.
func (p Plan) Memory() float64 {
	return p.TableMemory() + p.MemberMemory() + p.ServerMemory() + p.OperationMemory() + p.TraceMemory()
}

// SummaryBytes is a cell's summary: as a heartbeat with one digest a model.
func (p Plan) SummaryBytes() float64 { return p.Slope("heartbeat_bytes").At(p.Models) }

// SummaryLoad is what the summarising instance of a cell sends and receives a
// second: one summary to every other cell of its region a second, and to one
// of each other region.
func (p Plan) SummaryLoad() float64 {
	return 2 * (p.Cells()/p.Regions + p.Regions) * p.SummaryBytes()
}

// Appends is records on the log a second: configuration at twenty times its
// mean, a lease a cell, and a snapshot an hour.
func (p Plan) Appends() float64 {
	return 20*p.ChangesPerSecond() + p.Cells()/leaseSeconds + 1.0/3600
}

// ControlBytes is what control takes without reservations, a second.
func (p Plan) ControlBytes() float64 {
	return p.MeshBytes() + p.ListBytes() + p.ChangesPerSecond()*p.EditBytes()*2
}

// ControlCPU is what control takes, reservations included, in nanoseconds a second.
func (p Plan) ControlCPU() float64 {
	return p.MeshCPU() + p.ReserveCPU() + p.WitnessCPU() + p.PollCPU() + p.FoldLoad()
}

// KVPerRequest and KVPerCell are bytes, the latter a second.
func (p Plan) KVPerRequest() float64 { return p.KVBytes / p.Requests }

// KVPerCell is what moves inside one cell a second.
func (p Plan) KVPerCell() float64 { return p.KVBytes / p.Cells() }

// KVPerWorker is what moves into one decode worker a second, half of them
// being decode workers.
func (p Plan) KVPerWorker() float64 { return p.KVBytes / (p.Workers / 2) }

// JoinBytes is what a restarted instance takes: the table, and a handshake
// with each member of the cell.
func (p Plan) JoinBytes() float64 { return p.SnapshotBytes() + handshakeBytes*(p.Cell()-1) }

// handshakeBytes is a QUIC handshake with two certificates, both ways; an
// estimate by its parts: three datagrams of the least initial size each way.
const handshakeBytes = 6 * 1200

// MeshLimit is the cell size at which membership alone takes the budget.
func (p Plan) MeshLimit() float64 {
	s := p.Slope("mesh_bytes")
	return (budgetBytes/heartbeatRate-s.Fixed)/s.Each + 1
}

// ReserveLimit is the requests a second of one instance at which its
// reservations take what membership leaves of the byte budget.
func (p Plan) ReserveLimit() float64 {
	return (budgetBytes - p.ControlBytes()) / (2 * questionsPerRequest * p.Slope("call_bytes").Each)
}

// FoldLimit is the rows of a table at which the mean configuration load takes
// a tenth of the processor budget.
func (p Plan) FoldLimit() float64 {
	perRow := p.Slope("fold_cpu").Each + p.Slope("compile_cpu").Each
	return budgetCPU / 10 / (p.ChangesPerSecond() * perRow)
}
