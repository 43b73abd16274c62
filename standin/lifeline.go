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

// Lifeline stands between an instance and everything outside it, so that the
// instance can be killed or paused within the process: a killed instance
// sends nothing more, a paused one sends when it resumes.
type Lifeline struct {
	ctx  context.Context
	kill context.CancelFunc

	mu     sync.Mutex
	paused chan struct{} // closed by resume; nil while not paused
}

// NewLifeline returns the lifeline of a living instance.
func NewLifeline() *Lifeline {
	l := &Lifeline{}
	l.ctx, l.kill = context.WithCancel(context.Background())
	return l
}

// Pause freezes the instance towards everything outside.
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

// Context ends when the instance is killed.
func (l *Lifeline) Context() context.Context { return l.ctx }

// Kill ends the instance towards everything outside.
func (l *Lifeline) Kill() { l.kill() }

// Engines, Services, Peers, Log and List pass what the instance sends through
// the lifeline.

// Engines wraps a client of engines.
func (l *Lifeline) Engines(client engine.Client) engine.Client { return engines{l, client} }

// Services wraps a client of plain servers.
func (l *Lifeline) Services(client service.Client) service.Client { return services{l, client} }

// Peers wraps a transport between siblings.
func (l *Lifeline) Peers(transport peer.Transport) peer.Transport { return peers{l, transport} }

// Log wraps a client of the log.
func (l *Lifeline) Log(client oplog.Client) oplog.Client { return logLine{l, client} }

// List wraps a client of the instance list.
func (l *Lifeline) List(client instancelist.Client) instancelist.Client { return listLine{l, client} }

// pass waits while paused, and returns false once killed.
func (l *Lifeline) pass() bool {
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

// tie returns a context that also ends with the instance.
func (l *Lifeline) tie(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// engines passes orders through the lifeline.
type engines struct {
	*Lifeline
	engine.Client
}

func (e engines) Prefill(ctx context.Context, address string, order engine.PrefillOrder) (engine.PrefillResult, error) {
	if !e.pass() {
		return engine.PrefillResult{}, engine.ErrBroken
	}
	ctx, done := e.tie(ctx)
	defer done()
	return e.Client.Prefill(ctx, address, order)
}

func (e engines) Import(ctx context.Context, address string, order engine.ImportOrder) error {
	if !e.pass() {
		return engine.ErrBroken
	}
	ctx, done := e.tie(ctx)
	defer done()
	return e.Client.Import(ctx, address, order)
}

func (e engines) Decode(ctx context.Context, address string, order engine.DecodeOrder) (engine.Stream, error) {
	if !e.pass() {
		return nil, engine.ErrBroken
	}
	ctx, done := e.tie(ctx)
	stream, err := e.Client.Decode(ctx, address, order)
	if err != nil {
		done()
		return nil, err
	}
	return &tiedStream{Stream: stream, line: e.Lifeline, done: done}, nil
}

func (e engines) Cancel(ctx context.Context, address string, attempt engine.Attempt) error {
	if !e.pass() {
		return engine.ErrBroken
	}
	return e.Client.Cancel(ctx, address, attempt)
}

func (e engines) Order(ctx context.Context, address string, order engine.WeightsOrder) error {
	if !e.pass() {
		return engine.ErrBroken
	}
	return e.Client.Order(ctx, address, order)
}

func (e engines) Load(ctx context.Context, address string) (engine.Load, error) {
	if !e.pass() {
		return engine.Load{}, engine.ErrBroken
	}
	return e.Client.Load(ctx, address)
}

func (e engines) CacheEvents(ctx context.Context, address string, after int64) ([]engine.CacheEvent, error) {
	if !e.pass() {
		return nil, engine.ErrBroken
	}
	return e.Client.CacheEvents(ctx, address, after)
}

type tiedStream struct {
	engine.Stream
	line *Lifeline
	done func()
}

func (s *tiedStream) Next() (engine.Token, error) {
	token, err := s.Stream.Next()
	if !s.line.pass() {
		return engine.Token{}, engine.ErrBroken
	}
	return token, err
}

func (s *tiedStream) Close() {
	s.Stream.Close()
	s.done()
}

// services passes calls through the lifeline.
type services struct {
	*Lifeline
	service.Client
}

func (s services) Do(ctx context.Context, address string, call service.Call) (service.Answer, error) {
	if !s.pass() {
		return service.Answer{}, service.ErrLost
	}
	answer, err := s.Client.Do(ctx, address, call)
	if !s.pass() {
		return service.Answer{}, service.ErrLost
	}
	return answer, err
}

// peers passes messages through the lifeline, both ways.
type peers struct {
	*Lifeline
	peer.Transport
}

func (p peers) Call(ctx context.Context, address string, question *peer.Message) (*peer.Message, error) {
	if !p.pass() {
		return nil, peer.ErrUnreached
	}
	ctx, done := p.tie(ctx)
	defer done()
	answer, err := p.Transport.Call(ctx, address, question)
	if !p.pass() {
		return nil, peer.ErrUnreached
	}
	return answer, err
}

func (p peers) Send(address string, message *peer.Message) {
	if p.pass() {
		p.Transport.Send(address, message)
	}
}

func (p peers) Serve(ctx context.Context, handler peer.Handler) error {
	return p.Transport.Serve(ctx, func(ctx context.Context, message *peer.Message) *peer.Message {
		if !p.pass() {
			return nil
		}
		return handler(ctx, message)
	})
}

// logLine and listLine pass reads of the platform through the lifeline.
type logLine struct {
	*Lifeline
	oplog.Client
}

func (l logLine) Append(ctx context.Context, data []byte) (uint64, error) {
	if !l.pass() {
		return 0, oplog.ErrUnavailable
	}
	return l.Client.Append(ctx, data)
}

func (l logLine) Read(ctx context.Context, from uint64, most int) (oplog.Batch, error) {
	if !l.pass() {
		return oplog.Batch{}, oplog.ErrUnavailable
	}
	return l.Client.Read(ctx, from, most)
}

type listLine struct {
	*Lifeline
	instancelist.Client
}

func (l listLine) List(ctx context.Context, zone string) ([]instancelist.Entry, error) {
	if !l.pass() {
		return nil, context.Canceled
	}
	return l.Client.List(ctx, zone)
}

func (l listLine) Zones(ctx context.Context) ([]string, error) {
	if !l.pass() {
		return nil, context.Canceled
	}
	return l.Client.Zones(ctx)
}
