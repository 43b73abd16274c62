package standin

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/wait"
)

// dropHeldLocked frees a request's memory before its answer is complete. cause
// is the cause under which a wasted prefill is counted.
func (e *Engine) dropHeldLocked(key jobKey, j *job, cause string) {
	e.releaseLocked(key, j)
	if j.imported && !j.answered {
		e.wasteLocked(cause, j)
	}
}

// Import fetches a KV cache from another engine into this engine's memory.
func (e *Engine) Import(order engine.ImportOrder) error {
	key := keyOf(order.Attempt)
	source := e.farm.lookup(order.Source)
	if source == nil || source.Faults.Down.Load() {
		return engine.ErrExpired
	}
	result, ok := source.result(key)
	if !ok {
		return engine.ErrExpired
	}
	j := &job{attempt: order.Attempt, prompt: result.prompt, tokens: result.tokens, pieces: order.Pieces}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	if err := e.reserveMemory(key, j); err != nil {
		j.cancel()
		return err
	}
	if consume(&e.Faults.StallImports) {
		<-j.ctx.Done()
		return engine.ErrBroken
	}
	if !source.transmit(j) {
		return engine.ErrBroken
	}
	if _, kept := source.result(key); !kept {
		e.mu.Lock()
		if e.held[key] == j {
			e.releaseLocked(key, j)
		}
		e.mu.Unlock()
		return engine.ErrExpired
	}
	source.releaseResult(key, result)
	e.mu.Lock()
	e.ledger.Imports++
	j.imported = true
	e.mu.Unlock()
	return nil
}

// reserveMemory reserves the memory of a job.
func (e *Engine) reserveMemory(key jobKey, j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelled[key] || e.refusesWorkLocked() {
		return engine.ErrRefused
	}
	if e.freeLocked() < j.pieces {
		e.ledger.ImportRefused++
		e.ledger.OverCommitted++
		return engine.ErrNoMemory
	}
	e.held[key] = j
	j.holdIndex = len(e.holds)
	e.holds = append(e.holds, Reservation{Prompt: PromptHash(j.prompt), Pieces: j.pieces, From: time.Now()})
	return nil
}

// noteDrainingLocked records the time since which the engine reports a drain. It
// is called for each load report and each order, because there may be no order
// between two drains that would show that the first has ended.
func (e *Engine) noteDrainingLocked(now time.Time) {
	switch {
	case !e.Faults.Draining.Load():
		e.drainingSince = time.Time{}
	case e.drainingSince.IsZero():
		e.drainingSince = now
	}
}

// refusesWorkLocked reports whether the engine refuses new work because it is
// draining. It counts work that arrives after DrainGrace as late.
func (e *Engine) refusesWorkLocked() bool {
	now := time.Now()
	e.noteDrainingLocked(now)
	if e.drainingSince.IsZero() {
		return false
	}
	if now.Sub(e.drainingSince) > DrainGrace {
		e.ledger.LateOrders++
	}
	return true
}

// releaseLocked frees a request's memory.
func (e *Engine) releaseLocked(key jobKey, j *job) {
	delete(e.held, key)
	j.cancel()
	e.holds[j.holdIndex].Until = time.Now()
}

// transmit waits for the duration of a transfer over the engine's only link. It
// returns false if the job was cancelled.
func (e *Engine) transmit(j *job) bool {
	if !e.linkGate.enter(j.ctx, 0) {
		return false
	}
	defer e.linkGate.leave()
	seconds := float64(j.tokens) * e.config.BytesPerToken / e.config.LinkBytesPerSecond
	return wait.For(j.ctx, e.stretch(time.Duration(seconds*float64(time.Second))))
}

// Decode generates tokens from position order.From on and sends them to the
// returned channel. The channel is closed early if the stream breaks.
func (e *Engine) Decode(order engine.DecodeOrder) (<-chan engine.Token, error) {
	key := keyOf(order.Attempt)
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.held[key]
	if !ok {
		return nil, engine.ErrExpired
	}
	j.stream++
	tokens := make(chan engine.Token, 2*order.MaxTokens+2)
	go e.generate(key, j, j.stream, order, tokens)
	return tokens, nil
}

// generate emits tokens until the answer is complete, the stream breaks, or a
// later stream of the same job replaces this one.
func (e *Engine) generate(key jobKey, j *job, stream int, order engine.DecodeOrder, tokens chan<- engine.Token) {
	defer close(tokens)
	breakAt := -1
	if consume(&e.Faults.BreakStreams) {
		breakAt = order.From + (order.MaxTokens-order.From)/2
	}
	for position := order.From; position < order.MaxTokens; position++ {
		if !wait.For(j.ctx, e.stepTime()) {
			return
		}
		if position == breakAt || !e.isCurrent(j, stream) {
			return
		}
		e.emit(j, tokens, engine.Token{
			RequestID: order.RequestID, Number: order.Number, Position: position,
			Text: AnswerToken(j.prompt, position), Last: position == order.MaxTokens-1,
		})
	}
	e.finish(key, j)
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	batch := len(e.held)
	e.mu.Unlock()
	return e.stretch(e.config.StepBase + time.Duration(batch)*e.config.StepEach)
}

func (e *Engine) emit(j *job, tokens chan<- engine.Token, token engine.Token) {
	e.mu.Lock()
	e.ledger.Tokens++
	j.answered = true
	e.mu.Unlock()
	if consume(&e.Faults.ForeignTokens) {
		foreign := token
		foreign.RequestID = "foreign"
		foreign.Text = " foreign"
		tokens <- foreign
	}
	tokens <- token
	if consume(&e.Faults.RepeatTokens) {
		tokens <- token
	}
}

// isCurrent reports whether no later stream has replaced this one. A job without
// a stream stays in memory. It can be resumed, or must be cancelled.
func (e *Engine) isCurrent(j *job, stream int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.stream == stream
}

func (e *Engine) finish(key jobKey, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[key] != j {
		return
	}
	e.releaseLocked(key, j)
	e.ledger.Finished++
}
