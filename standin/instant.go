package standin

import (
	"context"
	"io"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/operation"
	"github.com/mastwheel/mastwheel/reason"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/service"
)

// Instant plays engines, plain servers (without models), stewards (the instances
// that grant reservations at engines), witnesses (the instances in another zone that
// acknowledge intents) and callers. All of them answer immediately. Instant is used to
// measure the router's own cost.
type Instant struct{}

// Prefill implements engine.Client.
func (Instant) Prefill(_ context.Context, _ string, order engine.PrefillOrder) (engine.PrefillResult, error) {
	return engine.PrefillResult{Handle: order.RequestID, WindowMillis: 800}, nil
}

// Import implements engine.Client.
func (Instant) Import(context.Context, string, engine.ImportOrder) error { return nil }

// Cancel implements engine.Client.
func (Instant) Cancel(context.Context, string, engine.Attempt) error { return nil }

// Load implements engine.Client.
func (Instant) Load(context.Context, string) (engine.Load, error) { return engine.Load{}, nil }

// CacheEvents implements engine.Client.
func (Instant) CacheEvents(context.Context, string, int64) ([]engine.CacheEvent, error) {
	return nil, nil
}

// Order implements engine.Client.
func (Instant) Order(context.Context, string, engine.WeightsOrder) error { return nil }

// Decode implements engine.Client.
func (Instant) Decode(_ context.Context, _ string, order engine.DecodeOrder) (engine.Stream, error) {
	return &instantStream{order: order}, nil
}

// Do implements service.Client.
func (Instant) Do(context.Context, string, service.Call) (service.Answer, error) {
	return service.Answer{Status: 200}, nil
}

// Reserve implements request.Stewards.
func (Instant) Reserve(context.Context, string, route.Demand) route.Grant { return route.Grant{} }

// Release implements request.Stewards.
func (Instant) Release(string, route.ReservationKey) {}

// Intent implements request.Witnesses.
func (Instant) Intent(context.Context, operation.ID) reason.Reason { return reason.None }

// ReportOutcome implements request.Witnesses.
func (Instant) ReportOutcome(operation.ID, operation.Status) {}

// Token implements request.Sink.
func (Instant) Token(engine.Token) error { return nil }

type instantStream struct {
	order engine.DecodeOrder
	next  int
}

// Next implements engine.Stream.
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

// Close implements engine.Stream.
func (s *instantStream) Close() {}
