package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastwheel/mastwheel/service"
	"github.com/mastwheel/mastwheel/wait"
)

// HeaderOperation is the header with the ID under which the ledger counts a call.
const HeaderOperation = "Idempotency-Key"

// Plain is a stand-in for the servers of a plain service. They share one ledger,
// which counts how often each operation ran.
type Plain struct {
	// CallDuration is the duration of a call.
	CallDuration time.Duration
	// LoseReplies is how many of the next calls run without an answer.
	LoseReplies atomic.Int64
	// Refuse is how many of the next calls are refused without being run.
	Refuse atomic.Int64

	mu   sync.Mutex
	runs map[string]int
	down map[string]bool
}

// NewPlain returns a service with the given duration of a call.
func NewPlain(took time.Duration) *Plain {
	return &Plain{CallDuration: took, runs: make(map[string]int), down: make(map[string]bool)}
}

// SetDown makes the server at an address unreachable if down is set, and reachable
// otherwise.
func (p *Plain) SetDown(address string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[address] = down
}

// Runs returns how often each operation ran.
func (p *Plain) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make(map[string]int, len(p.runs))
	for operation, n := range p.runs {
		runs[operation] = n
	}
	return runs
}

// Do implements service.Client.
func (p *Plain) Do(ctx context.Context, address string, call service.Call) (service.Answer, error) {
	p.mu.Lock()
	down := p.down[address]
	p.mu.Unlock()
	if down {
		return service.Answer{}, service.ErrUnreachable
	}
	if consume(&p.Refuse) {
		return service.Answer{}, service.ErrNotRun
	}
	operation := operationOf(call)
	p.mu.Lock()
	p.runs[operation]++
	runs := p.runs[operation]
	p.mu.Unlock()
	if !wait.For(ctx, p.CallDuration) || consume(&p.LoseReplies) {
		return service.Answer{}, service.ErrLost
	}
	body := fmt.Sprintf("{\"operation\":%q,\"runs\":%d}\n", operation, runs)
	return service.Answer{Status: http.StatusOK, Body: []byte(body), Headers: []service.Header{
		{Name: "Content-Type", Value: "application/json"},
	}}, nil
}

// operationOf returns the operation of a call: the value of HeaderOperation, or the
// method and path if there is none.
func operationOf(call service.Call) string {
	for _, header := range call.Headers {
		if header.Name == HeaderOperation {
			return header.Value
		}
	}
	return call.Method + " " + call.Path
}
