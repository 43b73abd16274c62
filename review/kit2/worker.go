package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers' work.
const (
	plainWork   = 60 * time.Millisecond
	readTime    = 60 * time.Millisecond
	eventPause  = 50 * time.Millisecond
	eventCount  = 24
	handleKept  = 500 * time.Millisecond
	headerTried = "Mastwheel-Attempt-Id"
)

// worker is a stand-in for one worker: a plain server, or an engine of a stage.
type worker struct {
	*deployment
	id, service, stage, zone string
	listener                 net.Listener

	mu       sync.Mutex
	sequence int
	removed  bool
	handles  map[string]time.Time
	// copies are the copies of runs by their handles, and running the streams that run by the ids of their requests.
	copies  map[string]*memoryCopy
	running map[string]*running
	holds   map[string]bool
	conns   map[net.Conn]bool
	// deadlyPart crashes the engine when it begins to write an answer on a prompt that has it, unless it is the last part.
	deadlyPart  string
	deadlyAfter time.Duration
	crashed     bool
	// secondAnswers is the share of the answers that come twice while it is set, the second time late.
	secondAnswers float64
	// arrivals and answers are by the id of the request.
	arrivals []arrival
	answers  map[string]answered
}

// arrival is a client's request that has reached a worker.
type arrival struct {
	id       string
	at       time.Time
	prefills bool
}

// answered is what a worker has answered to a client's request.
type answered struct {
	status    int
	signature string
	body      string
}

func (d *deployment) addWorker(service, stage, zone string) (*worker, error) {
	return d.addWorkerAt(service, stage, zone, "127.0.0.1:0")
}

func (d *deployment) addWorkerAt(service, stage, zone, address string) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		deployment: d, id: fmt.Sprintf("i-%010x", rand.Int64N(1<<40)), service: service, stage: stage, zone: zone, listener: listener,
		handles: make(map[string]time.Time), holds: make(map[string]bool), answers: make(map[string]answered), conns: make(map[net.Conn]bool),
		copies: make(map[string]*memoryCopy), running: make(map[string]*running),
	}
	d.mu.Lock()
	d.workers = append(d.workers, w)
	w.deadlyPart, w.deadlyAfter = d.deadly, d.deadlyAfter
	d.mu.Unlock()
	go w.serve()
	w.beat()
	d.line("worker started", "id", w.id, "service", service, "stage", stage)
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.removed || w.crashed {
		return
	}
	w.sequence++
	entry := map[string]any{
		"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": w.sequence,
	}
	if w.stage != "" {
		entry["slots"], entry["stage"] = 64, w.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	w.store.Put("keyed.servers", w.id, raw)
}

// remove removes the worker's entry, as that of a worker that leaves and does not report it before. It returns when the
// store has done so.
func (w *worker) remove() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
	w.store.Put("keyed.servers", w.id, nil)
	return time.Now()
}

func (w *worker) serve() {
	for {
		raw, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[raw] = true
		w.mu.Unlock()
		c := &conn{worker: w, raw: raw, reader: bufio.NewReader(raw)}
		go c.serve()
	}
}

// exit ends the worker as the end of its process does: nothing listens at its address, and its connections end.
func (w *worker) exit() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
	for raw := range w.conns {
		if tcp, ok := raw.(*net.TCPConn); ok {
			// A process that crashes resets connections with unread bytes, and closes the others.
			_ = tcp.SetLinger(0)
		}
		raw.Close()
	}
}

// conn is a connection to a worker.
type conn struct {
	*worker
	raw    net.Conn
	reader *bufio.Reader
	// late is a second answer that is still to come.
	late []byte
}

func (c *conn) serve() {
	defer func() {
		c.raw.Close()
		c.mu.Lock()
		delete(c.conns, c.raw)
		c.mu.Unlock()
	}()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(c.late) > 0 {
			// The second answer comes where the next one is expected.
			c.line("second answer", "worker", c.id, "before", request.Method+" "+request.URL.Path, "id", request.Header.Get(headerTried))
			if _, err := c.raw.Write(c.late); err != nil {
				return
			}
			c.late = nil
		}
		if !c.handle(request, body) {
			return
		}
	}
}

// send writes an answer with a length. It returns false if the connection has broken.
func (c *conn) send(r *http.Request, status int, body []byte, fields ...string) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := r.Header.Get(headerTried); id != "" {
		fmt.Fprintf(&out, "%s: %s\r\n", headerTried, id)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&out, "%s: %s\r\n", fields[i], fields[i+1])
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	_, err := c.raw.Write(out.Bytes())
	c.mu.Lock()
	twice := rand.Float64() < c.secondAnswers
	c.mu.Unlock()
	if twice {
		c.late = bytes.Clone(out.Bytes())
	}
	return err == nil
}

