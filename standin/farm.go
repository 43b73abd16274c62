package standin

import (
	"context"
	"io"
	"sync"

	"github.com/mastwheel/mastwheel/engine"
)

// Farm holds the engines by address. It also implements engine.Client without a
// network, for tests on a virtual clock.
type Farm struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewFarm returns a Farm without engines.
func NewFarm() *Farm { return &Farm{engines: make(map[string]*Engine)} }

// Add adds a new engine at an address.
func (f *Farm) Add(address string, config EngineConfig) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := newEngine(f, config)
	f.engines[address] = e
	return e
}

func (f *Farm) lookup(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// reach returns the engine at an address, or an error if it is down.
func (f *Farm) reach(address string) (*Engine, error) {
	e := f.lookup(address)
	if e == nil || e.Faults.Down.Load() {
		return nil, engine.ErrUnreachable
	}
	return e, nil
}

// await waits for the answer to an order or for the end of ctx. The order
// continues at the engine when ctx ends.
func await[T any](ctx context.Context, order func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		value, err := order()
		done <- answer{value, err}
	}()
	select {
	case a := <-done:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, engine.ErrBroken
	}
}

// Prefill implements engine.Client.
func (f *Farm) Prefill(ctx context.Context, address string, order engine.PrefillOrder) (engine.PrefillResult, error) {
	e, err := f.reach(address)
	if err != nil {
		return engine.PrefillResult{}, err
	}
	return await(ctx, func() (engine.PrefillResult, error) { return e.Prefill(order) })
}

// Import implements engine.Client.
func (f *Farm) Import(ctx context.Context, address string, order engine.ImportOrder) error {
	e, err := f.reach(address)
	if err != nil {
		return err
	}
	_, err = await(ctx, func() (struct{}, error) { return struct{}{}, e.Import(order) })
	return err
}

// Decode implements engine.Client.
func (f *Farm) Decode(ctx context.Context, address string, order engine.DecodeOrder) (engine.Stream, error) {
	e, err := f.reach(address)
	if err != nil {
		return nil, err
	}
	tokens, err := e.Decode(order)
	if err != nil {
		return nil, err
	}
	return &channelStream{ctx: ctx, tokens: tokens}, nil
}

// Cancel implements engine.Client.
func (f *Farm) Cancel(_ context.Context, address string, attempt engine.Attempt) error {
	e, err := f.reach(address)
	if err != nil {
		return err
	}
	return e.Cancel(attempt)
}

// Load implements engine.Client.
func (f *Farm) Load(_ context.Context, address string) (engine.Load, error) {
	e, err := f.reach(address)
	if err != nil {
		return engine.Load{}, err
	}
	return e.Load(), nil
}

// Order implements engine.Client.
func (f *Farm) Order(_ context.Context, address string, order engine.WeightsOrder) error {
	e, err := f.reach(address)
	if err != nil {
		return err
	}
	return e.Order(order)
}

// CacheEvents implements engine.Client.
func (f *Farm) CacheEvents(_ context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	e, err := f.reach(address)
	if err != nil {
		return nil, err
	}
	return e.CacheEvents(after), nil
}

// channelStream is a decode stream without a network.
type channelStream struct {
	ctx    context.Context
	tokens <-chan engine.Token
	last   bool
}

// Next implements engine.Stream.
func (s *channelStream) Next() (engine.Token, error) {
	if s.last {
		return engine.Token{}, io.EOF
	}
	// If both cases are ready, select chooses one at random. The end of ctx must
	// take precedence.
	if s.ctx.Err() != nil {
		return engine.Token{}, engine.ErrBroken
	}
	select {
	case token, ok := <-s.tokens:
		if !ok {
			return engine.Token{}, engine.ErrBroken
		}
		s.last = token.Last
		return token, nil
	case <-s.ctx.Done():
		return engine.Token{}, engine.ErrBroken
	}
}

// Close implements engine.Stream.
func (s *channelStream) Close() {}

// Engine returns the engine at an address, or nil.
func (f *Farm) Engine(address string) *Engine { return f.lookup(address) }
