package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sheet holds figures of the model service, those of a small deployment's sheet.
type sheet struct {
	memory, tokenBytes, stride                     int
	linkMbps, stepMillis, slotMillis, readPerMilli float64
	moveSetup                                      time.Duration
}

// sheetLight is the sheet of a deployment.
var sheetLight = sheet{89659, 18432, 64, 1_000_000, 0.579, 0.0191, 55.5, time.Millisecond}

const (
	engineSlots = 64
	handleHold  = 500 * time.Millisecond
	switchTime  = 6 * time.Second
)

// farm holds the engines and what they may do wrongly.
type farm struct {
	sheet
	record     *record
	deployment *deployment
	// unframed makes engines answer streams without a length, so that they end with their connection.
	unframed bool
	mu       sync.Mutex
	started  int
	engines  map[string]*engine // by address
}

// memory is KV memory that is kept under a handle: of a prompt that was read, or of a run that was moved.
type memory struct {
	owner  string
	tokens int
	events int
	until  time.Time
}

// run is one request that runs at an engine.
type run struct {
	tokens, events int
	stop           chan struct{}
	moving         bool
	handle         string
	copied         int
}

// engine is one worker of the model service.
type engine struct {
	farm    *farm
	id      string
	address string
	zone    string
	worker  *worker
	// extra is the share of its answers that the engine sends twice, the second time late.
	extra atomic.Uint64
	// moves counts the calls to move a run.
	moves atomic.Int64

	// reading and link are held while a prompt is read and while memory is copied.
	reading, link sync.Mutex

	mu       sync.Mutex
	stage    string
	state    string
	busy     bool
	sequence uint64
	fence    uint64
	beats    uint64
	next     int
	holds    map[string]int
	runs     map[string]*run
	handles  map[string]*memory
	copies   map[string]*memory // by "source address/handle"
	paused   chan struct{}
	gone     bool
	// silentLeave is set once the engine leaves without a report, and removedAt is when its entry was removed.
	silentLeave bool
	removedAt   time.Time
}

func newFarm(r *record, d *deployment) *farm {
	return &farm{sheet: d.sheet, record: r, deployment: d, engines: make(map[string]*engine)}
}

// start starts an engine and registers it. The zones take turns.
func (f *farm) start(stage string) (*engine, error) { return f.startIn("", stage) }

// startIn is like start, in a zone.
func (f *farm) startIn(zone, stage string) (*engine, error) {
	f.mu.Lock()
	f.started++
	n := f.started
	f.mu.Unlock()
	if zone == "" {
		zone = zoneNames[n%len(zoneNames)]
	}
	e := &engine{
		farm: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: f.deployment.address(100+n, 8080), zone: zone,
		stage: stage, state: "ready", holds: make(map[string]int), runs: make(map[string]*run), handles: make(map[string]*memory), copies: make(map[string]*memory),
	}
	var err error
	if e.worker, err = listenWorker(e.address, e); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.engines[e.address] = e
	f.mu.Unlock()
	e.beat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			e.mu.Lock()
			gone := e.gone
			e.mu.Unlock()
			if gone {
				return
			}
			e.beat()
		}
	}()
	return e, nil
}

func (f *farm) at(address string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.beats++
	stage, state, beats, gone := e.stage, e.state, e.beats, e.gone || e.silentLeave
	e.mu.Unlock()
	if !gone {
		e.farm.deployment.register(e.id, modelService, e.address, e.zone, stage, state, engineSlots, beats)
	}
}

// drain reports that the engine leaves.
func (e *engine) drain() {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.farm.record.note("%s at %s reports draining with %d runs", e.id, e.address, e.running())
	e.beat()
}

// exit ends the engine's process and removes its entry.
func (e *engine) exit() {
	e.mu.Lock()
	e.gone = true
	left := len(e.runs)
	e.mu.Unlock()
	e.farm.record.note("%s ends with %d runs", e.id, left)
	e.worker.end()
	e.farm.mu.Lock()
	delete(e.farm.engines, e.address)
	e.farm.mu.Unlock()
	e.farm.deployment.unregister(e.id)
}