func (c *conn) sendJSON(r *http.Request, value any) bool {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return c.send(r, http.StatusOK, body, "Content-Type", "application/json")
}

func (c *conn) notRun(r *http.Request, status int) bool {
	return c.send(r, status, nil, "Mastwheel-Not-Executed", "1")
}

func (c *conn) handle(r *http.Request, body []byte) bool {
	if expected := r.Header.Get("Mastwheel-Expected-Instance"); expected != "" && expected != c.id {
		return c.send(r, http.StatusMisdirectedRequest, nil, "Mastwheel-Instance-Id", c.id)
	}
	path := r.URL.Path
	switch {
	case path == "/health":
		return c.send(r, http.StatusOK, nil, "Mastwheel-Instance-Id", c.id)
	case c.stage == "":
		return c.plain(r)
	case path == "/report":
		return c.sendJSON(r, map[string]any{
			"stage": c.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"queuedRequests": 0, "activeRequests": 0, "kvUsed": 0, "kvTotal": 41191, "kvHandles": 0,
		})
	case path == "/hold-take":
		c.mu.Lock()
		hold := fmt.Sprintf("%012x", rand.Int64N(1<<48))
		c.holds[hold] = true
		c.mu.Unlock()
		return c.sendJSON(r, map[string]string{"hold": hold})
	case strings.HasPrefix(path, "/hold-drop/"), strings.HasPrefix(path, "/kv-handle/"):
		c.mu.Lock()
		delete(c.holds, strings.TrimPrefix(path, "/hold-drop/"))
		delete(c.handles, strings.TrimPrefix(path, "/kv-handle/"))
		delete(c.copies, strings.TrimPrefix(path, "/kv-handle/"))
		c.mu.Unlock()
		return c.send(r, http.StatusOK, nil)
	case path == "/kv-move":
		return c.move(r, body)
	case path == "/order":
		return c.send(r, http.StatusConflict, nil)
	}
	return c.generate(r)
}

// arrive records a client's request.
func (c *conn) arrive(r *http.Request, prefills bool) string {
	id := r.Header.Get(headerTried)
	c.mu.Lock()
	c.arrivals = append(c.arrivals, arrival{id: id, at: time.Now(), prefills: prefills})
	c.mu.Unlock()
	c.line("arrives", "id", id, "worker", c.id, "service", c.service, "prefill", prefills)
	return id
}

func (c *conn) signature(id string) string { return "3e1b." + c.id + "." + id }

func (c *conn) done(id string, status int, body string) {
	c.mu.Lock()
	c.answers[id] = answered{status: status, signature: c.signature(id), body: body}
	c.mu.Unlock()
	c.line("has run", "id", id, "worker", c.id, "status", status)
}

func (c *conn) plain(r *http.Request) bool {
	id := c.arrive(r, false)
	time.Sleep(plainWork)
	body := "answer of " + c.id + " to " + id
	c.done(id, http.StatusOK, body)
	return c.send(r, http.StatusOK, []byte(body), "Mastwheel-Server-Signature", c.signature(id), "Content-Type", "text/plain")
}

func (c *conn) generate(r *http.Request) bool {
	prefills := r.Header.Get("Mastwheel-Stage") == "prefill"
	if prefills != (c.stage == "prefill") {
		return c.send(r, http.StatusMisdirectedRequest, nil)
	}
	id := c.arrive(r, prefills)
	if prefills {
		time.Sleep(readTime)
		handle := fmt.Sprintf("%012x", rand.Int64N(1<<48))
		c.mu.Lock()
		c.handles[handle] = time.Now().Add(handleKept)
		c.mu.Unlock()
		prompt, _, _ := strings.Cut(r.Header.Get("Mastwheel-Token-Counts"), ",")
		tokens, _ := strconv.Atoi(prompt)
		return c.sendJSON(r, map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1})
	}
	if source := r.Header.Get("Mastwheel-Kv-Source"); source == "" {
		time.Sleep(2 * readTime)
	} else if !c.take(source, id) {
		return c.notRun(r, http.StatusServiceUnavailable)
	}
	if after, crashes := c.crashesOn(r); crashes {
		time.AfterFunc(after, func() {
			c.line("crashes", "id", id, "worker", c.id)
			c.crash(c.worker)
		})
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return c.stream(id, first)
}

// crashesOn reports whether a request has the part that crashes the engine, other than as the last one, and after how long.
func (c *conn) crashesOn(r *http.Request) (after time.Duration, crashes bool) {
	c.mu.Lock()
	part, after := c.deadlyPart, c.deadlyAfter
	c.mu.Unlock()
	parts := strings.Split(r.Header.Get("Mastwheel-Prompt-Prefix"), ",")
	for _, one := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(one, ":"); part != "" && id == part {
			return after, true
		}
	}
	return 0, false
}
