package standin

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// Prefill reads a prompt. The order keeps running when its sender goes away;
// only Cancel ends it.
func (e *Engine) Prefill(order engine.PrefillOrder) (engine.PrefillResult, error) {
	tokens := engine.EstimateTokens(len(order.Prompt))
	j := &job{attempt: order.Attempt, prompt: order.Prompt, tokens: tokens}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	key := keyOf(order.Attempt)
	e.mu.Lock()
	if e.cancelled[key] || e.refusesLocked() {
		e.mu.Unlock()
		j.cancel()
		return engine.PrefillResult{}, engine.ErrRefused
	}
	e.results[key] = j
	e.waiting += tokens
	e.mu.Unlock()
	cached, read := e.read(j, order.Priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting -= tokens
	if !read || e.results[key] != j {
		return engine.PrefillResult{}, engine.ErrBroken
	}
	e.ledger.Prefills++
	e.ledger.PrefillTokens += int64(tokens)
	time.AfterFunc(e.config.Window, func() { e.expire(key, j) })
	return engine.PrefillResult{
		Handle: order.RequestID, PromptTokens: tokens, CachedTokens: cached,
		WindowMillis: e.config.Window.Milliseconds(),
	}, nil
}

// read takes the engine's one prefill slot and reads what is not cached.
func (e *Engine) read(j *job, priority int) (cached int, read bool) {
	if !e.prefillGate.enter(j.ctx, priority) {
		return 0, false
	}
	defer e.prefillGate.leave()
	e.mu.Lock()
	e.ran[j.attempt.RequestID] = true
	e.mu.Unlock()
	cached = e.remember(j.prompt)
	seconds := float64(max(j.tokens-cached, 1)) / e.config.TokenRate
	return cached, wait.For(j.ctx, e.stretch(time.Duration(seconds*float64(time.Second))))
}

// remember puts the prompt's prefixes into the cache and returns how many
// tokens were there already.
func (e *Engine) remember(prompt string) (cached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, prefix := range route.PrefixHashes(prompt) {
		if e.cached[prefix] {
			cached = (i + 1) * route.PrefixBlockTokens
			continue
		}
		e.evictLocked()
		e.cached[prefix] = true
		e.eventLocked(prefix, false)
	}
	return cached
}

func (e *Engine) evictLocked() {
	if len(e.cached) < e.config.CachedPrefixes {
		return
	}
	for prefix := range e.cached {
		delete(e.cached, prefix)
		e.eventLocked(prefix, true)
		return
	}
}

// keptEvents bounds the cache events that a reader can still get; a slow
// reader sees a gap.
const keptEvents = 4096

func (e *Engine) eventLocked(prefix uint64, removed bool) {
	sequence := int64(1)
	if n := len(e.events); n > 0 {
		sequence = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, engine.CacheEvent{Sequence: sequence, Prefix: prefix, Removed: removed})
	if len(e.events) > keptEvents {
		e.events = e.events[1:]
	}
}

func (e *Engine) expire(key jobKey, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.results[key] != j {
		return
	}
	delete(e.results, key)
	e.wasteLocked(wasteExpired, j)
	j.cancel()
}

// export hands a prefill result to the engine that imports it.
func (e *Engine) export(key jobKey) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.results[key]
	return j, ok
}

// exported frees a result once it has arrived.
func (e *Engine) exported(key jobKey, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.results[key] == j {
		delete(e.results, key)
		j.cancel()
	}
}

// CacheEvents returns the events after a sequence number that are still kept.
func (e *Engine) CacheEvents(after int64) []engine.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var events []engine.CacheEvent
	for _, event := range e.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}
