package request

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
)

// instant is an engine and a plain server that answer at once.
type instant struct{}

func (instant) Prefill(_ context.Context, _ string, order engine.PrefillOrder) (engine.PrefillResult, error) {
	return engine.PrefillResult{Handle: order.RequestID, WindowMillis: 800}, nil
}
func (instant) Import(context.Context, string, engine.ImportOrder) error { return nil }
func (instant) Cancel(context.Context, string, engine.Attempt) error     { return nil }
func (instant) Load(context.Context, string) (engine.Load, error)        { return engine.Load{}, nil }
func (instant) CacheEvents(context.Context, string, int64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (instant) Decode(_ context.Context, _ string, order engine.DecodeOrder) (engine.Stream, error) {
	return &instantStream{order: order}, nil
}

func (instant) Do(context.Context, string, service.Call) (service.Answer, error) {
	return service.Answer{Status: 200}, nil
}

type instantStream struct {
	order engine.DecodeOrder
	next  int
}

func (s *instantStream) Next() (engine.Token, error) {
	if s.next == s.order.MaxTokens {
		return engine.Token{}, io.EOF
	}
	token := engine.Token{
		RequestID: s.order.RequestID, Number: s.order.Number, Position: s.next, Text: " x",
		Last: s.next == s.order.MaxTokens-1,
	}
	s.next++
	return token, nil
}

func (s *instantStream) Close() {}

func (instant) Reserve(context.Context, string, route.Ask) route.Grant { return route.Grant{} }
func (instant) Release(string, route.HoldKey)                          {}
func (instant) Intent(context.Context, operation.ID) reason.Reason     { return reason.None }
func (instant) Settle(operation.ID, operation.Status)                  {}
func (instant) Token(engine.Token) error                               { return nil }

const benchTable = `
[pool.read]
role = "prefill"
[pool.write]
role = "decode"
[pool.desk]
role = "plain"
[service.dossier]
type = "model"
model = "dossier"
prefill_pool = "read"
decode_pool = "write"
[service.plate-desk]
type = "plain"
pool = "desk"
[backend.read-1]
pool = "read"
address = "10.0.0.1:1"
zone = "sabana"
[backend.read-2]
pool = "read"
address = "10.0.0.1:2"
zone = "sabana"
[backend.write-1]
pool = "write"
address = "10.0.0.2:1"
zone = "sabana"
pieces = 40
[backend.write-2]
pool = "write"
address = "10.0.0.2:2"
zone = "sabana"
pieces = 40
[backend.desk-1]
pool = "desk"
address = "10.0.0.3:1"
zone = "sabana"
`

func benchRunner(tb testing.TB) *Runner {
	tb.Helper()
	parsed, err := table.ParseTOML([]byte(benchTable))
	if err != nil {
		tb.Fatal(err)
	}
	view := parsed.Compile()
	view.Revision = 1
	fleet := route.NewFleet()
	fleet.Adopt(view)
	return NewRunner(Deps{
		Home: "sabana-1.1", Zone: "sabana", View: func() *table.View { return view }, Fleet: fleet,
		Admission: route.NewAdmission(), Engines: instant{}, Services: instant{}, Stewards: instant{}, Witnesses: instant{},
		Operations: operation.NewHome(operation.Member{}, 10), Uptime: func() time.Duration { return 0 },
		Metrics: metrics.New(), Traces: trace.NewRing(100), Random: func() float64 { return 0.5 },
	}, DefaultConfig())
}

// BenchmarkModelRequest is the router's own cost of one model request, and of
// one token, with engines that answer at once.
func BenchmarkModelRequest(b *testing.B) {
	r := benchRunner(b)
	prompt := string(make([]byte, 12_000))
	for _, bench := range []struct {
		name   string
		tokens int
	}{{"tokens=1", 1}, {"tokens=245", 245}} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.RunModel(context.Background(), Model{ID: "r", Model: "dossier", Prompt: prompt, MaxTokens: bench.tokens}, instant{})
			}
		})
	}
}

// BenchmarkPlainCall is the router's own cost of one plain call.
func BenchmarkPlainCall(b *testing.B) {
	r := benchRunner(b)
	b.ReportAllocs()
	for b.Loop() {
		r.RunPlain(context.Background(), Plain{ID: "r", Service: "plate-desk", Call: service.Call{Method: "GET"}})
	}
}
