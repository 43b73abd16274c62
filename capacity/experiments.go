package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/member"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
)

// experiment measures one slope.
type experiment struct {
	name, unit, per string
	sizes           []int
	cost            func(size int) float64
}

var experiments = []experiment{
	{"heartbeat_bytes", "B", "worker of the sender", []int{0, 7, 28}, heartbeatBytes},
	{"heartbeat_cpu", "ns", "member known", []int{8, 80, 800}, heartbeatCPU},
	{"member_memory", "B", "member known", []int{20, 80, 800}, memberMemory},
	{"server_memory", "B", "backend server known", []int{12, 100, 1000}, serverMemory},
	{"decide_cpu", "ns", "candidate", []int{12, 100, 1000, 10_000}, decideCPU},
	{"owner_cpu", "ns", "instance of the cell", []int{8, 32, 128}, ownerCPU},
	{"steward_cpu", "ns", "reservation held at the engine", []int{0, 20, 200}, stewardCPU},
	{"admit_cpu", "ns", "team known", []int{15, 1500, 15_000}, admitCPU},
	{"fold_cpu", "ns", "row of the table", []int{15, 1500, 15_000}, foldCPU},
	{"compile_cpu", "ns", "row of the table", []int{15, 1500, 15_000}, compileCPU},
	{"table_memory", "B", "row of the table", []int{150, 1500, 15_000}, tableMemory},
	{"snapshot_bytes", "B", "row of the table", []int{15, 1500, 15_000}, snapshotBytes},
	{"edit_bytes", "B", "changed cell", []int{1, 10, 100}, editBytes},
	{"operation_memory", "B", "operation remembered", []int{1000, 10_000, 100_000}, operationMemory},
	{"trace_memory", "B", "request remembered", []int{500, 2000, 8000}, traceMemory},
	{"poll_cpu", "ns", "request held by the engine, both ends", []int{0, 20, 100}, pollCPU},
	{"request_cpu", "ns", "token of the answer", []int{1, 60, 245, 1000}, requestCPU},
}

// Run measures every slope. progress, if not nil, is called with each name before
// its measurement.
func Run(progress func(name string)) ([]Slope, error) {
	if progress != nil {
		progress("wire")
	}
	// measureWire runs first, because the large heap of later experiments makes the
	// garbage collector use processor time.
	slopes, err := measureWire()
	if err != nil {
		return nil, err
	}
	for _, e := range experiments {
		if progress != nil {
			progress(e.name)
		}
		points := make([]Point, 0, len(e.sizes))
		for _, size := range e.sizes {
			points = append(points, Point{Size: float64(size), Cost: e.cost(size)})
		}
		slopes = append(slopes, fit(e.name, e.unit, e.per, points))
	}
	return slopes, nil
}

func infoOf(n int) member.Info {
	return member.Info{
		Name: fmt.Sprintf("sabana-%04d", n), Incarnation: operation.Incarnation(1_800_000_000_000 + n), Zone: "sabana",
		Caller: "10.20.30.40:7001", Peer: "10.20.30.40:7101", Uptime: time.Hour, Revision: 90_000, Next: 90_001, InFlight: 220,
	}
}

func heartbeatOf(servers int) *peer.Message {
	beat := &peer.Heartbeat{Info: infoOf(1).Brief()}
	for n := range servers {
		beat.Loads = append(beat.Loads, peer.ServerLoad{
			ID: route.ServerID(fmt.Sprintf("dossier-decode-%04d", n)), WaitingTokens: 12_000, Running: 18, FreePieces: 4,
		})
	}
	return &peer.Message{Heartbeat: beat}
}

func heartbeatBytes(servers int) float64 {
	encoded, err := peer.Encode(heartbeatOf(servers))
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return float64(len(encoded))
}

func membersOf(size int) *member.Members {
	m := member.New(operation.Member{Name: "self", Incarnation: 1}, member.DefaultRegion())
	for n := range size {
		m.ApplyHeartbeat(infoOf(n), time.Unix(1, 0))
	}
	return m
}

