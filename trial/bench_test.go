package trial

import (
	"context"
	"testing"
	"time"

	"github.com/mastwheel/mastwheel/client"
	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/request"
	"github.com/mastwheel/mastwheel/service"
)

// BenchmarkOverhead measures the time that the router adds to a call. Each
// iteration makes the call directly to the stand-in and then through one
// instance. The ratio is the time through the instance over the direct time.
func BenchmarkOverhead(b *testing.B) {
	deployment := Deployments["cooperativa"]
	deployment.PlainDuration = 0
	t, err := Start(Options{Deployment: deployment, Instances: 2, Seed: 1, Protect: request.AllProtections()})
	if err != nil {
		b.Fatal(err)
	}
	defer t.Stop()
	b.Run("plain", func(b *testing.B) { benchOverhead(b, t.plainDirect(), t.plainThrough(false)) })
	b.Run("plain-witnessed", func(b *testing.B) { benchOverhead(b, t.plainThrough(false), t.plainThrough(true)) })
	b.Run("model", func(b *testing.B) { benchOverhead(b, t.modelDirect(), t.modelThrough()) })
}

func benchOverhead(b *testing.B, direct, through func(n int) bool) {
	var spent [2]time.Duration
	n := 0
	for b.Loop() {
		n++
		for i, call := range []func(int) bool{direct, through} {
			started := time.Now()
			if !call(n) {
				b.Fatal("a call failed")
			}
			spent[i] += time.Since(started)
		}
	}
	b.ReportMetric(float64(spent[0].Microseconds())/float64(n), "µs/direct")
	b.ReportMetric(float64(spent[1].Microseconds())/float64(n), "µs/through")
	b.ReportMetric(float64(spent[1])/float64(spent[0]), "ratio")
}

func (t *Trial) plainDirect() func(int) bool {
	direct := service.NewHTTP()
	address := t.env.addresses["plate-desk-1"]
	return func(int) bool {
		_, err := direct.Do(context.Background(), address, service.Call{Method: "GET", Path: "/lookup"})
		return err == nil
	}
}

func (t *Trial) plainThrough(once bool) func(int) bool {
	c := client.NewWithAddresses(t.callerAddresses, "sabana")
	call := client.Call{Service: "plate-desk", Method: "GET", Path: "/lookup", WithOperationID: once}
	return func(int) bool { return c.Do(context.Background(), call).Outcome == reason.Done }
}

const (
	benchPrompt = "please read this dossier"
	benchTokens = 4
)

// modelDirect calls the engines' steps directly, without selecting a server.
func (t *Trial) modelDirect() func(int) bool {
	engines := engine.NewHTTP()
	prefill, decode := t.env.addresses["dossier-prefill-1"], t.env.addresses["dossier-decode-1"]
	return func(n int) bool {
		ctx := context.Background()
		attempt := engine.Attempt{RequestID: "direct", Number: n, Home: "bench.1"}
		result, err := engines.Prefill(ctx, prefill, engine.PrefillOrder{Attempt: attempt, Prompt: benchPrompt})
		if err != nil {
			return false
		}
		err = engines.Import(ctx, decode, engine.ImportOrder{Attempt: attempt, Source: prefill, Handle: result.Handle, Pieces: 1})
		if err != nil {
			return false
		}
		stream, err := engines.Decode(ctx, decode, engine.DecodeOrder{Attempt: attempt, MaxTokens: benchTokens})
		if err != nil {
			return false
		}
		defer stream.Close()
		for range benchTokens {
			if _, err := stream.Next(); err != nil {
				return false
			}
		}
		return true
	}
}

func (t *Trial) modelThrough() func(int) bool {
	c := client.NewWithAddresses(t.callerAddresses, "sabana")
	completion := client.Completion{Model: "dossier", Prompt: benchPrompt, MaxTokens: benchTokens}
	return func(int) bool { return c.Complete(context.Background(), completion).Outcome == reason.Done }
}
