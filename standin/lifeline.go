package standin

import (
	"context"
	"sync"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/instancelist"
	"github.com/mastwheel/mastwheel/oplog"
	"github.com/mastwheel/mastwheel/peer"
	"github.com/mastwheel/mastwheel/service"
)

// Lifeline wraps the clients and transports of an instance, so that the instance
// can be killed or paused within the process. A killed instance sends nothing
// more. A paused instance sends when it resumes.
type Lifeline struct {
	ctx  context.Context
	kill context.CancelFunc

	mu     sync.Mutex
	paused chan struct{} // closed by Resume, nil if not paused
}

// NewLifeline returns the lifeline of a running instance.
func NewLifeline() *Lifeline {
	l := &Lifeline{}
	l.ctx, l.kill = context.WithCancel(context.Background())
	return l
}

// Pause suspends everything that the instance sends.
func (l *Lifeline) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (l *Lifeline) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
	}
}

// Context returns a context that ends when the instance is killed.
func (l *Lifeline) Context() context.Context { return l.ctx }

// Kill makes everything that the instance sends fail from now on.
func (l *Lifeline) Kill() { l.kill() }

// Engines, Services, Peers, Log and List wrap the clients of the instance, so that
// they follow the pauses and the kill of the lifeline.

// Engines wraps a client of engines.
func (l *Lifeline) Engines(client engine.Client) engine.Client { return engineClient{l, client} }

// Services wraps a client of plain servers.
func (l *Lifeline) Services(client service.Client) service.Client { return serviceClient{l, client} }

// Peers wraps a transport between siblings.
func (l *Lifeline) Peers(transport peer.Transport) peer.Transport { return peerTransport{l, transport} }

// Log wraps a client of the log.
func (l *Lifeline) Log(client oplog.Client) oplog.Client { return logClient{l, client} }

// List wraps a client of the instance list.
func (l *Lifeline) List(client instancelist.Client) instancelist.Client { return listClient{l, client} }

// waitWhilePaused waits for the end of a pause. It returns false if the instance
// was killed.
func (l *Lifeline) waitWhilePaused() bool {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-l.ctx.Done():
		}
	}
	return l.ctx.Err() == nil
}

// bindContext returns a context that also ends when the instance is killed.
func (l *Lifeline) bindContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// engineClient is an engine.Client that follows a lifeline.
type engineClient struct {
	*Lifeline
	engine.Client
}

func (e engineClient) Prefill(ctx context.Context, address string, order engine.PrefillOrder) (engine.PrefillResult, error) {
	if !e.waitWhilePaused() {
		return engine.PrefillResult{}, engine.ErrBroken
	}
	ctx, done := e.bindContext(ctx)
	defer done()
	return e.Client.Prefill(ctx, address, order)
}

func (e engineClient) Import(ctx context.Context, address string, order engine.ImportOrder) error {
	if !e.waitWhilePaused() {
		return engine.ErrBroken
	}
	ctx, done := e.bindContext(ctx)
	defer done()
	return e.Client.Import(ctx, address, order)
}

func (e engineClient) Decode(ctx context.Context, address string, order engine.DecodeOrder) (engine.Stream, error) {
	if !e.waitWhilePaused() {
		return nil, engine.ErrBroken
	}
	ctx, done := e.bindContext(ctx)
	stream, err := e.Client.Decode(ctx, address, order)
	if err != nil {
		done()
		return nil, err
	}
	return &boundStream{Stream: stream, lifeline: e.Lifeline, done: done}, nil
}

func (e engineClient) Cancel(ctx context.Context, address string, attempt engine.Attempt) error {
	if !e.waitWhilePaused() {
		return engine.ErrBroken
	}
	return e.Client.Cancel(ctx, address, attempt)
}

func (e engineClient) Order(ctx context.Context, address string, order engine.WeightsOrder) error {
	if !e.waitWhilePaused() {
		return engine.ErrBroken
	}
	return e.Client.Order(ctx, address, order)
}

func (e engineClient) Load(ctx context.Context, address string) (engine.Load, error) {
	if !e.waitWhilePaused() {
		return engine.Load{}, engine.ErrBroken
	}
	return e.Client.Load(ctx, address)
}

func (e engineClient) CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	if !e.waitWhilePaused() {
		return nil, engine.ErrBroken
	}
	return e.Client.CacheEvents(ctx, address, after)
}

// boundStream is a decode stream that follows a lifeline.
type boundStream struct {
	engine.Stream
	lifeline *Lifeline
	done     func()
}

func (s *boundStream) Next() (engine.Token, error) {
	token, err := s.Stream.Next()
	if !s.lifeline.waitWhilePaused() {
		return engine.Token{}, engine.ErrBroken
	}
	return token, err
}

func (s *boundStream) Close() {
	s.Stream.Close()
	s.done()
}

// serviceClient is a service.Client that follows a lifeline.
type serviceClient struct {
	*Lifeline
	service.Client
}

func (s serviceClient) Do(ctx context.Context, address string, call service.Call) (service.Answer, error) {
	if !s.waitWhilePaused() {
		return service.Answer{}, service.ErrLost
	}
	answer, err := s.Client.Do(ctx, address, call)
	if !s.waitWhilePaused() {
		return service.Answer{}, service.ErrLost
	}
	return answer, err
}

// peerTransport is a peer.Transport that follows a lifeline in both directions.
type peerTransport struct {
	*Lifeline
	peer.Transport
}

func (p peerTransport) Call(ctx context.Context, address string, request *peer.Message) (*peer.Message, error) {
	if !p.waitWhilePaused() {
		return nil, peer.ErrNoAnswer
	}
	ctx, done := p.bindContext(ctx)
	defer done()
	answer, err := p.Transport.Call(ctx, address, request)
	if !p.waitWhilePaused() {
		return nil, peer.ErrNoAnswer
	}
	return answer, err
}

func (p peerTransport) Send(address string, message *peer.Message) {
	if p.waitWhilePaused() {
		p.Transport.Send(address, message)
	}
}

func (p peerTransport) Serve(ctx context.Context, handler peer.Handler) error {
	return p.Transport.Serve(ctx, func(ctx context.Context, message *peer.Message) *peer.Message {
		if !p.waitWhilePaused() {
			return nil
		}
		return handler(ctx, message)
	})
}

// logClient is an oplog.Client that follows a lifeline.
type logClient struct {
	*Lifeline
	oplog.Client
}

func (l logClient) Append(ctx context.Context, data []byte) (uint64, error) {
	if !l.waitWhilePaused() {
		return 0, oplog.ErrUnavailable
	}
	return l.Client.Append(ctx, data)
}

func (l logClient) Read(ctx context.Context, from uint64, most int) (oplog.Batch, error) {
	if !l.waitWhilePaused() {
		return oplog.Batch{}, oplog.ErrUnavailable
	}
	return l.Client.Read(ctx, from, most)
}

// listClient is an instancelist.Client that follows a lifeline.
type listClient struct {
	*Lifeline
	instancelist.Client
}

func (l listClient) List(ctx context.Context, zone string) ([]instancelist.Entry, error) {
	if !l.waitWhilePaused() {
		return nil, context.Canceled
	}
	return l.Client.List(ctx, zone)
}

func (l listClient) Zones(ctx context.Context) ([]string, error) {
	if !l.waitWhilePaused() {
		return nil, context.Canceled
	}
	return l.Client.Zones(ctx)
}