func heartbeatCPU(size int) float64 {
	m := membersOf(size)
	info := infoOf(1)
	return nanosPerCall(func() {
		info.Uptime++
		m.ApplyHeartbeat(info, time.Unix(1, 0))
	})
}

func memberMemory(size int) float64 {
	return heapBytes(func() any { return membersOf(size) })
}

// poolOf returns a fleet and a pool of size decode engines, each with a load
// report.
func poolOf(size int) (*route.Fleet, []*table.BackendView) {
	view := &table.View{Backends: make(map[string]*table.BackendView)}
	pool := make([]*table.BackendView, size)
	for n := range pool {
		name := fmt.Sprintf("dossier-decode-%04d", n)
		pool[n] = &table.BackendView{Name: name, Zone: fmt.Sprint("zone-", n%3), Pieces: 40, Role: table.RoleDecode}
		view.Backends[name] = pool[n]
	}
	fleet := route.NewFleet()
	fleet.Adopt(view)
	for n, backend := range pool {
		fleet.Server(backend.Name).Observe(&route.Report{FreePieces: n % 40, WaitingTokens: n * 10})
	}
	return fleet, pool
}

func serverMemory(size int) float64 {
	return heapBytes(func() any {
		fleet, pool := poolOf(size)
		return []any{fleet, pool}
	})
}

func decideCPU(size int) float64 {
	fleet, pool := poolOf(size)
	profile := route.DecodeProfile()
	query := &route.Query{RequestID: "sabana-1.x.1", Zone: "zone-1", PromptTokens: 3000, Pieces: 2, Now: time.Unix(1, 0)}
	return nanosPerCall(func() { profile.Decide(query, fleet, pool) })
}

func ownerCPU(size int) float64 {
	names := make([]string, size)
	for n := range names {
		names[n] = infoOf(n).Name
	}
	return nanosPerCall(func() { route.Owner("dossier-decode-0017", names) })
}

func stewardCPU(size int) float64 {
	steward := route.NewSteward()
	now := time.Unix(1, 0)
	held := make(map[route.ReservationKey]int)
	for n := range size {
		held[route.ReservationKey{RequestID: fmt.Sprint(n)}] = 2
	}
	reservation := route.Demand{ReservationKey: route.ReservationKey{RequestID: "r"}, Pieces: 2, TTL: time.Second}
	steward.Observe("w", route.EngineReport{TakenAt: now, Pieces: 10_000, Held: held})
	return nanosPerCall(func() {
		steward.Reserve("w", reservation, now)
		steward.Release("w", reservation.ReservationKey, now)
		steward.Observe("w", route.EngineReport{TakenAt: now.Add(time.Second), Pieces: 10_000, Held: held})
	})
}

func admitCPU(size int) float64 {
	admission := route.NewAdmission()
	service := &table.ServiceView{Name: "dossier", InFlight: 1 << 30}
	teams := make([]*table.TeamView, size)
	for n := range teams {
		teams[n] = &table.TeamView{Name: fmt.Sprintf("team-%05d", n), InFlight: 1 << 20}
	}
	n := 0
	return nanosPerCall(func() {
		n++
		if place, why := admission.Admit(service, teams[n%size]); why == "" {
			place.Release()
		}
	})
}

func teamEdit(id string, n int) table.Edit {
	key := table.RowKey{Kind: table.Team, Name: fmt.Sprintf("team-%05d", n)}
	return table.Edit{ID: id, Base: 1 << 40, Author: "ana", Reason: "measure", Changes: []table.Change{
		{Row: key, Column: table.ColShare, Value: "3"},
	}}
}

// tableOf returns a table with the given number of team rows.
func tableOf(rows int) *table.Table {
	edit := table.Edit{ID: "all", Author: "ana", Reason: "measure"}
	for n := range rows {
		one := teamEdit("", n).Changes[0]
		edit.Changes = append(edit.Changes, one, table.Change{Row: one.Row, Column: table.ColInFlight, Value: "200"})
	}
	made, err := (&table.Table{}).Apply(edit, 1)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return made
}

func foldCPU(rows int) float64 {
	t := tableOf(rows)
	edit := teamEdit("one", 1)
	return nanosPerCall(func() {
		if _, err := t.Apply(edit, 2); err != nil {
			panic("capacity: " + err.Error())
		}
	})
}

