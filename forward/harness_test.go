package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/origin"
	"github.com/mastwheel/mastwheel/poison"
	"github.com/mastwheel/mastwheel/registry"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/table"
)

// Sizes and limits of the service under test.
const (
	testMemoryTokens = 40_000
	testPromptTokens = 4000
	testMaxTokens    = 2000
	testTTFT         = 900 * time.Millisecond
	testPrefillRate  = 50_000 // tokens per second
)

// engines is a fake of all backend servers. It records each call. A call succeeds
// unless the function of its name is set, which then decides the result.
type engines struct {
	mu    sync.Mutex
	calls []string

	reserve func(server string) error
	prefill func(server string) error
	decode  func(server string, order DecodeRequest) error
	call    func(server string) (*Answer, error)
	move    func(from, to string, last bool) (PrefillHandle, error)
	// moving counts the calls of move that go on, which may outlive their requests.
	moving sync.WaitGroup
	probe  func(server string) error
	// statusOf returns the HTTP status of a stream; nil means 200.
	statusOf func(server string) int
	// stream returns the body of a stream, which ends with an error or io.EOF.
	stream func(ctx context.Context, server, lastEvent string) io.ReadCloser
	// endsWithConnection makes the end of a stream's connection its only end.
	endsWithConnection bool
	// prefillTime is the duration of a prefill.
	prefillTime time.Duration
	// crashed holds the ids of servers whose process has exited.
	crashed map[string]bool
}

func (e *engines) HasExited(_ context.Context, server *registry.Entry) bool {
	e.record("check", server.ID)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed[server.ID]
}

// RunHasEnded implements Backends.
func (e *engines) RunHasEnded(ctx context.Context, server *registry.Entry) bool {
	return e.HasExited(ctx, server)
}

func (e *engines) Probe(_ context.Context, server *registry.Entry, _ string) error {
	e.record("probe", server.ID)
	if e.probe != nil {
		return e.probe(server.ID)
	}
	return nil
}

func (e *engines) status(server string) int {
	if e.statusOf == nil {
		return 200
	}
	return e.statusOf(server)
}

func (e *engines) record(step, server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls = append(e.calls, step+" "+server)
}

func (e *engines) Call(_ context.Context, server *registry.Entry, _ *Request, _ time.Time) (*Answer, error) {
	e.record("call", server.ID)
	if e.call != nil {
		return e.call(server.ID)
	}
	return &Answer{Status: 200}, nil
}

func (e *engines) Reserve(_ context.Context, server *registry.Entry, _ int, _ time.Duration) (Reservation, error) {
	e.record("reserve", server.ID)
	if e.reserve != nil {
		if err := e.reserve(server.ID); err != nil {
			return "", err
		}
	}
	return Reservation("r-" + server.ID), nil
}

func (e *engines) Release(_ context.Context, server *registry.Entry, _ Reservation) error {
	e.record("release", server.ID)
	return nil
}

func (e *engines) Prefill(ctx context.Context, server *registry.Entry, _ *Request, _ time.Time) (PrefillHandle, error) {
	e.record("prefill", server.ID)
	select {
	case <-time.After(e.prefillTime):
	case <-ctx.Done():
		return "", ctx.Err()
	}
	if e.prefill != nil {
		if err := e.prefill(server.ID); err != nil {
			return "", err
		}
	}
	return PrefillHandle("p-" + server.ID), nil
}

func (e *engines) Move(ctx context.Context, from, to *registry.Entry, r *Request, last bool) (PrefillHandle, error) {
	step := "copy"
	if last {
		step = "stop"
	}
	e.record(step, from.ID+" to "+to.ID)
	if e.move == nil {
		return PrefillHandle("m-" + from.ID), nil
	}
	answers := make(chan stopAnswer, 1)
	e.moving.Go(func() {
		result, err := e.move(from.ID, to.ID, last)
		answers <- stopAnswer{result: result, err: err}
	})
	select {
	case answer := <-answers:
		return answer.result, answer.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (e *engines) Free(_ context.Context, server *registry.Entry, _ PrefillHandle) error {
	e.record("free", server.ID)
	return nil
}

func (e *engines) Decode(ctx context.Context, server *registry.Entry, _ *Request, order DecodeRequest, _ time.Time) (*Stream, error) {
	e.record("decode", server.ID)
	if e.decode != nil {
		if err := e.decode(server.ID, order); err != nil {
			return nil, err
		}
	}
	if e.stream != nil {
		return &Stream{Status: e.status(server.ID), Fields: []Field{{Name: "By", Value: server.ID}}, EndsWithConnection: e.endsWithConnection, ReadCloser: e.stream(ctx, server.ID, order.LastEvent)}, nil
	}
	return &Stream{Status: 200, ReadCloser: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))}, nil
}