func (e *engine) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// pauseFor makes the engine fall silent.
func (e *engine) pauseFor(d time.Duration) {
	silent := make(chan struct{})
	e.mu.Lock()
	e.paused = silent
	e.mu.Unlock()
	time.Sleep(d)
	e.mu.Lock()
	e.paused = nil
	e.mu.Unlock()
	close(silent)
}

// awaitAwake waits while the engine is silent.
func (e *engine) awaitAwake() {
	e.mu.Lock()
	silent := e.paused
	e.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

// used returns the memory in use. The caller holds the lock.
func (e *engine) used() int {
	used := 0
	for _, tokens := range e.holds {
		used += tokens
	}
	for _, one := range e.runs {
		used += one.tokens
	}
	now := time.Now()
	for _, kept := range []map[string]*memory{e.handles, e.copies} {
		for name, one := range kept {
			if now.After(one.until) {
				delete(kept, name)
				continue
			}
			used += one.tokens
		}
	}
	return used
}

var jsonType = map[string]string{"Content-Type": "application/json"}

// serve implements backend.
func (e *engine) serve(c *workerConn, r *http.Request, body []byte) {
	e.awaitAwake()
	if c.gone() {
		// A request whose connection has closed is dropped.
		c.last = true
		return
	}
	attempt := r.Header.Get("Mastwheel-Attempt-Id")
	fields := map[string]string{}
	if attempt != "" {
		fields["Mastwheel-Attempt-Id"] = attempt
	}
	if expected := r.Header.Get("Mastwheel-Expected-Instance"); expected != "" && expected != e.id {
		fields["Mastwheel-Instance-Id"] = e.id
		c.answer(http.StatusMisdirectedRequest, fields, nil)
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodPost && path == "/hold-take":
		e.holdTake(c, body)
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/hold-drop/"):
		e.mu.Lock()
		delete(e.holds, strings.TrimPrefix(path, "/hold-drop/"))
		e.mu.Unlock()
		c.answer(http.StatusOK, nil, nil)
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/kv-handle/"):
		e.freeHandle(strings.TrimPrefix(path, "/kv-handle/"))
		c.answer(http.StatusOK, nil, nil)
	case r.Method == http.MethodPost && path == "/kv-move":
		e.move(c, body)
	case path == "/report":
		e.report(c)
	case path == "/health":
		c.answer(http.StatusOK, map[string]string{"Mastwheel-Instance-Id": e.id}, nil)
	case r.Method == http.MethodPost && path == "/order":
		e.order(c, body)
	case attempt == "":
		fields["Mastwheel-Not-Executed"] = "1"
		c.answer(http.StatusBadRequest, fields, nil)
	default:
		e.request(c, r, attempt, fields)
	}
}

func (e *engine) holdTake(c *workerConn, body []byte) {
	var want struct {
		Tokens int   `json:"tokens"`
		TTL    int64 `json:"ttlMs"`
	}
	if json.Unmarshal(body, &want) != nil {
		c.answer(http.StatusBadRequest, nil, nil)
		return
	}
	e.mu.Lock()
	if e.stage != "decode" || e.busy || len(e.runs)+len(e.holds) >= engineSlots || e.used()+want.Tokens > e.farm.memory {
		e.mu.Unlock()
		c.answer(http.StatusServiceUnavailable, nil, nil)
		return
	}
	e.next++
	id := fmt.Sprintf("h%d", e.next)
	e.holds[id] = want.Tokens
	e.mu.Unlock()
	time.AfterFunc(time.Duration(want.TTL)*time.Millisecond, func() {
		e.mu.Lock()
		delete(e.holds, id)
		e.mu.Unlock()
	})
	c.answer(http.StatusOK, jsonType, encode(map[string]any{"hold": id}))
}

// freeHandle frees the memory of a handle, at both ends.
func (e *engine) freeHandle(handle string) {
	e.mu.Lock()
	delete(e.handles, handle)
	e.mu.Unlock()
	e.farm.mu.Lock()
	others := make([]*engine, 0, len(e.farm.engines))
	for _, other := range e.farm.engines {
		others = append(others, other)
	}
	e.farm.mu.Unlock()
	for _, other := range others {
		other.mu.Lock()
		delete(other.copies, e.address+"/"+handle)
		other.mu.Unlock()
	}
}

func (e *engine) report(c *workerConn) {
	e.mu.Lock()
	status := map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": e.busy, "sequence": e.sequence,
		"queuedRequests": 0, "activeRequests": len(e.runs), "kvUsed": e.used(), "kvTotal": e.farm.memory, "kvHandles": len(e.handles), "pinned": 0, "held": len(e.holds),
		"state": e.state, "runs": []any{},
	}
	e.mu.Unlock()
	c.answer(http.StatusOK, jsonType, encode(status))
}