func compileCPU(rows int) float64 {
	t := tableOf(rows)
	return nanosPerCall(func() { t.Compile() })
}

func tableMemory(rows int) float64 {
	return heapBytes(func() any {
		t := tableOf(rows)
		return []any{t, t.Compile()}
	})
}

func snapshotBytes(rows int) float64 {
	encoded, err := json.Marshal(tableOf(rows))
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return float64(len(encoded))
}

func editBytes(cells int) float64 {
	edit := teamEdit("01j0000000000000000000", 0)
	for n := 1; n < cells; n++ {
		edit.Changes = append(edit.Changes, teamEdit("", n).Changes...)
	}
	encoded, err := json.Marshal(edit)
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return float64(len(encoded))
}

func operationMemory(size int) float64 {
	self := operation.Member{Name: "sabana-1", Incarnation: 1_800_000_000_000}
	return heapBytes(func() any {
		witness := operation.NewWitness(self, size)
		for n := range size {
			id := operation.ID{
				Home: self, Witness: self, HomeExpiry: time.Hour, WitnessExpiry: time.Hour, Nonce: fmt.Sprintf("n%024d", n),
			}
			witness.Intent(id, 0)
		}
		return witness
	})
}

func runnerOf(traces int) *request.Runner {
	parsed, err := table.ParseTOML([]byte(benchTable))
	if err != nil {
		panic("capacity: " + err.Error())
	}
	view := parsed.Compile()
	view.Revision = 1
	fleet := route.NewFleet()
	fleet.Adopt(view)
	return request.NewRunner(request.Deps{
		Home: "sabana-1.1", Zone: "sabana", View: func() *table.View { return view }, Fleet: fleet,
		Admission: route.NewAdmission(), Engines: standin.Instant{}, Services: standin.Instant{},
		Stewards: standin.Instant{}, Witnesses: standin.Instant{}, Metrics: metrics.New(),
		Traces: trace.NewRing(traces), Random: func() float64 { return 0.5 },
	}, request.DefaultConfig())
}

// benchTable has as many backend servers of one model as a cell (a group of
// instances that know each other fully) is designed for.
var benchTable = makeBenchTable(28)

func makeBenchTable(servers int) string {
	text := `
[pool.read]
role = "prefill"
[pool.write]
role = "decode"
[service.dossier]
type = "model"
model = "dossier"
prefill_pool = "read"
decode_pool = "write"
`
	for n := range servers {
		pool := "write"
		if n%3 == 0 {
			pool = "read"
		}
		text += fmt.Sprintf("[backend.worker-%d]\npool = %q\naddress = \"10.0.0.1:%d\"\nzone = \"sabana\"\npieces = 40\n", n, pool, n+1)
	}
	return text
}

func runModel(r *request.Runner, tokens int) {
	r.RunModel(context.Background(), request.Model{
		ID: "r", Model: "dossier", Prompt: string(make([]byte, 12_000)), MaxTokens: tokens,
	}, standin.Instant{})
}

func traceMemory(size int) float64 {
	return heapBytes(func() any {
		r := runnerOf(size)
		for range size {
			runModel(r, 1)
		}
		return r
	})
}

func requestCPU(tokens int) float64 {
	r := runnerOf(100)
	return nanosPerCall(func() { runModel(r, tokens) })
}

// countingConn counts the bytes that a socket sends, with UDP and IPv4 headers.
type countingConn struct {
	net.PacketConn
	bytes atomic.Int64
}

func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.bytes.Add(int64(len(p)) + udpHeader)
	return c.PacketConn.WriteTo(p, to)
}

// udpHeader is the size of the UDP and IPv4 headers, in bytes.
const udpHeader = 28

// wirePair is two siblings that communicate over loopback.
type wirePair struct {
	sender, receiver *peer.QUIC
	conns            [2]*countingConn
	cancel           context.CancelFunc
}