// testOrigins knows all streams that began through it, and for others the given release; none if that is
// nil.
type testOrigins struct {
	mu    sync.Mutex
	began map[string]origin.Origin
	sole  *string
	// opensAt is when streams may begin at a release that is not announced yet.
	opensAt map[string]time.Time
}

func (o *testOrigins) MayBegin(at origin.Origin) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	after := time.Until(o.opensAt[at.Release])
	return max(after, 0), after <= 0
}

func (o *testOrigins) Began(request string, at origin.Origin, _ string, _ time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.began == nil {
		o.began = make(map[string]origin.Origin)
	}
	o.began[request] = at
}

func (o *testOrigins) Find(_ context.Context, request, service string) (origin.Origin, metrics.OriginSource) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, known := o.began[request]; known {
		return at, metrics.OriginRecord
	}
	if o.sole == nil {
		return origin.Origin{}, metrics.OriginUnknown
	}
	return origin.Origin{Service: service, Release: *o.sole}, metrics.OriginSole
}

// testView is a View whose content the test sets.
type testView struct {
	view    *table.View
	servers atomic.Pointer[Servers]
}

func (b *testView) Table() *table.View    { return b.view }
func (b *testView) TableSince() time.Time { return time.Now() }
func (b *testView) Servers() *Servers     { return b.servers.Load() }

// Confirmed implements View.
func (b *testView) Confirmed() time.Time { return time.Now() }

// setServers replaces the view of the servers.
func (b *bench) setServers(servers *Servers) { b.View.(*testView).servers.Store(servers) }

// bench is a gateway with fake backend servers.
type bench struct {
	*Gateway
	engines *engines
	t       testing.TB
}

