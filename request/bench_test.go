package request_test

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/metrics"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/standin"
	"github.com/mastwheel/mastwheel/table"
	"github.com/mastwheel/mastwheel/trace"
)

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

func benchRunner(tb testing.TB) *request.Runner {
	tb.Helper()
	parsed, err := table.ParseTOML([]byte(benchTable))
	if err != nil {
		tb.Fatal(err)
	}
	view := parsed.Compile()
	view.Revision = 1
	fleet := route.NewFleet()
	fleet.Adopt(view)
	return request.NewRunner(request.Deps{
		Home: "sabana-1.1", Zone: "sabana", View: func() *table.View { return view }, Fleet: fleet,
		Admission: route.NewAdmission(), Engines: standin.Instant{}, Services: standin.Instant{}, Stewards: standin.Instant{}, Witnesses: standin.Instant{},
		Operations: operation.NewHome(operation.Member{}, 10), Uptime: func() time.Duration { return 0 },
		Metrics: metrics.New(), Traces: trace.NewRing(100), Random: func() float64 { return 0.5 },
	}, request.DefaultConfig())
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
				r.RunModel(context.Background(), request.Model{ID: "r", Model: "dossier", Prompt: prompt, MaxTokens: bench.tokens}, standin.Instant{})
			}
		})
	}
}

// BenchmarkPlainCall is the router's own cost of one plain call.
func BenchmarkPlainCall(b *testing.B) {
	r := benchRunner(b)
	b.ReportAllocs()
	for b.Loop() {
		r.RunPlain(context.Background(), request.Plain{ID: "r", Service: "plate-desk", Call: service.Call{Method: "GET"}})
	}
}