func newWirePair() (*wirePair, error) {
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	p := &wirePair{}
	endpoints := make([]*peer.QUIC, 2)
	for i := range endpoints {
		identity, err := authority.Identity("end")
		if err != nil {
			return nil, err
		}
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, errors.Wrap(err, "open socket")
		}
		p.conns[i] = &countingConn{PacketConn: conn}
		if endpoints[i], err = peer.NewQUIC(p.conns[i], peer.NewKeys(identity)); err != nil {
			return nil, err
		}
	}
	p.sender, p.receiver = endpoints[0], endpoints[1]
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.receiver.Serve(ctx, p.answer)
	return p, nil
}

func (p *wirePair) answer(context.Context, *peer.Message) *peer.Message {
	return &peer.Message{Reserved: &peer.Reserved{Free: 7}}
}

func (p *wirePair) close() {
	p.cancel()
	p.sender.Close()
	p.receiver.Close()
}

// bytes returns the bytes that both endpoints sent, acknowledgements included.
func (p *wirePair) bytes() int64 { return p.conns[0].bytes.Load() + p.conns[1].bytes.Load() }

func (p *wirePair) call() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	query := &peer.Message{Reserve: &peer.Reserve{
		Server: "dossier-decode-0017", RequestID: "sabana-0001.mx682y80.1x9z", Pieces: 2, TTL: 3 * time.Second,
		ArrivesIn: 200 * time.Millisecond, HoldFor: 4 * time.Second,
	}}
	if _, err := p.sender.Call(ctx, p.receiver.Address(), query); err != nil {
		panic("capacity: " + err.Error())
	}
}

const wireCalls = 1000

// meshSizes lists the cell sizes at which a full mesh is measured.
var meshSizes = []int{4, 8, 16, 24, 40}

// measureWire measures the bytes of a query between two siblings, the processor
// time of a query at both endpoints together, and the cost of one member of a
// mesh per second.
func measureWire() ([]Slope, error) {
	p, err := newWirePair()
	if err != nil {
		return nil, err
	}
	callCPU := cpuNanosPerCall(wireCalls, p.call)
	before := p.bytes()
	for range wireCalls {
		p.call()
	}
	callBytes := float64(p.bytes()-before) / wireCalls
	p.close()
	var bytes, cpu []Point
	for _, size := range meshSizes {
		b, c, err := measureMesh(size)
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, Point{float64(size - 1), b})
		cpu = append(cpu, Point{float64(size - 1), c})
	}
	return []Slope{
		constant("call_bytes", "B", "question and answer", callBytes),
		constant("call_cpu", "ns", "question and answer, both ends", callCPU),
		fit("mesh_bytes", "B/s", "other member, a heartbeat a second, both ways", bytes),
		fit("mesh_cpu", "ns/s", "other member, a heartbeat a second, both ways", cpu),
	}, nil
}

func constant(name, unit, per string, value float64) Slope {
	return Slope{Name: name, Unit: unit, Per: per, Each: value, Points: []Point{{1, value}}}
}

// pollCPU returns the processor time of one load report over HTTP, including the
// engine's side.
func pollCPU(held int) float64 {
	farm := standin.NewFarm()
	config := standin.DefaultEngine("e")
	config.Pieces = held + 1
	config.LinkBytesPerSecond = 1e15
	e := farm.Add("10.0.0.1:1", config)
	for n := range held {
		attempt := engine.Attempt{RequestID: fmt.Sprintf("sabana-0001.mx682y80.%d", n), Home: "sabana-0001.mx682y80"}
		if _, err := e.Prefill(engine.PrefillOrder{Attempt: attempt}); err != nil {
			panic("capacity: " + err.Error())
		}
		if err := e.Import(engine.ImportOrder{Attempt: attempt, Source: "10.0.0.1:1", Pieces: 1}); err != nil {
			panic("capacity: " + err.Error())
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("capacity: " + err.Error())
	}
	defer standin.Serve(listener, standin.EngineHandler(e))()
	client := engine.NewHTTP()
	defer client.Close()
	return cpuNanosPerCall(wireCalls, func() {
		if _, err := client.Load(context.Background(), listener.Addr().String()); err != nil {
			panic("capacity: " + err.Error())
		}
	})
}