// newBench returns a gateway with the prefill engines p1 and p2 and the decode
// engines d1 and d2 of a service "llm", and with the servers s1 and s2 of a plain
// service "web".
func newBench(t testing.TB) *bench {
	t.Helper()
	testTable, err := table.New(1, map[table.RowKey]map[table.Column]string{
		{Kind: table.Service, Name: "llm"}: {
			table.ColType: table.TypeModel, table.ColModel: "m", table.ColPrefillPool: "llm/prefill", table.ColDecodePool: "llm/decode",
			table.ColMemory: "40000", table.ColHold: "2000", table.ColHandle: "500", table.ColEventTokens: "64",
		},
		{Kind: table.Service, Name: "web"}:      {table.ColType: table.TypePlain, table.ColPool: "web"},
		{Kind: table.Pool, Name: "llm/prefill"}: {table.ColRole: table.RolePrefill},
		{Kind: table.Pool, Name: "llm/decode"}:  {table.ColRole: table.RoleDecode},
		{Kind: table.Pool, Name: "web"}:         {table.ColRole: table.RolePlain},
		{Kind: table.Route, Name: "stream"}: {
			table.ColHost: "h", table.ColPath: "/stream/", table.ColSplit: "llm:100", table.ColRepeat: table.RepeatNever,
			table.ColTimeout: "14000", table.ColTTFT: "900", table.ColTBT: "300", table.ColAttempts: "1",
		},
		{Kind: table.Route, Name: "resume"}: {
			table.ColHost: "h", table.ColPath: "/resume/", table.ColSplit: "llm:100", table.ColRepeat: table.RepeatResume,
			table.ColTimeout: "14000", table.ColTTFT: "900", table.ColTBT: "300", table.ColAttempts: "2",
		},
		{Kind: table.Route, Name: "safe"}: {
			table.ColHost: "h", table.ColPath: "/safe/", table.ColSplit: "web:100", table.ColRepeat: table.RepeatSafe,
			table.ColTimeout: "1500", table.ColTTFT: "300", table.ColAttempts: "2",
		},
		{Kind: table.Route, Name: "slow"}: {
			table.ColHost: "h", table.ColPath: "/slow/", table.ColSplit: "web:100", table.ColRepeat: table.RepeatNever,
			table.ColTimeout: "14000", table.ColTTFT: "900", table.ColAttempts: "1",
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	servers := &Servers{ByRun: map[string]*registry.Entry{}, ByID: map[string]*registry.Entry{}, Plain: map[string][]*table.BackendView{}, Prefill: map[string][]*table.BackendView{}, Decode: map[string][]*table.BackendView{}}
	backends := make(map[string]*table.BackendView)
	add := func(pools map[string][]*table.BackendView, service string, ids ...string) {
		for _, id := range ids {
			backend := &table.BackendView{Name: id, Pool: service, Zone: "z", MemoryTokens: testMemoryTokens}
			servers.ByRun[id] = &registry.Entry{ID: id, Service: service, Zone: "z", Address: id}
			servers.ByID[id] = servers.ByRun[id]
			pools[service] = append(pools[service], backend)
			backends[id] = backend
		}
	}
	add(servers.Prefill, "llm", "p1", "p2")
	add(servers.Decode, "llm", "d1", "d2")
	add(servers.Plain, "web", "s1", "s2")
	fleet := route.NewFleet()
	fleet.Adopt(&table.View{Backends: backends})
	for _, id := range []string{"p1", "p2"} {
		fleet.Server(id).Prefills.Measure(testPrefillRate, time.Second)
	}
	budget := route.NewSharedBudget(0.2, 10*time.Second, 20, time.Now())
	random := lockedRandom(1, 2)
	b := &bench{engines: &engines{prefillTime: 50 * time.Millisecond}, t: t}
	config := DefaultConfig()
	config.ForecastEngines = 0
	view := &testView{view: testTable.Compile()}
	view.servers.Store(servers)
	b.Gateway = New(Deps{
		Zone: "z", View: view, Fleet: fleet, Backends: b.engines, Budget: func(string) *route.SharedBudget { return budget }, Metrics: metrics.New(), Random: random,
		Poison:  poison.New(poison.DefaultConfig(), random, func() int { return 1 }),
		Origins: &testOrigins{sole: new(string)},
	}, config)
	return b
}

// lockedRandom returns a seeded source of random numbers in [0,1) for several goroutines.
func lockedRandom(seed1, seed2 uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed1, seed2))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// generation returns a generation request on the route "stream".
func (b *bench) generation(id string, prompt int) *Request {
	now := time.Now()
	return &Request{
		ID: id, Method: "POST", Target: "/stream/x", Path: "/stream/x", Host: "h", Arrived: now, Deadline: now.Add(14 * time.Second),
		Generation: &Generation{Model: "m", PromptTokens: prompt, MaxTokens: testMaxTokens, LengthHint: testMaxTokens / 2},
	}
}

// plain returns a plain request on the route "safe".
func (b *bench) plain(id string) *Request {
	now := time.Now()
	return &Request{ID: id, Method: "GET", Target: "/safe/x", Path: "/safe/x", Host: "h", Arrived: now, Deadline: now.Add(3 * time.Second)}
}

// serve serves a request, reads its stream to the end and waits for the cleanup.
func (b *bench) serve(r *Request) *Reply {
	reply := b.Serve(context.Background(), r)
	if reply.Stream != nil {
		if _, err := io.Copy(io.Discard, reply.Stream); err != nil {
			b.t.Errorf("stream of %s: %v", r.ID, err)
		}
		reply.Stream.Close()
	}
	b.Wait()
	return reply
}

// callCount returns the number of recorded calls that begin with a text.
func (b *bench) callCount(text string) int {
	b.engines.mu.Lock()
	defer b.engines.mu.Unlock()
	count := 0
	for _, call := range b.engines.calls {
		if strings.HasPrefix(call, text) {
			count++
		}
	}
	return count
}

// checkNothingHeld checks that no server has commitments left and that no request is
// in flight.
func (b *bench) checkNothingHeld() {
	b.t.Helper()
	for id := range b.View.Servers().ByRun {
		if own := b.Fleet.Server(id).Own(); own != (route.Commitment{}) {
			b.t.Errorf("commitment left at %s: %+v", id, own)
		}
	}
	if n := b.InFlight(); n != 0 {
		b.t.Errorf("%d requests are in flight", n)
	}
}

// sinceVirtualStart advances the virtual clock from its start past today's date.
const sinceVirtualStart = 50 * 365 * 24 * time.Hour

// withBench runs a test with a new bench on a virtual clock.
func withBench(t *testing.T, test func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// The virtual clock begins in 2000, but package route measures times from
		// the start of the process.
		time.Sleep(sinceVirtualStart)
		b := newBench(t)
		test(b)
		b.engines.moving.Wait()
	})
}
