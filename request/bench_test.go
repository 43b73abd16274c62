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

func newBenchRunner(tb testing.TB) *request.Runner {
	tb.Helper()
	view := standin.SampleTable().Compile()
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

// BenchmarkModelRequest measures the cost of the router for one model request
// with 1 token and with 245 tokens. The engines answer immediately.
func BenchmarkModelRequest(b *testing.B) {
	r := newBenchRunner(b)
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

// BenchmarkPlainCall measures the cost of the router for one call to a plain
// service (without models).
func BenchmarkPlainCall(b *testing.B) {
	r := newBenchRunner(b)
	b.ReportAllocs()
	for b.Loop() {
		r.RunPlain(context.Background(), request.Plain{ID: "r", Service: "plate-desk", Call: service.Call{Method: "GET"}})
	}
}
