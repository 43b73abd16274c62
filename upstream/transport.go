package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mastwheel/mastwheel/clock"
)

// Transport is an http.RoundTripper that reads answers by the rules of this package. It is for clients of other peers than the
// backend servers of a pool: it keeps connections per address, follows no redirects and sends the requests that it is given.
type Transport struct {
	config Config

	mu    sync.Mutex
	pools map[string]*Pool
	// pruning is set while a prune is due.
	pruning bool
}

// NewTransport returns a transport without connections. It keeps no connection idle for longer than config says, whatever a peer
// announces.
func NewTransport(config Config) *Transport {
	config.NoLongerIdle = true
	return &Transport{config: config, pools: make(map[string]*Pool)}
}

// NewClientTransport returns a transport for a peer that is no backend server. Its connections have the keep-alive probes of the default
// dialer, which detect a dead one under a stream that sends nothing.
func NewClientTransport(dialTimeout time.Duration) *Transport {
	config := DefaultConfig()
	config.DialTimeout = dialTimeout
	config.Dial = new(net.Dialer).DialContext
	return NewTransport(config)
}

// RoundTrip implements http.RoundTripper. Its error is ErrNotSent, also for a request that cannot be encoded, or ErrBroken. The body of
// the answer fails with ErrBroken where its end is not known to be the end.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	message, err := encode(request)
	if err != nil {
		return nil, err
	}
	answer, err := t.exchange(request.Context(), t.pool(addressOf(request)), message)
	if err != nil {
		return nil, err
	}
	if request.Close {
		answer.Response.Close = true
	}
	response := *answer.Response
	response.Request, response.Body = request, answer
	return &response, nil
}

// encode returns a request as it is sent, and closes its body.
func encode(request *http.Request) (Message, error) {
	if request.URL.Scheme != "http" {
		if request.Body != nil {
			request.Body.Close()
		}
		return Message{}, errors.WithMessagef(ErrNotSent, "encode request: scheme %q is not supported", request.URL.Scheme)
	}
	var out bytes.Buffer
	if err := request.Write(&out); err != nil {
		return Message{}, errors.WithMessagef(ErrNotSent, "encode request: %v", err)
	}
	return Message{Method: request.Method, Head: out.Bytes()}, nil
}

// addressOf returns the "host:port" that a request is sent to.
func addressOf(request *http.Request) string {
	if request.URL.Port() == "" {
		return net.JoinHostPort(request.URL.Hostname(), "80")
	}
	return request.URL.Host
}

// exchange sends a message. One that may be repeated is sent again if its connection was idle before and broke: the server may have
// closed it as the message was sent.
func (t *Transport) exchange(ctx context.Context, pool *Pool, message Message) (*Answer, error) {
	conn, err := pool.Acquire(ctx)
	if err != nil {
		return nil, err
	}
	reused := conn.Reused()
	answer, err := conn.Do(ctx, message)
	if err == nil || !reused || !isSafe(message.Method) || ctx.Err() != nil {
		return answer, err
	}
	next, failed := pool.AcquireNew(ctx)
	if failed != nil {
		return nil, err
	}
	return next.Do(ctx, message)
}

// isSafe reports whether a method changes nothing at the server (RFC 9110, section 9.2.1).
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// pool returns the pool for an address.
func (t *Transport) pool(address string) *Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, ok := t.pools[address]
	if !ok {
		pool = NewPool(address, t.config)
		t.pools[address] = pool
	}
	t.schedulePrune()
	return pool
}

// schedulePrune closes idle connections after their time, also if no other request follows. The caller must hold the lock.
func (t *Transport) schedulePrune() {
	if t.pruning {
		return
	}
	t.pruning = true
	time.AfterFunc(t.config.IdleTimeout, t.prune)
}

// prune closes the connections that were idle for too long, and forgets addresses without connections.
func (t *Transport) prune() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	for address, pool := range t.pools {
		pool.Prune(now)
		if pool.IsEmpty() {
			t.drop(address, pool)
		}
	}
	t.pruning = false
	if len(t.pools) > 0 {
		t.schedulePrune()
	}
}

// drop forgets an address. A request that has its pool already uses it, and its connection is closed behind it. The caller must hold the
// lock.
func (t *Transport) drop(address string, pool *Pool) {
	pool.Close()
	delete(t.pools, address)
}

// CloseIdleConnections closes the idle connections, and those in use when their answers have been read.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, pool := range t.pools {
		t.drop(address, pool)
	}
}