func (e *engine) order(c *workerConn, body []byte) {
	var want struct {
		Operation string  `json:"operation"`
		Stage     string  `json:"stage"`
		Holder    string  `json:"holder"`
		Token     uint64  `json:"fencingToken"`
		Expected  *uint64 `json:"expected"`
	}
	if json.Unmarshal(body, &want) != nil || want.Holder == "" || want.Token == 0 || want.Operation != "stage" {
		c.answer(http.StatusBadRequest, nil, nil)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case want.Token < e.fence:
		status = http.StatusPreconditionFailed
	case e.busy || (want.Expected != nil && *want.Expected != e.sequence):
		status = http.StatusConflict
	case want.Stage == e.stage:
		status, e.fence = http.StatusOK, want.Token
	default:
		e.fence, e.busy = want.Token, true
		e.sequence++
		time.AfterFunc(switchTime, func() {
			e.mu.Lock()
			e.stage, e.busy = want.Stage, false
			e.mu.Unlock()
			e.beat()
		})
	}
	e.mu.Unlock()
	e.farm.record.note("%s gets the order %s by %s with token %d: %d", e.id, want.Stage, want.Holder, want.Token, status)
	c.answer(status, nil, nil)
}

// request handles a request of a client.
func (e *engine) request(c *workerConn, r *http.Request, attempt string, fields map[string]string) {
	e.mu.Lock()
	stage, busy := e.stage, e.busy
	e.mu.Unlock()
	prefill := r.Header.Get("Mastwheel-Stage") == "prefill"
	if busy {
		fields["Mastwheel-Not-Executed"] = "1"
		c.answer(http.StatusServiceUnavailable, fields, nil)
		return
	}
	if prefill != (stage == "prefill") {
		c.answer(http.StatusMisdirectedRequest, fields, nil)
		return
	}
	e.checkLate(attempt)
	prompt, most, _ := strings.Cut(r.Header.Get("Mastwheel-Token-Counts"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	mostTokens, _ := strconv.Atoi(most)
	if prefill {
		e.prefill(c, attempt, promptTokens, fields)
		return
	}
	e.decode(c, r, attempt, promptTokens, mostTokens/e.farm.stride, fields)
}

// double makes the engine send a second answer late, for the share of its answers that it does so.
func (e *engine) double(c *workerConn, fields map[string]string, body []byte) {
	if rand.Float64()*1e6 < float64(e.extra.Load()) {
		c.extra = whole(http.StatusOK, fields, body)
		e.farm.record.count("answers that were sent a second time, late")
	}
}

func (e *engine) prefill(c *workerConn, attempt string, tokens int, fields map[string]string) {
	e.reading.Lock()
	alive := c.pause(time.Duration(float64(tokens) / e.farm.readPerMilli * float64(time.Millisecond)))
	e.reading.Unlock()
	if !alive {
		c.last = true
		return
	}
	e.mu.Lock()
	e.next++
	handle := fmt.Sprintf("%s-%d", e.id[2:], e.next)
	e.handles[handle] = &memory{owner: attempt, tokens: tokens, until: time.Now().Add(handleHold)}
	e.mu.Unlock()
	fields["Content-Type"] = "application/json"
	body := encode(map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1})
	c.answer(http.StatusOK, fields, body)
	e.double(c, fields, body)
}

// copyTime returns how long the memory of some tokens takes over a link.
func (e *engine) copyTime(tokens int, to *engine) time.Duration {
	seconds := float64(tokens) * float64(e.farm.tokenBytes) * 8 / (e.farm.linkMbps * 1e6)
	if to.zone != e.zone {
		seconds *= 2
	}
	return e.farm.moveSetup + time.Duration(seconds*float64(time.Second))
}

// transfer copies memory between two engines, behind other copies on both links.
func (e *engine) transfer(tokens int, to *engine) {
	first, second := e, to
	if second.address < first.address {
		first, second = second, first
	}
	first.link.Lock()
	defer first.link.Unlock()
	if first != second {
		second.link.Lock()
		defer second.link.Unlock()
	}
	time.Sleep(e.copyTime(tokens, to))
}

// fetch takes the memory that a request names as its source; nil if it cannot be had.
func (e *engine) fetch(source string) *memory {
	e.mu.Lock()
	if kept := e.copies[source]; kept != nil {
		delete(e.copies, source)
		e.mu.Unlock()
		return kept
	}
	e.mu.Unlock()
	address, handle, _ := strings.Cut(source, "/")
	from := e.farm.at(address)
	if from == nil {
		return nil
	}
	from.mu.Lock()
	kept := from.handles[handle]
	// Memory of a run that was moved is taken where it arrived, or where the run was stopped.
	if kept == nil || time.Now().After(kept.until) || (kept.events > 0 && from != e) {
		from.mu.Unlock()
		return nil
	}
	delete(from.handles, handle)
	from.mu.Unlock()
	if from != e {
		from.transfer(kept.tokens, e)
	}
	return kept
}

// eventsOf returns how many events the answer of a request has: a part of the most that it allows.
func eventsOf(attempt string, most int) int {
	n, _ := strconv.ParseUint(attempt[:4], 16, 64)
	return max(most*(50+int(n%50))/100, 1)
}

func (e *engine) decode(c *workerConn, r *http.Request, attempt string, prompt, most int, fields map[string]string) {
	done, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	source := r.Header.Get("Mastwheel-Kv-Source")
	owner := attempt
	if source != "" {
		kept := e.fetch(source)
		if kept == nil {
			fields["Mastwheel-Not-Executed"] = "1"
			c.answer(http.StatusServiceUnavailable, fields, nil)
			return
		}
		owner = kept.owner
	} else {
		// The engine reads the prompt itself, at half the speed.
		if !c.pause(time.Duration(2 * float64(prompt) / e.farm.readPerMilli * float64(time.Millisecond))) {
			c.last = true
			return
		}
	}
	e.farm.record.note("%s runs %s from event %d, source %q of %s", e.id, attempt, done, source, owner)
	if owner != attempt {
		e.farm.record.breaks("MIXED: %s runs %s from the memory of %s (%s)", e.id, attempt, owner, source)
	}
	one := &run{tokens: prompt + done*e.farm.stride, events: done, stop: make(chan struct{})}
	e.mu.Lock()
	delete(e.holds, r.Header.Get("Mastwheel-Kv-Hold"))
	e.runs[attempt] = one
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.runs[attempt] == one {
			delete(e.runs, attempt)
		}
		e.mu.Unlock()
	}()
	fields["Content-Type"] = "text/event-stream"
	fields["Mastwheel-Server-Signature"] = "sig." + e.id
	fields["Mastwheel-Weight-Versions"] = "1"
	unframed := e.farm.unframed
	if unframed {
		fields["Connection"] = "close"
		c.last = true
	} else {
		fields["Transfer-Encoding"] = "chunked"
	}
	if _, err := c.raw.Write(head(http.StatusOK, fields)); err != nil {
		c.last = true
		return
	}
	var body bytes.Buffer
	total := eventsOf(attempt, most)
	for event := done + 1; event <= total; event++ {
		e.mu.Lock()
		step := e.farm.stepMillis + e.farm.slotMillis*float64(len(e.runs))
		e.mu.Unlock()
		select {
		case <-time.After(time.Duration(step * float64(e.farm.stride) * float64(time.Millisecond))):
		case <-one.stop:
			c.last = true
			return
		case <-c.closed:
			c.last = true
			e.farm.record.note("%s drops %s at event %d", e.id, attempt, event)
			return
		}
		e.awaitAwake()
		select {
		case <-one.stop:
			c.last = true
			return
		default:
		}
		e.mu.Lock()
		one.events, one.tokens = event, one.tokens+e.farm.stride
		e.mu.Unlock()
		text := fmt.Sprintf("id: %d\ndata: %s %d of %d %s\n\n", event, owner, event, total, strings.Repeat("x", 200))
		body.WriteString(text)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := c.raw.Write([]byte(text)); err != nil {
			c.last = true
			return
		}
	}
	e.farm.record.note("%s has run %s to its end", e.id, attempt)
	if !unframed {
		if _, err := c.raw.Write([]byte("0\r\n\r\n")); err != nil {
			c.last = true
			return
		}
		second := map[string]string{}
		for name, value := range fields {
			if name != "Transfer-Encoding" {
				second[name] = value
			}
		}
		e.double(c, second, body.Bytes())
	}
}

