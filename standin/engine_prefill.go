package standin

import (
	"context"
	"time"

	"github.com/mastwheel/mastwheel/engine"
	"github.com/mastwheel/mastwheel/route"
	"github.com/mastwheel/mastwheel/wait"
)

// Prefill runs the prefill of a prompt. The order continues when its sender
// disconnects. Only Cancel and Crash end it.
func (e *Engine) Prefill(order engine.PrefillOrder) (engine.PrefillResult, error) {
	tokens := engine.EstimateTokens(len(order.Prompt))
	j := &job{attempt: order.Attempt, prompt: order.Prompt, tokens: tokens}
	j.ctx, j.cancel = context.WithCancel(context.Background())
	key := keyOf(order.Attempt)
	e.mu.Lock()
	if e.cancelled[key] || e.refusesWorkLocked() {
		e.mu.Unlock()
		j.cancel()
		return engine.PrefillResult{}, engine.ErrRefused
	}
	e.results[key] = j
	e.waiting += tokens
	e.mu.Unlock()
	cached, completed := e.runPrefill(j, order.Priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting -= tokens
	if !completed || e.results[key] != j {
		return engine.PrefillResult{}, engine.ErrBroken
	}
	e.ledger.Prefills++
	e.ledger.PrefillTokens += int64(tokens)
	time.AfterFunc(e.config.ResultLifetime, func() { e.expire(key, j) })
	return engine.PrefillResult{
		Handle: order.RequestID, PromptTokens: tokens, CachedTokens: cached,
		WindowMillis: e.config.ResultLifetime.Milliseconds(),
	}, nil
}

// runPrefill waits for the engine's only prefill slot and prefills the tokens
// that are not cached.
func (e *Engine) runPrefill(j *job, priority int) (cached int, completed bool) {
	if !e.prefillGate.enter(j.ctx, priority) {
		return 0, false
	}
	defer e.prefillGate.leave()
	e.mu.Lock()
	e.ran[j.attempt.RequestID] = true
	e.mu.Unlock()
	cached = e.cachePrefixes(j.prompt)
	seconds := float64(max(j.tokens-cached, 1)) / e.config.TokenRate
	return cached, wait.For(j.ctx, e.stretch(time.Duration(seconds*float64(time.Second))))
}

// cachePrefixes adds the prompt's prefixes to the cache and returns the number
// of tokens that were already cached.
func (e *Engine) cachePrefixes(prompt string) (cached int) {
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

// maxCacheEvents is the maximum number of cache events that are kept. A slow
// reader sees a gap in the sequence numbers.
const maxCacheEvents = 4096

func (e *Engine) eventLocked(prefix uint64, removed bool) {
	sequence := int64(1)
	if n := len(e.events); n > 0 {
		sequence = e.events[n-1].Sequence + 1
	}
	e.events = append(e.events, engine.CacheEvent{Sequence: sequence, Prefix: prefix, Removed: removed})
	if len(e.events) > maxCacheEvents {
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

// result returns the prefill result of an attempt that has not expired.
func (e *Engine) result(key jobKey) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.results[key]
	return j, ok
}

// releaseResult frees a prefill result after its transfer is complete.
func (e *Engine) releaseResult(key jobKey, j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.results[key] == j {
		delete(e.results, key)
		j.cancel()
	}
}

// CacheEvents returns the kept cache events after a sequence number.
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