// move copies the memory of a run to another engine. The last call stops the run first.
func (e *engine) move(c *workerConn, body []byte) {
	var want struct {
		ID          string `json:"id"`
		Destination string `json:"destination"`
		Last        bool   `json:"last"`
	}
	if json.Unmarshal(body, &want) != nil {
		c.answer(http.StatusBadRequest, nil, nil)
		return
	}
	e.moves.Add(1)
	to := e.farm.at(want.Destination)
	e.mu.Lock()
	one := e.runs[want.ID]
	if one == nil || one.moving {
		status := http.StatusNotFound
		if one != nil {
			status = http.StatusConflict
		}
		e.mu.Unlock()
		e.farm.record.count(fmt.Sprintf("calls to move that got %d", status))
		e.farm.record.note("%s answers %d to the move of %s (last: %t)", e.id, status, want.ID, want.Last)
		c.answer(status, nil, nil)
		return
	}
	one.moving = true
	if one.handle == "" {
		e.next++
		one.handle = fmt.Sprintf("%s-%d", e.id[2:], e.next)
	}
	handle := one.handle
	if want.Last {
		delete(e.runs, want.ID)
		e.handles[handle] = &memory{owner: want.ID, tokens: one.tokens, events: one.events, until: time.Now().Add(3 * handleHold)}
		close(one.stop)
	}
	tokens, events, copied := one.tokens, one.events, one.copied
	e.mu.Unlock()
	e.farm.record.note("%s moves %s to %s as %s (last: %t)", e.id, want.ID, want.Destination, handle, want.Last)
	arrived := to != nil && to.takeCopy(e.address+"/"+handle, &memory{owner: want.ID, tokens: tokens, events: max(events, 1), until: time.Now().Add(3 * handleHold)})
	if arrived {
		e.transfer(tokens-copied, to)
	}
	e.mu.Lock()
	one.moving = false
	if arrived {
		one.copied = tokens
	}
	e.mu.Unlock()
	e.awaitAwake()
	answer := encode(map[string]any{"kvHandle": handle, "eventCount": events})
	switch {
	case arrived:
		c.answer(http.StatusOK, jsonType, answer)
	case want.Last:
		c.answer(http.StatusServiceUnavailable, jsonType, answer)
	default:
		c.answer(http.StatusServiceUnavailable, nil, nil)
	}
}

// takeCopy reserves room for the copy of a run's memory. It returns false if there is none.
func (e *engine) takeCopy(name string, copied *memory) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := 0
	if known := e.copies[name]; known != nil {
		before = known.tokens
	}
	if e.gone || e.stage != "decode" || e.used()-before+copied.tokens > e.farm.memory {
		return false
	}
	e.copies[name] = copied
	return true
}
